"""Encoding and decoding of datagrams; performs no I/O."""

import dataclasses
import pathlib
import typing
from collections import abc

import capnp

from sapphirepaddle import codes, errors
from sapphirepaddle.directory import revisions
from sapphirepaddle.peers import digest, notice_codec, notices

SCHEMA: typing.Final = capnp.load(
    str(pathlib.Path(__file__).with_name('digest.capnp')),
)
DECODE_ERRORS: typing.Final = (
    capnp.KjException,
    LookupError,
    ValueError,
    TypeError,
)
TRAVERSAL_LIMIT_WORDS: typing.Final = 8388608
"""Traversal limit in 8-byte words; a snapshot holds all targets."""


def encode(body: digest.Body) -> bytes:
    """Return the serialized datagram."""
    if isinstance(body, digest.Bundle):
        fields = to_plain_value(body.digests)
        return SCHEMA.Datagram.new_message(bundle=fields).to_bytes()
    kind = KIND_BY_TYPE[type(body)]
    fields = to_fields(body) | to_revision_fields(body)
    return SCHEMA.Datagram.new_message(**{kind: fields}).to_bytes()


def to_fields(message: typing.Any) -> dict[str, typing.Any]:
    """Return the fields of a message by their schema names."""
    return {
        schema_name: to_plain_value(getattr(message, name))
        for name, schema_name in SCHEMA_NAMES[type(message)]
    }


def to_revision_fields(message: typing.Any) -> dict[str, int]:
    """Return the numbers and eras of the revisions in a message."""
    revision_by_name = {
        schema_name: getattr(message, name)
        for name, schema_name in REVISION_NAMES.get(type(message), ())
    }
    numbers = {name: held.number for name, held in revision_by_name.items()}
    eras = {
        ERA_NAMES[name]: held.era for name, held in revision_by_name.items()
    }
    return numbers | eras


def to_plain_value(field_value: typing.Any) -> typing.Any:
    """Convert a field value to the form that Cap'n Proto accepts."""
    if isinstance(field_value, tuple):
        return [to_fields(message) for message in field_value]
    return field_value


def camel_case(name: str) -> str:
    """Convert a snake_case name to the camelCase of the schema."""
    first, *rest = name.split('_')
    return first + ''.join(map(str.capitalize, rest))


def decode(raw: bytes) -> digest.Body:
    """Decode a datagram.

    Raises:
        PeerError: If the datagram is malformed.
    """
    try:
        with SCHEMA.Datagram.from_bytes(raw) as reader:
            kind = str(reader.which())
            return READ_BODY_BY_KIND[kind](getattr(reader, kind))
    except DECODE_ERRORS as error:
        raise malformed_error(error) from error


def read_digest(reader: typing.Any) -> digest.Digest:
    """Return the digest held by a Cap'n Proto reader."""
    return digest.Digest(
        sender=reader.sender,
        start=reader.start,
        is_forwarded=reader.isForwarded,
        is_leaving=reader.isLeaving,
        version=reader.version,
        contact_age=reader.contactAge,
        verified_age=reader.verifiedAge,
        answer_age=reader.answerAge,
        targets_mark=reader.targetsMark,
        targets=tuple(
            digest.TargetCount(
                count.target, count.good, count.bad, count.running
            )
            for count in reader.targets
        ),
        accounts=tuple(
            digest.AccountCount(count.account, count.admitted)
            for count in reader.accounts
        ),
        services=tuple(
            digest.ServiceCount(count.service, count.requests, count.repeats)
            for count in reader.services
        ),
        zones_mark=reader.zonesMark,
    )


def read_leaving_notice(reader: typing.Any) -> digest.LeavingNotice:
    """Return the notice held by a Cap'n Proto reader."""
    return digest.LeavingNotice(
        targets=tuple(
            digest.LeavingTarget(target.target, target.incarnation)
            for target in reader.targets
        ),
        is_forwarded=reader.isForwarded,
    )


def read_changes(reader: typing.Any) -> digest.RegistrationChanges:
    """Return the changes held by a Cap'n Proto reader."""
    return digest.RegistrationChanges(
        base_fingerprint=reader.baseFingerprint,
        revision=revisions.Revision(reader.era, reader.revision),
        is_last=reader.isLast,
        changes=tuple(
            digest.RegistrationChange(change.name, bytes(change.content))
            for change in reader.changes
        ),
    )


def read_bundle(reader: typing.Any) -> digest.Bundle:
    """Return the bundle held by a Cap'n Proto reader."""
    return digest.Bundle(tuple(map(read_digest, reader)))


def read_hello(reader: typing.Any) -> digest.Hello:
    """Return the introduction held by a Cap'n Proto reader."""
    return digest.Hello(
        name=reader.name,
        zone=reader.zone,
        host=reader.host,
        incarnation=reader.incarnation,
        is_answer=reader.isAnswer,
        is_forwarded=reader.isForwarded,
    )


def malformed_error(error: Exception) -> errors.PeerError:
    """Return the error for a malformed message."""
    return errors.PeerError(codes.PEER_MALFORMED, type(error).__name__)


READ_BODY_BY_KIND: typing.Final[  # noqa: WPS407
    dict[str, abc.Callable[[typing.Any], digest.Body]]
] = {
    'digest': read_digest,
    'hello': read_hello,
    'bundle': read_bundle,
    'leaving': read_leaving_notice,
    'changes': read_changes,
    'zones': notice_codec.read_zone_state,
    'cold': notice_codec.read_cold_notice,
    'quotas': notice_codec.read_quota_levels,
}
KIND_BY_TYPE: typing.Final[dict[type, str]] = {  # noqa: WPS407
    digest.Digest: 'digest',
    digest.Hello: 'hello',
    digest.LeavingNotice: 'leaving',
    digest.RegistrationChanges: 'changes',
    notices.ZoneState: 'zones',
    notices.ColdNotice: 'cold',
    notices.QuotaLevels: 'quotas',
}
ERA_NAMES: typing.Final = {  # noqa: WPS407
    'revision': 'era',
    'targetsRevision': 'targetsEra',
    'zonesRevision': 'zonesEra',
}
"""Names of the eras in the schema, by the names of their revisions."""
MESSAGE_TYPES: typing.Final = (
    digest.TargetCount,
    digest.AccountCount,
    digest.ServiceCount,
    digest.Digest,
    digest.Bundle,
    digest.LeavingTarget,
    digest.LeavingNotice,
    notices.EmptiedZone,
    notices.ZoneState,
    notices.ColdTarget,
    notices.ColdNotice,
    notices.AccountLevel,
    notices.QuotaLevels,
    digest.RegistrationChange,
    digest.RegistrationChanges,
    digest.Hello,
    digest.Snapshot,
)
FIELD_NAMES: typing.Final = {  # noqa: WPS407
    message_type: tuple(
        (field.name, camel_case(field.name))
        for field in dataclasses.fields(message_type)
    )
    for message_type in MESSAGE_TYPES
}
"""Names of the fields in Python and in the schema, by type of message."""
SCHEMA_NAMES: typing.Final = {  # noqa: WPS407
    message_type: tuple(pair for pair in pairs if pair[1] not in ERA_NAMES)
    for message_type, pairs in FIELD_NAMES.items()
}
"""Names of the fields that are no revisions."""
REVISION_NAMES: typing.Final = {  # noqa: WPS407
    message_type: revision_pairs
    for message_type, pairs in FIELD_NAMES.items()
    if (revision_pairs := tuple(pair for pair in pairs if pair[1] in ERA_NAMES))
}
"""Names of the fields that are revisions, which only whole datagrams and
snapshots contain."""
