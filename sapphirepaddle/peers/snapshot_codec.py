"""Encoding of snapshots; no input or output here."""

from sapphirepaddle.peers import digest, digest_codec


def encode(held: digest.Snapshot) -> bytes:
    """Return the bytes of a snapshot."""
    fields = digest_codec.to_fields(held)
    return digest_codec.SCHEMA.Snapshot.new_message(**fields).to_bytes()


def decode(raw: bytes) -> digest.Snapshot:
    """Read a snapshot.

    Raises:
        PeerError: If it is malformed.
    """
    try:
        with digest_codec.SCHEMA.Snapshot.from_bytes(
            raw,
            traversal_limit_in_words=digest_codec.TRAVERSAL_WORDS,
        ) as reader:
            return digest.Snapshot(
                configuration=bytes(reader.configuration),
                targets=bytes(reader.targets),
                members=tuple(map(digest_codec.read_hello, reader.members)),
            )
    except digest_codec.DECODE_ERRORS as error:
        raise digest_codec.malformed(error) from error
