"""Heads of requests from callers."""

import dataclasses
import itertools
import typing

from sapphirepaddle.gateway import header_names

Scope = typing.MutableMapping[str, typing.Any]
Header = tuple[bytes, bytes]
DOT_SEGMENTS: typing.Final = frozenset(('.', '..'))

counter = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Method, path and headers of one request.

    Attributes:
        method: HTTP method.
        path: Percent-decoded path, used to find the route.
        url: Undecoded path and query as received.
        headers: Pairs of lower-case name and value.
        first_values: The first value of each header by name.
        client_address: IP address of the caller; empty if unknown.
    """

    method: str
    path: str
    url: str
    headers: list[Header]
    first_values: dict[bytes, bytes]
    client_address: str

    def has_body(self) -> bool:
        """Return whether a body follows."""
        length = self.first_values.get(header_names.CONTENT_LENGTH, b'0')
        return (
            header_names.TRANSFER_ENCODING in self.first_values
            or length != b'0'
        )

    def has_dot_segment(self) -> bool:
        """Return whether a target could normalize the path to another one.

        Besides dot segments, empty segments count, but only in a path
        without dots and backslashes. A backslash separates segments like a
        slash, since some servers treat it so.
        """
        if '.' not in self.path and '\\' not in self.path:
            return '//' in self.path
        segments = self.path.replace('\\', '/').split('/')
        return not DOT_SEGMENTS.isdisjoint(segments)


def read(scope: Scope) -> Head:
    """Return the request head in an ASGI scope."""
    raw_path = scope['raw_path'].decode('latin-1')
    query = scope['query_string']
    client = scope['client']
    headers = scope['headers']
    first_values: dict[bytes, bytes] = {}
    for name, value in headers:
        first_values.setdefault(name, value)
    return Head(
        method=scope['method'],
        path=scope['path'],
        url=f'{raw_path}?{query.decode("latin-1")}' if query else raw_path,
        headers=headers,
        first_values=first_values,
        client_address=client[0] if client else '',
    )
