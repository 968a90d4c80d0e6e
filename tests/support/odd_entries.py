"""Entries that another writer may leave among the registrations."""

import copy
import typing

import orjson

from tests.support import platform_objects


def odd_specs() -> dict[str, bytes]:
    """Return the JSON text of odd entries by what is odd about them.

    All differ in one place from a valid registration, or are none at all.
    Some are invalid JSON, which a store that passes entries on unread may
    still return.
    """
    return {
        'nested too deeply to decode': with_extra(b'[' * 2000 + b']' * 2000),
        'nested too deeply to encode': with_extra(b'[' * 500 + b']' * 500),
        'extra number too large': with_extra(b'1e400'),
        'extra integer too large': with_extra(b'9' * 5000),
        'invalid UTF-8': with_extra(b'"\xff\xfe"'),
        'lone surrogate': with_extra(b'"\\ud800"'),
        'not a number': with_extra(b'NaN'),
        'born too large': with_field(('born',), 10**19),
        'born negative': with_field(('born',), -1),
        'slots too large': with_field(('info', 'slots'), 10**18),
        'warm-up not a number': with_field(('status', 'warmupLeftS'), 'inf'),
        'warm-up boolean': with_field(('status', 'warmupLeftS'), True),
        'port 0': with_field(('address',), '127.0.0.1:0'),
        'port out of range': with_field(('address',), '127.0.0.1:65536'),
        'port with many digits': with_field(
            ('address',), f'127.0.0.1:{"9" * 5000}'
        ),
        'port with a sign': with_field(('address',), '127.0.0.1:+80'),
        'port of other digits': with_field(('address',), '127.0.0.1:\uff18'),
        'host out of range': with_field(('address',), '127.0.0.999:80'),
        'host name': with_field(('address',), 'localhost:80'),
        'state unknown': with_field(('status', 'state'), 'asleep'),
        'a list': b'[]',
        'a text': b'"entry"',
        'null': b'null',
        'duplicate keys': b'{"info": {}, "info": 3, "status": [], "born": 1}',
    }


def with_extra(raw_value: bytes) -> bytes:
    """Return a registration with a further member, which no target writes."""
    raw = orjson.dumps(platform_objects.target('reads', 1))
    return raw[:-1] + b', "status": {"extra": ' + raw_value + b'}}'


def with_field(path: tuple[str, ...], content: typing.Any) -> bytes:
    """Return a registration with one field replaced.

    The field is encoded like text of the store: integers have any size.
    """
    entry = copy.deepcopy(platform_objects.target('reads', 1))
    fields = entry
    for name in path[:-1]:
        fields = fields[name]
    is_large = isinstance(content, int) and not isinstance(content, bool)
    fields[path[-1]] = (
        orjson.Fragment(str(content).encode()) if is_large else content
    )
    return orjson.dumps(entry)
