"""Which headers pass from caller to target and back."""

import itertools
import typing
from collections import abc

from sapphirepaddle.gateway import head, header_names

NOT_FORWARDED: typing.Final = frozenset(
    (
        header_names.AUTHORIZATION,
        header_names.API_KEY,
        header_names.REQUEST_IDENTIFIER,
        header_names.DEADLINE,
        header_names.CONTENT_LENGTH,
        header_names.HOST,
        header_names.FORWARDED_FOR,
        header_names.VIA,
        b'expect',
    ),
)
"""Request headers that the gateway drops or writes itself."""

LIST_SEPARATOR: typing.Final = ', '
COOKIE: typing.Final = 'cookie'


def connection_options(value: bytes) -> frozenset[bytes]:
    """Return the headers that a Connection header names as hop-by-hop."""
    return frozenset(name.strip().lower() for name in value.split(b','))


def hop_by_hop_names(index: abc.Mapping[bytes, bytes]) -> frozenset[bytes]:
    """Return the names that must not pass from this message."""
    value = index.get(header_names.CONNECTION)
    if value is None or value == b'keep-alive':
        return header_names.HOP_BY_HOP
    return header_names.HOP_BY_HOP | connection_options(value)


def filter_request_headers(request: head.Head) -> dict[str, str]:
    """Return the headers of a request as its target may see them.

    The key is left out. Repeated headers are joined to a list.

    Args:
        request: The head of the caller's request.
    """
    hidden = hop_by_hop_names(request.first_values) | NOT_FORWARDED
    passed: dict[str, str] = {}
    for name, value in request.headers:
        if name not in hidden:
            add_header(passed, name.decode('latin-1'), value.decode('latin-1'))
    passed['X-Forwarded-For'] = extend_list_header(
        request.first_values.get(header_names.FORWARDED_FOR),
        request.client_address,
    )
    passed['Via'] = extend_list_header(
        request.first_values.get(header_names.VIA),
        header_names.VIA_PSEUDONYM.decode(),
    )
    return passed


def add_header(passed: dict[str, str], name: str, value: str) -> None:
    """Add a header, joining it with an earlier one of the same name."""
    earlier = passed.get(name)
    separator = '; ' if name == COOKIE else LIST_SEPARATOR
    passed[name] = value if earlier is None else earlier + separator + value


def extend_list_header(earlier: bytes | None, value: str) -> str:
    """Return a list header with one more element."""
    if earlier is None:
        return value
    return f'{earlier.decode("latin-1")}, {value}'


def filter_answer_headers(
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
    hidden = hop_by_hop_names(dict(lowered))
    own = ((header_names.VIA, header_names.VIA_PSEUDONYM),)
    return [
        header
        for header in itertools.chain(lowered, own)
        if header[0] not in hidden
    ]
