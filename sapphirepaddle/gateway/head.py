"""The head of a caller's request."""

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
    """The head of one request.

    Attributes:
        method: HTTP method.
        path: Decoded path, used to find the route.
        url: Raw path and query as they came.
        headers: Pairs of lower-case name and value.
        index: The first value of each header by name.
        client: IP address of the caller.
    """

    method: str
    path: str
    url: str
    headers: list[Header]
    first_values: dict[bytes, bytes]
    client_address: str

    def has_body(self) -> bool:
        """Tell whether a body follows."""
        length = self.first_values.get(header_names.CONTENT_LENGTH, b'0')
        return (
            header_names.TRANSFER_ENCODING in self.first_values
            or length != b'0'
        )

    def has_dot_segment(self) -> bool:
        """Tell whether a target could resolve the path to another one."""
        if '.' not in self.path and '\\' not in self.path:
            return '//' in self.path
        segments = self.path.replace('\\', '/').split('/')
        return not DOT_SEGMENTS.isdisjoint(segments)


def read(scope: Scope) -> Head:
    """Read the head from an ASGI scope."""
    raw = scope['raw_path'].decode('latin-1')
    query = scope['query_string']
    client = scope['client']
    headers = scope['headers']
    index: dict[bytes, bytes] = {}
    for name, value in headers:
        index.setdefault(name, value)
    return Head(
        method=scope['method'],
        path=scope['path'],
        url=f'{raw}?{query.decode("latin-1")}' if query else raw,
        headers=headers,
        first_values=index,
        client_address=client[0] if client else '',
    )
