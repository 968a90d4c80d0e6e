"""Decoding of target registrations and of member entries."""

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
    """An entry describes no valid target or member."""


def decode_target(name: str, fields: Fields) -> registration.Registration:
    """Decode the registration of a target.

    Raises:
        EntryError: If a field is missing or of another type; such an entry
            was not written by a target.
    """
    try:
        return read_target(name, fields)
    except MALFORMED_ERRORS as error:
        detail = f'{type(error).__name__}: {error}'
        raise EntryError(detail) from error


def read_target(name: str, fields: Fields) -> registration.Registration:
    """Build a registration; malformed fields raise MALFORMED_ERRORS."""
    info = fields['info']
    status = fields['status']
    host, _, port = require_text(fields['address']).rpartition(':')
    state = require_text(status['state'])
    if state not in VALID_STATES or int(port) not in VALID_PORTS:
        raise EntryError('unknown state or port out of range')
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
    """Check that a host is a dotted IPv4 address.

    Raises:
        EntryError: If it does not consist of four decimal numbers.
    """
    octets = host.split('.')
    if len(octets) != IPV4_OCTET_COUNT or not all(map(str.isdecimal, octets)):
        raise EntryError('address is not an IPv4 address')


def require_text(field: typing.Any) -> str:
    """Return a field that must be a non-empty string.

    Raises:
        EntryError: If it is not.
    """
    if not isinstance(field, str) or not field:
        raise EntryError('expected a non-empty string')
    return field


def require_integer(field: typing.Any) -> int:
    """Return a field that must be an integer and not a boolean.

    Raises:
        EntryError: If it is not.
    """
    if isinstance(field, bool) or not isinstance(field, int):
        raise EntryError('expected an integer')
    return field


def decode_member(name: str, fields: Fields) -> member.Member:
    """Decode the member entry of a daemon.

    Raises:
        EntryError: If it is malformed.
    """
    try:
        return member.Member(
            name=name,
            zone=require_text(fields['zone']),
            host=require_text(fields['host']),
            incarnation=require_integer(fields['incarnation']),
        )
    except MALFORMED_ERRORS as error:
        raise EntryError(str(error)) from error


def encode_member(fleet_member: member.Member) -> Fields:
    """Encode the member entry of a daemon."""
    return {
        'zone': fleet_member.zone,
        'host': fleet_member.host,
        'incarnation': fleet_member.incarnation,
    }


IPV4_OCTET_COUNT: typing.Final = 4
