"""Decoding of target registrations and of member entries."""

import ipaddress
import math
import re
import typing

from sapphirepaddle.directory import member, registration
from sapphirepaddle.platform import names

Fields = dict[str, typing.Any]
VALID_STATES: typing.Final = frozenset(
    (names.STATE_READY, names.STATE_DRAINING)
)
MAX_PORT: typing.Final = 65535
PORT: typing.Final = re.compile('[0-9]{1,5}')
MAX_SLOTS: typing.Final = 65535
"""Upper bound of the slots of a target. A larger number would make all other
targets look busy."""
MAX_INCARNATION: typing.Final = 0x7FFFFFFFFFFFFFFF
"""Upper bound of a start time: a 64-bit integer."""
NAME: typing.Final = re.compile('[!-~]{1,255}')
"""Names that can be sent in a header: visible ASCII characters."""
MAX_DETAIL_CHARACTERS: typing.Final = 200
"""Upper bound of the description of an error, which may quote an entry."""
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
        raise EntryError(detail[:MAX_DETAIL_CHARACTERS]) from error


def read_target(name: str, fields: Fields) -> registration.Registration:
    """Build a registration; malformed fields raise MALFORMED_ERRORS."""
    info = fields['info']
    status = fields['status']
    host, port = read_address(require_text(fields['address']))
    state = require_text(status['state'])
    if state not in VALID_STATES:
        raise EntryError('unknown state')
    if not NAME.fullmatch(name):
        raise EntryError('name does not fit into a header')
    return registration.Registration(
        name=name,
        service=require_text(info['service']),
        host=host,
        port=port,
        zone=require_text(info['zone']),
        slots=max(1, require_integer(info['slots'], MAX_SLOTS)),
        incarnation=require_integer(fields['born'], MAX_INCARNATION),
        is_draining=state == names.STATE_DRAINING,
        warmup_seconds=read_seconds(status.get('warmupLeftS')),
        sequence=read_sequence(status.get('seq')),
    )


def read_sequence(field: typing.Any) -> int:
    """Return the number of a report; 0 if it is absent or no number.

    It only orders reports, so an entry without one is still used.
    """
    try:
        return require_integer(field, MAX_INCARNATION)
    except EntryError:
        return 0


def read_address(address: str) -> tuple[str, int]:
    """Return the dotted IPv4 address and the port of a target.

    Raises:
        EntryError: If the port is out of range.
        ValueError: If the host is no IPv4 address.
    """
    host, _, port = address.rpartition(':')
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise EntryError('port out of range')
    return str(ipaddress.IPv4Address(host)), int(port)


def read_seconds(field: typing.Any) -> float:
    """Return a duration in seconds; 0 for an absent one.

    Raises:
        EntryError: If it is not a finite number.
    """
    if field is None:
        return 0
    is_number = isinstance(field, int | float) and not isinstance(field, bool)
    if not is_number or not math.isfinite(field):
        raise EntryError('expected a finite number')
    return max(0, field)


def require_text(field: typing.Any) -> str:
    """Return a field that must be a non-empty string.

    Raises:
        EntryError: If it is not.
    """
    if not isinstance(field, str) or not field:
        raise EntryError('expected a non-empty string')
    return field


def require_integer(field: typing.Any, maximum: int) -> int:
    """Return a field that must be an integer and not a boolean.

    Raises:
        EntryError: If it is not, is negative or exceeds the maximum.
    """
    if isinstance(field, bool) or not isinstance(field, int):
        raise EntryError('expected an integer')
    if not 0 <= field <= maximum:
        raise EntryError('integer out of range')
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
            host=str(ipaddress.IPv4Address(require_text(fields['host']))),
            incarnation=require_integer(fields['incarnation'], MAX_INCARNATION),
        )
    except MALFORMED_ERRORS as error:
        raise EntryError(str(error)[:MAX_DETAIL_CHARACTERS]) from error


def encode_member(fleet_member: member.Member) -> Fields:
    """Encode the member entry of a daemon."""
    return {
        'zone': fleet_member.zone,
        'host': fleet_member.host,
        'incarnation': fleet_member.incarnation,
    }
