"""Client of the platform's object store over HTTP."""

import asyncio
import base64
import typing
from urllib import parse as urls

import orjson
from aiosonic import exceptions
from aiosonic import timeout as timeouts

from sapphirepaddle import errors, pooled_connection
from sapphirepaddle.store import object_store, stored_object, vm

HTTP_OK: typing.Final = 200
HTTP_NOT_FOUND: typing.Final = 404
HTTP_CONFLICT: typing.Final = 409
NO_TIMEOUTS: typing.Final = timeouts.Timeouts(None, None, None, None)
CALL_ERRORS: typing.Final = (
    exceptions.AiosonicError,
    asyncio.IncompleteReadError,
    TimeoutError,
    OSError,
    ValueError,
)


class RemoteStore(object_store.ObjectStore):
    """Object store that calls the platform's HTTP API.

    Attributes:
        url: Base URL of the API.
        headers: Headers of each call; x-vm contains the name of this VM.
        call_seconds: Timeout of a call in seconds; a watch may additionally
            take its own timeout.
        client: HTTP client.
        calls: Number of calls made, including pending watches.
    """

    def __init__(
        self, url: str, call_seconds: float, vm_name: str = ''
    ) -> None:
        """Initialize; connections are opened by the first call."""
        self.url = url
        self.headers = {'x-vm': vm_name}
        self.call_seconds = call_seconds
        self.client = pooled_connection.create_client()
        self.calls = 0

    async def read(self, key: str) -> stored_object.StoredObject | None:
        """Return the object, or None if it does not exist."""
        reply = await self.call('GET', f'/objects/{urls.quote(key)}')
        if reply.status == HTTP_NOT_FOUND:
            return None
        return parse_stored(reply.json())

    async def write(
        self,
        key: str,
        body: bytes,
        expected: int,
    ) -> stored_object.StoredObject:
        """Write the object if it has the expected version."""
        path = f'/objects/{urls.quote(key)}?expected={expected}'
        reply = await self.call('POST', path, body)
        return parse_stored(reply.json())

    async def delete(self, key: str, expected: int) -> None:
        """Delete the object if it has the expected version."""
        path = f'/objects/{urls.quote(key)}?expected={expected}'
        await self.call('DELETE', path)

    async def list_page(
        self, prefix: str, after: str
    ) -> list[stored_object.StoredObject]:
        """Return a page of objects under a prefix, ordered by key."""
        query = urls.urlencode({'prefix': prefix, 'after': after})
        reply = await self.call('GET', f'/objects?{query}')
        return [parse_stored(entry) for entry in reply.json()]

    async def watch(
        self,
        prefix: str,
        since: int,
        timeout: float,
    ) -> list[stored_object.StoredObject]:
        """Wait for objects under a prefix that are newer than a version."""
        query = urls.urlencode(
            {'prefix': prefix, 'since': since, 'timeout': timeout},
        )
        reply = await self.call('GET', f'/watch?{query}', extra_seconds=timeout)
        return [parse_stored(entry) for entry in reply.json()]

    async def list_vms(self) -> list[vm.Vm]:
        """Return the list of VMs, which may lag behind the fleet."""
        reply = await self.call('GET', '/vms')
        try:
            return vm.LIST_ADAPTER.validate_json(reply.body)
        except ValueError as error:
            raise errors.PlatformUnavailableError(
                'malformed list of VMs'
            ) from error

    async def close(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        extra_seconds: float = 0,
    ) -> 'Reply':
        """Make one call and return its reply, which may have status 404.

        Raises:
            VersionConflictError: If the platform reports a conflict.
            PlatformUnavailableError: If the platform does not answer in time
                or answers with an error.
        """
        self.calls += 1
        try:
            async with asyncio.timeout(self.call_seconds + extra_seconds):
                reply = await self.send_request(method, path, body)
        except CALL_ERRORS as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        if reply.status == HTTP_CONFLICT:
            raise errors.VersionConflictError(path)
        if reply.status not in {HTTP_OK, HTTP_NOT_FOUND}:
            raise errors.PlatformUnavailableError(
                f'platform answered with status {reply.status}'
            )
        return reply

    async def send_request(
        self, method: str, path: str, body: bytes
    ) -> 'Reply':
        """Send one request and read the response."""
        response = await self.client.request(
            f'{self.url}{path}',
            method,
            headers=self.headers,
            data=body or None,
            timeouts=NO_TIMEOUTS,
        )
        return Reply(response.status_code, await response.content())


class Reply:
    """Status and body of the response to a call.

    Attributes:
        status: HTTP status code.
        body: Response body.
    """

    def __init__(self, status: int, body: bytes) -> None:
        """Initialize the reply."""
        self.status = status
        self.body = body

    def json(self) -> typing.Any:
        """Return the body decoded from JSON.

        Raises:
            PlatformUnavailableError: If it is not JSON.
        """
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise errors.PlatformUnavailableError(
                'answer is not valid JSON'
            ) from error


def parse_stored(fields: typing.Any) -> stored_object.StoredObject:
    """Build a stored object from decoded JSON with a base64 body.

    Raises:
        PlatformUnavailableError: If the body is missing.
    """
    try:
        body = fields['body']
    except (KeyError, TypeError) as error:
        raise errors.PlatformUnavailableError(
            'malformed stored object'
        ) from error
    return stored_object.StoredObject(
        str(fields.get('key')),
        None if body is None else base64.b64decode(body),
        int(fields.get('version', 0)),
    )
