"""Which headers pass from caller to target and back."""

import itertools
import typing
from collections import abc

from sapphirepaddle.gateway import head, names

OWN: typing.Final = frozenset(
    (
        names.KEY,
        names.KEY_ALTERNATIVE,
        names.REQUEST_IDENTIFIER,
        names.DEADLINE,
        names.CONTENT_LENGTH,
        names.HOST,
        names.FORWARDED,
        names.VIA,
        b'expect',
    ),
)
"""Request headers that the gateway drops or writes itself."""

LIST_SEPARATOR: typing.Final = ', '
COOKIE: typing.Final = 'cookie'


def named_by_connection(value: bytes) -> frozenset[bytes]:
    """Return the headers that a Connection header names as hop-by-hop."""
    return frozenset(name.strip().lower() for name in value.split(b','))


def dropped(index: abc.Mapping[bytes, bytes]) -> frozenset[bytes]:
    """Return the names that must not pass from this message."""
    value = index.get(names.CONNECTION)
    if value is None or value == b'keep-alive':
        return names.HOP_BY_HOP
    return names.HOP_BY_HOP | named_by_connection(value)


def forward(request: head.Head) -> dict[str, str]:
    """Return the headers of a request as its target may see them.

    The key is left out. Repeated headers are joined to a list.

    Args:
        request: The head of the caller's request.
    """
    hidden = dropped(request.index) | OWN
    passed: dict[str, str] = {}
    for name, value in request.headers:
        if name not in hidden:
            join(passed, name.decode('latin-1'), value.decode('latin-1'))
    passed['X-Forwarded-For'] = append(
        request.index.get(names.FORWARDED),
        request.client,
    )
    passed['Via'] = append(
        request.index.get(names.VIA),
        names.VIA_PSEUDONYM.decode(),
    )
    return passed


def join(passed: dict[str, str], name: str, value: str) -> None:
    """Add a header, joining it with an earlier one of the same name."""
    earlier = passed.get(name)
    separator = '; ' if name == COOKIE else LIST_SEPARATOR
    passed[name] = value if earlier is None else earlier + separator + value


def append(earlier: bytes | None, value: str) -> str:
    """Return a list header with one more element."""
    if earlier is None:
        return value
    return f'{earlier.decode("latin-1")}, {value}'


def backward(
    answer: abc.Sequence[tuple[str, str]],
) -> list[head.Header]:
    """Return the headers of an answer as its caller may see them.

    Args:
        answer: Pairs of name and value as the target sent them.
    """
    lowered = [
        (name.lower().encode('latin-1'), value.encode('latin-1'))
        for name, value in answer
    ]
    hidden = dropped(dict(lowered))
    own = ((names.VIA, names.VIA_PSEUDONYM),)
    return [
        header
        for header in itertools.chain(lowered, own)
        if header[0] not in hidden
    ]
