"""Encoding and decoding of snapshots; performs no I/O."""

from sapphirepaddle.directory import revisions
from sapphirepaddle.peers import digest, digest_codec, notice_codec


def encode(snapshot: digest.Snapshot) -> bytes:
    """Return the serialized snapshot."""
    fields = digest_codec.to_fields(snapshot)
    fields |= digest_codec.to_revision_fields(snapshot)
    return digest_codec.SCHEMA.Snapshot.new_message(**fields).to_bytes()


def decode(raw: bytes) -> digest.Snapshot:
    """Decode a snapshot.

    Raises:
        PeerError: If the snapshot is malformed.
    """
    try:
        with digest_codec.SCHEMA.Snapshot.from_bytes(
            raw,
            traversal_limit_in_words=digest_codec.TRAVERSAL_LIMIT_WORDS,
        ) as reader:
            return digest.Snapshot(
                configuration=bytes(reader.configuration),
                targets=bytes(reader.targets),
                members=tuple(map(digest_codec.read_hello, reader.members)),
                targets_revision=revisions.Revision(
                    reader.targetsEra, reader.targetsRevision
                ),
                zones=notice_codec.read_zones(reader.zones),
                zones_revision=revisions.Revision(
                    reader.zonesEra, reader.zonesRevision
                ),
            )
    except digest_codec.DECODE_ERRORS as error:
        raise digest_codec.malformed_error(error) from error
