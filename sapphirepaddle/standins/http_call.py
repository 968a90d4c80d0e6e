"""Blocking HTTP calls for demonstrations and tests."""

import dataclasses
import typing
from http import client
from urllib import parse as urls

import orjson

CALL_TIMEOUT_SECONDS: typing.Final = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body decoded as JSON."""
        return orjson.loads(self.body)


def call(
    url: str,
    method: str = 'GET',
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    seconds: float = CALL_TIMEOUT_SECONDS,
) -> Reply:
    """Send one request on a new connection and return the response.

    Raises:
        OSError: If there is no response.
        HTTPException: If the response is truncated or malformed.
    """
    url_parts = urls.urlsplit(url)
    connection = client.HTTPConnection(
        url_parts.hostname or '',
        url_parts.port,
        timeout=seconds,
    )
    path = (
        f'{url_parts.path}?{url_parts.query}'
        if url_parts.query
        else url_parts.path
    )
    try:
        connection.request(method, path or '/', body, headers or {})
        response = connection.getresponse()
        return Reply(
            response.status,
            {name.lower(): value for name, value in response.getheaders()},
            response.read(),
        )
    finally:
        connection.close()


def post(url: str, body: typing.Any) -> typing.Any:
    """Post a JSON body and return the decoded JSON response.

    Raises:
        OSError: If there is no response.
        HTTPException: If the response is truncated or malformed.
    """
    return call(url, 'POST', body=orjson.dumps(body)).json()
