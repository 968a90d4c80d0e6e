"""Stand-in of the platform: object API, list of VMs and faults."""

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
from sapphirepaddle.store import memory, stored_object, vm
from sapphirepaddle.standins import faults

HANG_SECONDS: typing.Final = 3600
GET: typing.Final = 'GET'
POST: typing.Final = 'POST'
FAULTS: typing.Final = pydantic.TypeAdapter(faults.PlatformFaults)

Request = requests.Request
Response = responses.Response
Action = abc.Callable[[Request], abc.Awaitable[Response]]


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVms:
    """A list of VMs and the time it was set.

    Attributes:
        at: Seconds on the monotonic clock.
        vms: The list.
    """

    at: float
    vms: list[vm.Vm]


class PlatformStandin:
    """The object API over a store in memory.

    Attributes:
        store: The objects.
        faults: Faults in force.
        lists: Lists of VMs, newest last.
        lag: Seconds until a new list of VMs shows.
        calls: Calls by kind.
        chance: Source of randomness for lost answers.
    """

    def __init__(self, lag: float, seed: int = 0) -> None:
        """Start empty and without faults."""
        self.store = memory.MemoryStore()
        self.faults = faults.PlatformFaults()
        self.vm_lists = [ListedVms(0, [])]
        self.list_lag_seconds = lag
        self.calls: collections.Counter[str] = collections.Counter()
        self.rng = random.Random(seed)

    def application(self) -> applications.Starlette:
        """Return the HTTP application."""
        guarded = [
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
        control = [
            routing.Route(
                '/control/faults', self.replace_faults, methods=[POST]
            ),
            routing.Route('/control/vms', self.replace_vms, methods=[POST]),
            routing.Route('/control/calls', self.read_calls),
        ]
        return applications.Starlette(routes=guarded + control)

    def with_faults(self, kind: str, action: Action) -> Action:
        """Wrap an action with counting and faults."""

        async def guarded(request: Request) -> Response:  # noqa: WPS430
            self.calls[kind] += 1
            await self.faults.delay()
            await self.apply_outage(request)
            try:
                answer = await action(request)
            except errors.VersionConflictError as error:
                return responses.JSONResponse(error.detail, 409)  # noqa: WPS432
            await self.apply_outage(request)
            return answer

        return guarded

    async def apply_outage(self, request: Request) -> None:
        """Fail the call while the stand-in plays an outage.

        Raises:
            ConnectionError: While the stand-in is down; the server closes
                the connection without an answer.
        """
        blocked = request.headers.get('x-vm', '') in self.faults.blocked
        if self.faults.hang and (self.faults.down or blocked):
            await asyncio.sleep(HANG_SECONDS)
        if self.faults.down or blocked:
            raise ConnectionError('outage')

    async def read(self, request: Request) -> Response:
        """Answer one object."""
        entry = await self.store.read(request.path_params['key'])
        if entry is None:
            return responses.JSONResponse(None, 404)  # noqa: WPS432
        return responses.JSONResponse(encode(entry))

    async def write(self, request: Request) -> Response:
        """Write or delete one object; the answer may be lost.

        Raises:
            ConnectionError: If the answer is lost after the effect.
        """
        body = await request.body() if request.method == POST else None
        entry = await self.store.write_if_version(
            request.path_params['key'],
            body,
            int(request.query_params.get('expected', 0)),
        )
        if self.faults.is_answer_lost(self.rng):
            raise ConnectionError('lost answer')
        return responses.JSONResponse(
            {'key': entry.key, 'body': '', 'version': entry.version},
        )

    async def select(self, request: Request) -> Response:
        """Answer a page of objects."""
        query = request.query_params
        found = await self.store.list_page(
            query['prefix'], query.get('after', '')
        )
        return responses.JSONResponse([encode(entry) for entry in found])

    async def watch(self, request: Request) -> Response:
        """Answer newer objects, waiting for them."""
        query = request.query_params
        found = await self.store.watch(
            query['prefix'],
            int(query['since']),
            float(query['timeout']),
        )
        return responses.JSONResponse([encode(entry) for entry in found])

    async def list_vms(self, _request: Request) -> Response:
        """Answer the list of VMs as it was before the lag."""
        limit = clock.monotonic() - self.list_lag_seconds
        shown = [listed for listed in self.vm_lists if listed.at <= limit]
        return responses.Response(
            vm.LIST_ADAPTER.dump_json(shown[-1].vms),
            media_type='application/json',
        )

    async def replace_faults(self, request: Request) -> Response:
        """Replace the faults in force."""
        self.faults = FAULTS.validate_json(await request.body())
        return responses.JSONResponse(dataclasses.asdict(self.faults))

    async def replace_vms(self, request: Request) -> Response:
        """Replace the list of VMs; it shows after the lag."""
        vms = vm.LIST_ADAPTER.validate_json(await request.body())
        self.vm_lists.append(ListedVms(clock.monotonic(), vms))
        return responses.JSONResponse(len(vms))

    async def read_calls(self, _request: Request) -> Response:
        """Answer the calls counted by kind."""
        return responses.JSONResponse(dict(self.calls))


def encode(entry: stored_object.StoredObject) -> dict[str, typing.Any]:
    """Return a stored object as plain JSON values."""
    body = None if entry.body is None else base64.b64encode(entry.body).decode()
    return {'key': entry.key, 'body': body, 'version': entry.version}
