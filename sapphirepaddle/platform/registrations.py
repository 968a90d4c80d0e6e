"""Decoding of what targets write of themselves, and of members."""

import typing

from sapphirepaddle.directory import member, registration
from sapphirepaddle.platform import names

Fields = dict[str, typing.Any]
VALID_STATES: typing.Final = frozenset(
    (names.STATE_READY, names.STATE_DRAINING)
)
MAX_PORT: typing.Final = 65535
VALID_PORTS: typing.Final = range(1, MAX_PORT + 1)
MALFORMED_ERRORS: typing.Final = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
)


class EntryError(ValueError):
    """An entry does not describe a target."""


def decode_target(name: str, content: Fields) -> registration.Registration:
    """Decode the entry of a target.

    Raises:
        EntryError: If a field is missing or of another type; such an entry
            comes from another writer.
    """
    try:
        return read_target(name, content)
    except MALFORMED_ERRORS as error:
        detail = f'{type(error).__name__}: {error}'
        raise EntryError(detail) from error


def read_target(name: str, fields: Fields) -> registration.Registration:
    """Read a well-formed entry."""
    info = fields['info']
    status = fields['status']
    host, _, port = require_text(fields['address']).rpartition(':')
    state = require_text(status['state'])
    if state not in VALID_STATES or int(port) not in VALID_PORTS:
        raise EntryError('state or port')
    check_ipv4_host(host)
    return registration.Registration(
        name=name,
        service=require_text(info['service']),
        host=host,
        port=int(port),
        zone=require_text(info['zone']),
        slots=max(1, require_integer(info['slots'])),
        incarnation=require_integer(fields['born']),
        is_draining=state == names.STATE_DRAINING,
        warmup_seconds=float(status.get('warmupLeftS') or 0),
    )


def check_ipv4_host(host: str) -> None:
    """Refuse what is no IPv4 address.

    Raises:
        EntryError: If it is none.
    """
    octets = host.split('.')
    if len(octets) != IPV4_OCTET_COUNT or not all(map(str.isdecimal, octets)):
        raise EntryError('address')


def require_text(entry: typing.Any) -> str:
    """Return a field that must be a non-empty text.

    Raises:
        EntryError: If it is none.
    """
    if not isinstance(entry, str) or not entry:
        raise EntryError('text expected')
    return entry


def require_integer(entry: typing.Any) -> int:
    """Return a field that must be a whole number.

    Raises:
        EntryError: If it is none.
    """
    if isinstance(entry, bool) or not isinstance(entry, int):
        raise EntryError('whole number expected')
    return entry


def decode_member(name: str, content: Fields) -> member.Member:
    """Decode the entry of a daemon.

    Raises:
        EntryError: If it is malformed.
    """
    try:
        return member.Member(
            name=name,
            zone=require_text(content['zone']),
            host=require_text(content['host']),
            incarnation=require_integer(content['incarnation']),
        )
    except MALFORMED_ERRORS as error:
        raise EntryError(str(error)) from error


def encode_member(held: member.Member) -> Fields:
    """Return the entry of a daemon."""
    return {
        'zone': held.zone,
        'host': held.host,
        'incarnation': held.incarnation,
    }


IPV4_OCTET_COUNT: typing.Final = 4
