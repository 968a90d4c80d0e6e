"""Filtering of the headers of forwarded requests and answers."""

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
"""Request headers that the gateway removes or sets itself."""

STATEMENTS_OF_DAEMONS: typing.Final = frozenset(
    (
        header_names.NOT_RUN,
        header_names.REPLAYED,
        header_names.RESULT_CODE,
        header_names.RUN_STATEMENT,
    ),
)
"""Answer headers by which only a daemon tells its caller what happened."""

LIST_SEPARATOR: typing.Final = ', '
COOKIE: typing.Final = 'cookie'


def connection_options(value: bytes) -> frozenset[bytes]:
    """Return the lower-case header names in a Connection header."""
    return frozenset(name.strip().lower() for name in value.split(b','))


def hop_by_hop_names(
    first_values: abc.Mapping[bytes, bytes],
) -> frozenset[bytes]:
    """Return the names of headers that must not be forwarded."""
    value = first_values.get(header_names.CONNECTION)
    if value is None or value == b'keep-alive':
        return header_names.HOP_BY_HOP
    return header_names.HOP_BY_HOP | connection_options(value)


def filter_request_headers(request_head: head.Head) -> dict[str, str]:
    """Return the request headers to forward to the target.

    The caller's key is removed. Repeated headers are joined into one.

    Args:
        request_head: Head of the caller's request.
    """
    excluded_names = hop_by_hop_names(request_head.first_values) | NOT_FORWARDED
    forwarded: dict[str, str] = {}
    for name, value in request_head.headers:
        if name not in excluded_names:
            add_header(
                forwarded, name.decode('latin-1'), value.decode('latin-1')
            )
    forwarded['X-Forwarded-For'] = extend_list_header(
        request_head.first_values.get(header_names.FORWARDED_FOR),
        request_head.client_address,
    )
    forwarded['Via'] = extend_list_header(
        request_head.first_values.get(header_names.VIA),
        header_names.VIA_PSEUDONYM.decode(),
    )
    return forwarded


def add_header(forwarded: dict[str, str], name: str, value: str) -> None:
    """Add a header, joining it with an existing one of the same name.

    Cookies are joined by semicolons, other headers by commas.
    """
    existing_value = forwarded.get(name)
    separator = '; ' if name == COOKIE else LIST_SEPARATOR
    forwarded[name] = (
        value if existing_value is None else existing_value + separator + value
    )


def extend_list_header(existing_value: bytes | None, value: str) -> str:
    """Return the value of a list header with one element appended."""
    if existing_value is None:
        return value
    return f'{existing_value.decode("latin-1")}, {value}'


def filter_answer_headers(
    raw_headers: abc.Sequence[tuple[str, str]],
) -> list[head.Header]:
    """Return the answer headers to forward to the caller.

    Args:
        raw_headers: Pairs of name and value as the target sent them.
    """
    encoded_headers = [
        (name.lower().encode('latin-1'), value.encode('latin-1'))
        for name, value in raw_headers
    ]
    excluded_names = (
        hop_by_hop_names(dict(encoded_headers)) | STATEMENTS_OF_DAEMONS
    )
    added_headers = ((header_names.VIA, header_names.VIA_PSEUDONYM),)
    return [
        header
        for header in itertools.chain(encoded_headers, added_headers)
        if header[0] not in excluded_names
    ]
