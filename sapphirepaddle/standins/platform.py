"""Stand-in for the platform: object API, list of VMs and faults."""

import asyncio
import base64
import collections
import dataclasses
import random
import typing
from collections import abc

import pydantic
from starlette import applications, requests, responses, routing

from sapphirepaddle import clock, errors
from sapphirepaddle.standins import faults
from sapphirepaddle.store import memory, stored_object, vm

HANG_SECONDS: typing.Final = 3600
GET: typing.Final = 'GET'
POST: typing.Final = 'POST'
FAULTS_ADAPTER: typing.Final = pydantic.TypeAdapter(faults.PlatformFaults)

Request = requests.Request
Response = responses.Response
Handler = abc.Callable[[Request], abc.Awaitable[Response]]


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVms:
    """A list of VMs and the time it was set.

    Attributes:
        at: Monotonic time in seconds at which the list was set.
        vms: Listed VMs.
    """

    at: float
    vms: list[vm.Vm]


class PlatformStandin:
    """Serves the platform's API from memory, with fault injection.

    Attributes:
        store: Stored objects.
        faults: Faults in force.
        vm_lists: Lists of VMs, newest last.
        list_lag_seconds: Time until a new list of VMs becomes visible.
        calls: Number of calls by kind.
        rng: Source of randomness for lost responses.
    """

    def __init__(self, list_lag_seconds: float, seed: int = 0) -> None:
        """Initialize an empty platform without faults."""
        self.store = memory.MemoryStore()
        self.faults = faults.PlatformFaults()
        self.vm_lists = [ListedVms(0, [])]
        self.list_lag_seconds = list_lag_seconds
        self.calls: collections.Counter[str] = collections.Counter()
        self.rng = random.Random(seed)

    def application(self) -> applications.Starlette:
        """Return the HTTP application."""
        faulty_routes = [
            routing.Route('/objects', self.with_faults('select', self.select)),
            routing.Route('/watch', self.with_faults('watch', self.watch)),
            routing.Route('/vms', self.with_faults('vms', self.list_vms)),
            routing.Route(
                '/objects/{key:path}',
                self.with_faults('read', self.read),
            ),
            routing.Route(
                '/objects/{key:path}',
                self.with_faults('write', self.write),
                methods=[POST, 'DELETE'],
            ),
        ]
        control_routes = [
            routing.Route(
                '/control/faults', self.replace_faults, methods=[POST]
            ),
            routing.Route('/control/vms', self.replace_vms, methods=[POST]),
            routing.Route('/control/calls', self.read_calls),
        ]
        return applications.Starlette(routes=faulty_routes + control_routes)

    def with_faults(self, kind: str, handler: Handler) -> Handler:
        """Wrap a handler to count its calls and apply the faults in force."""

        async def handle(request: Request) -> Response:  # noqa: WPS430
            self.calls[kind] += 1
            await self.faults.delay()
            await self.apply_outage(request)
            try:
                answer = await handler(request)
            except errors.VersionConflictError as error:
                return responses.JSONResponse(error.detail, 409)  # noqa: WPS432
            await self.apply_outage(request)
            return answer

        return handle

    async def apply_outage(self, request: Request) -> None:
        """Fail or hang the call during an outage.

        Raises:
            ConnectionError: If the platform is down or blocks the VM; the
                server closes the connection without a response.
        """
        blocked = request.headers.get('x-vm', '') in self.faults.blocked
        if self.faults.hang and (self.faults.down or blocked):
            await asyncio.sleep(HANG_SECONDS)
        if self.faults.down or blocked:
            raise ConnectionError('platform outage')

    async def read(self, request: Request) -> Response:
        """Return one object, or 404."""
        entry = await self.store.read(request.path_params['key'])
        if entry is None:
            return responses.JSONResponse(None, 404)  # noqa: WPS432
        return responses.JSONResponse(encode_object(entry))

    async def write(self, request: Request) -> Response:
        """Write or delete one object if it has the expected version.

        Raises:
            ConnectionError: If the write took effect and its response is lost.
            VersionConflictError: If the object has another version.
        """
        body = await request.body() if request.method == POST else None
        entry = await self.store.write_if_version(
            request.path_params['key'],
            body,
            int(request.query_params.get('expected', 0)),
        )
        if self.faults.is_answer_lost(self.rng):
            raise ConnectionError('response lost after the write took effect')
        return responses.JSONResponse(
            {'key': entry.key, 'body': '', 'version': entry.version},
        )

    async def select(self, request: Request) -> Response:
        """Return one page of the objects with a key prefix."""
        query = request.query_params
        entries = await self.store.list_page(
            query['prefix'], query.get('after', '')
        )
        return responses.JSONResponse(
            [encode_object(entry) for entry in entries]
        )

    async def watch(self, request: Request) -> Response:
        """Return objects newer than a version; wait if there are none yet."""
        query = request.query_params
        entries = await self.store.watch(
            query['prefix'],
            int(query['since']),
            float(query['timeout']),
        )
        return responses.JSONResponse(
            [encode_object(entry) for entry in entries]
        )

    async def list_vms(self, _request: Request) -> Response:
        """Return the list of VMs as it was `list_lag_seconds` ago."""
        visible_until = clock.monotonic() - self.list_lag_seconds
        visible_lists = [
            vm_list for vm_list in self.vm_lists if vm_list.at <= visible_until
        ]
        return responses.Response(
            vm.LIST_ADAPTER.dump_json(visible_lists[-1].vms),
            media_type='application/json',
        )

    async def replace_faults(self, request: Request) -> Response:
        """Replace the faults in force."""
        self.faults = FAULTS_ADAPTER.validate_json(await request.body())
        return responses.JSONResponse(dataclasses.asdict(self.faults))

    async def replace_vms(self, request: Request) -> Response:
        """Replace the list of VMs; it becomes visible after the lag."""
        vms = vm.LIST_ADAPTER.validate_json(await request.body())
        self.vm_lists.append(ListedVms(clock.monotonic(), vms))
        return responses.JSONResponse(len(vms))

    async def read_calls(self, _request: Request) -> Response:
        """Return the number of calls by kind."""
        return responses.JSONResponse(dict(self.calls))


def encode_object(entry: stored_object.StoredObject) -> dict[str, typing.Any]:
    """Return a stored object as JSON values, its body in Base64."""
    body = None if entry.body is None else base64.b64encode(entry.body).decode()
    return {'key': entry.key, 'body': body, 'version': entry.version}
