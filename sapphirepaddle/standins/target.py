"""Stand-in of a target: slots, shedding, gray modes, execution log."""

import asyncio
import dataclasses
import random
import typing
from collections import abc

import orjson
import pydantic
from starlette import applications, requests, responses, routing

from sapphirepaddle import clock
from sapphirepaddle.settings import standins
from sapphirepaddle.standins import modes

MILLISECONDS_PER_SECOND: typing.Final = 1000
STALL_SECONDS: typing.Final = 3600
DISCONNECT_POLL_SECONDS: typing.Final = 0.1
SHED_STATUS: typing.Final = 503
FAILED_STATUS: typing.Final = 500
MODES: typing.Final = pydantic.TypeAdapter(modes.TargetModes)
KEY_HEADERS: typing.Final = frozenset(('authorization', 'x-api-key'))
METHODS: typing.Final = ('GET', 'POST', 'PUT', 'DELETE', 'PATCH')
POST: typing.Final = 'POST'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """One run of a request.

    Attributes:
        at: Unix time of the start in seconds.
        method: HTTP method.
        path: Path and query.
        identifier: Identifier of the attempt.
        order: The caller's idempotency key, or the test's own identifier.
        sending: The test's identifier of this sending.
        account: The test's note of the client account.
        saw_key: Whether a key came with the request.
    """

    at: float
    method: str
    path: str
    identifier: str
    order: str
    sending: str
    account: str
    saw_key: bool


class TargetStandin:
    """One instance.

    Attributes:
        settings: Slots, queue and times.
        modes: Gray modes in force.
        slots: Guards the running requests.
        inside: Requests that run or wait.
        started: When the instance started or was restarted.
        executions: The execution log.
        cancelled: Runs that ended because their caller left.
        chance: Source of randomness.
    """

    def __init__(self, settings: standins.TargetInstance) -> None:
        """Start cold and without faults."""
        self.settings = settings
        self.modes = modes.TargetModes()
        self.slots = asyncio.Semaphore(settings.slots)
        self.in_flight = 0
        self.started = clock.monotonic()
        self.executions: list[Execution] = []
        self.cancelled = 0
        self.rng = random.Random(settings.name)

    def application(self) -> applications.Starlette:
        """Return the HTTP application."""
        return applications.Starlette(
            routes=[
                routing.Route('/health', self.health),
                routing.Route(
                    '/control/modes',
                    self.replace_modes,
                    methods=[POST],
                ),
                routing.Route('/control/executions', self.read_executions),
                routing.Route('/control/cancelled', self.read_cancelled),
                routing.Route('/{path:path}', self.serve, methods=METHODS),
            ],
        )

    async def health(self, _request: requests.Request) -> responses.Response:
        """Answer the health endpoint, which takes a slot for a while."""
        async with self.slots:
            await asyncio.sleep(
                self.settings.probe_ms / MILLISECONDS_PER_SECOND
            )
        ok = self.modes.health_ok and not self.modes.draining
        return responses.JSONResponse(
            {'ok': ok, 'load': self.in_flight},
            responses.Response().status_code if ok else SHED_STATUS,
        )

    async def replace_modes(
        self,
        request: requests.Request,
    ) -> responses.Response:
        """Replace the gray modes."""
        self.modes = MODES.validate_json(await request.body())
        return responses.JSONResponse(dataclasses.asdict(self.modes))

    async def read_executions(
        self,
        _request: requests.Request,
    ) -> responses.Response:
        """Answer the execution log."""
        return responses.Response(
            orjson.dumps(self.executions),
            media_type='application/json',
        )

    async def read_cancelled(
        self,
        _request: requests.Request,
    ) -> responses.Response:
        """Answer the number of cancelled runs."""
        return responses.JSONResponse(self.cancelled)

    async def serve(self, request: requests.Request) -> responses.Response:
        """Run one request, or refuse it unrun."""
        body = await request.body()
        room = self.settings.slots + self.settings.queue
        if self.modes.draining or self.in_flight >= room:
            return self.refuse(request)
        self.in_flight += 1
        try:
            return await self.run_in_time(request, body)
        except TimeoutError:
            return self.refuse(request)
        finally:
            self.in_flight -= 1

    async def run_in_time(
        self,
        request: requests.Request,
        body: bytes,
    ) -> responses.Response:
        """Run a request once it has a slot, if that is before its deadline.

        Raises:
            TimeoutError: If the deadline passed before the start.
        """
        deadline = float(request.headers.get('x-deadline-ms', 'inf'))
        async with asyncio.timeout(deadline_seconds(deadline)):
            await self.slots.acquire()
        try:
            return await self.run(request, body)
        finally:
            self.slots.release()

    async def run(
        self,
        request: requests.Request,
        body: bytes,
    ) -> responses.Response:
        """Run one request and answer as the modes say."""
        self.executions.append(execution_of(request))
        now = clock.monotonic()
        mode = (
            modes.NO_FAULTS
            if self.modes.is_in_healthy_phase(now)
            else self.modes
        )
        seconds = self.service_time_ms(mode, now) / MILLISECONDS_PER_SECOND
        if self.is_affected(mode.stall_share):
            seconds = STALL_SECONDS
        if not await self.simulate_work(request, seconds):
            return responses.JSONResponse(
                None, FAILED_STATUS, self.answer_headers(request)
            )
        if self.is_affected(mode.error_share):
            return responses.JSONResponse(
                None, FAILED_STATUS, self.answer_headers(request)
            )
        return self.answer(request, body, mode)

    async def simulate_work(
        self, request: requests.Request, seconds: float
    ) -> bool:
        """Take the time of a run; False if it was cancelled meanwhile."""
        until = clock.monotonic() + seconds
        while clock.monotonic() < until:
            await asyncio.sleep(
                min(DISCONNECT_POLL_SECONDS, until - clock.monotonic())
            )
            if await request.is_disconnected():
                self.cancelled += 1
                return False
        return True

    def service_time_ms(self, mode: modes.TargetModes, now: float) -> float:
        """Return the time of one run in milliseconds."""
        work = self.settings.service_ms + mode.slow_ms
        if not self.settings.cold_seconds:
            return work
        age = (now - self.started) / self.settings.cold_seconds
        return work + self.settings.cold_ms * max(0, 1 - age)

    def answer(
        self,
        request: requests.Request,
        body: bytes,
        mode: modes.TargetModes,
    ) -> responses.Response:
        """Answer with the request's own content."""
        headers = self.answer_headers(request)
        if self.is_affected(mode.crossed_share):
            headers['x-request-id'] = 'crossed'
        content = orjson.dumps(
            {
                'target': self.settings.name,
                'path': str(request.url.path),
                'order': execution_key(request),
                'bytes': len(body),
            },
        )
        size = int(request.query_params.get('size', 0))
        content += b' ' * max(0, size - len(content))
        if self.is_affected(mode.short_share):
            headers['content-length'] = str(len(content))
            return responses.StreamingResponse(
                truncate(content), headers=headers
            )
        return responses.Response(
            content,
            headers=headers,
            media_type='application/json',
        )

    def answer_headers(self, request: requests.Request) -> dict[str, str]:
        """Return the headers of every answer."""
        identifier = request.headers.get('x-request-id', '')
        return {'x-request-id': identifier, 'x-load': str(self.in_flight)}

    def refuse(self, request: requests.Request) -> responses.Response:
        """Refuse a request that did not run."""
        headers = {**self.answer_headers(request), 'x-not-run': '1'}
        if self.modes.draining:
            headers['x-draining'] = '1'
        return responses.JSONResponse(None, SHED_STATUS, headers)

    def is_affected(self, share: float) -> bool:
        """Draw whether a mode strikes this request."""
        return share > 0 and self.rng.random() < share


def deadline_seconds(deadline_ms: float) -> float | None:
    """Return a limit in seconds; None if there is none."""
    if deadline_ms == float('inf'):
        return None
    return deadline_ms / MILLISECONDS_PER_SECOND


def execution_key(request: requests.Request) -> str:
    """Return the identifier by which a test counts runs."""
    order = request.headers.get('idempotency-key')
    return order or request.headers.get('x-test-id', '')


def execution_of(request: requests.Request) -> Execution:
    """Return the entry of the execution log for a request."""
    headers = request.headers
    return Execution(
        at=clock.wall(),
        method=request.method,
        path=request.url.path,
        identifier=headers.get('x-request-id', ''),
        order=execution_key(request),
        sending=headers.get('x-test-id', ''),
        account=headers.get('x-test-account', ''),
        saw_key=any(name in headers for name in KEY_HEADERS),
    )


async def truncate(content: bytes) -> abc.AsyncIterator[bytes]:
    """Yield half of an answer, then break off.

    Raises:
        ConnectionError: After the first half.
    """
    yield content[: len(content) // 2]
    raise ConnectionError('cut short')
