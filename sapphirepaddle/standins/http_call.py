"""Blocking HTTP calls for demonstrations and tests."""

import dataclasses
import typing
from http import client
from urllib import parse as urls

import orjson

CALL_SECONDS: typing.Final = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the decoded body."""
        return orjson.loads(self.body)


def call(
    url: str,
    method: str = 'GET',
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    seconds: float = CALL_SECONDS,
) -> Reply:
    """Make one call on a connection of its own.

    Raises:
        OSError: If there is no answer.
        HTTPException: If the answer is cut short or malformed.
    """
    place = urls.urlsplit(url)
    connection = client.HTTPConnection(
        place.hostname or '',
        place.port,
        timeout=seconds,
    )
    path = f'{place.path}?{place.query}' if place.query else place.path
    try:
        connection.request(method, path or '/', body, headers or {})
        answer = connection.getresponse()
        return Reply(
            answer.status,
            {name.lower(): value for name, value in answer.getheaders()},
            answer.read(),
        )
    finally:
        connection.close()


def post(url: str, body: typing.Any) -> typing.Any:
    """Send JSON and return the decoded answer.

    Raises:
        OSError: If there is no answer.
    """
    return call(url, 'POST', body=orjson.dumps(body)).json()
