"""Stand-in for a target: slots, load shedding, gray failures, log."""

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
MODES_ADAPTER: typing.Final = pydantic.TypeAdapter(modes.TargetModes)
KEY_HEADERS: typing.Final = frozenset(('authorization', 'x-api-key'))
METHODS: typing.Final = ('GET', 'POST', 'PUT', 'DELETE', 'PATCH')
POST: typing.Final = 'POST'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """One execution of a request.

    Attributes:
        at: Unix time of the start in seconds.
        method: HTTP method.
        path: Path of the URL.
        identifier: Identifier of the attempt (X-Request-Id).
        order: Idempotency key of the caller, or X-Test-Id if there is none;
            executions of a request are counted by it.
        sending: Identifier that the test gave this request (X-Test-Id).
        account: Client account that the test stated (X-Test-Account).
        saw_key: Whether the request carried the key of an account, which the
            daemon must remove.
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
    """One instance of a service.

    Attributes:
        settings: Slots, queue length and service times.
        modes: Gray-failure modes in force.
        slots: Limits the number of concurrent executions.
        in_flight: Number of executing and queued requests.
        started: Monotonic start time in seconds.
        executions: Execution log.
        cancelled: Number of executions that ended because their caller
            disconnected.
        rng: Source of randomness, seeded by the name.
    """

    def __init__(self, settings: standins.TargetInstance) -> None:
        """Initialize a cold instance without faults."""
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
        """Serve the health endpoint, which takes a slot for `probe_ms`."""
        async with self.slots:
            await asyncio.sleep(
                self.settings.probe_ms / MILLISECONDS_PER_SECOND
            )
        is_healthy = self.modes.health_ok and not self.modes.draining
        return responses.JSONResponse(
            {'ok': is_healthy, 'load': self.in_flight},
            responses.Response().status_code if is_healthy else SHED_STATUS,
        )

    async def replace_modes(
        self,
        request: requests.Request,
    ) -> responses.Response:
        """Replace the gray-failure modes."""
        self.modes = MODES_ADAPTER.validate_json(await request.body())
        return responses.JSONResponse(dataclasses.asdict(self.modes))

    async def read_executions(
        self,
        _request: requests.Request,
    ) -> responses.Response:
        """Return the execution log."""
        return responses.Response(
            orjson.dumps(self.executions),
            media_type='application/json',
        )

    async def read_cancelled(
        self,
        _request: requests.Request,
    ) -> responses.Response:
        """Return the number of cancelled executions."""
        return responses.JSONResponse(self.cancelled)

    async def serve(self, request: requests.Request) -> responses.Response:
        """Execute a request, or refuse it without execution.

        It is refused if the instance is draining, if slots and queue are
        full, or if its deadline passes in the queue.
        """
        body = await request.body()
        capacity = self.settings.slots + self.settings.queue
        if self.modes.draining or self.in_flight >= capacity:
            return self.refuse(request)
        self.in_flight += 1
        try:
            return await self.run_before_deadline(request, body)
        except TimeoutError:
            return self.refuse(request)
        finally:
            self.in_flight -= 1

    async def run_before_deadline(
        self,
        request: requests.Request,
        body: bytes,
    ) -> responses.Response:
        """Execute a request if it gets a slot before its deadline.

        Raises:
            TimeoutError: If the deadline passed before a slot was free.
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
        """Execute a request and respond according to the modes in force."""
        self.executions.append(execution_of(request))
        now = clock.monotonic()
        active_modes = (
            modes.NO_FAULTS
            if self.modes.is_in_healthy_phase(now)
            else self.modes
        )
        seconds = (
            self.service_time_ms(active_modes, now) / MILLISECONDS_PER_SECOND
        )
        if self.is_affected(active_modes.stall_share):
            seconds = STALL_SECONDS
        if not await self.simulate_work(request, seconds):
            return responses.JSONResponse(
                None, FAILED_STATUS, self.answer_headers(request)
            )
        if self.is_affected(active_modes.error_share):
            return responses.JSONResponse(
                None, FAILED_STATUS, self.answer_headers(request)
            )
        return self.answer(request, body, active_modes)

    async def simulate_work(
        self, request: requests.Request, seconds: float
    ) -> bool:
        """Sleep for the service time.

        Returns:
            False if the caller disconnected before the end.
        """
        end_time = clock.monotonic() + seconds
        while clock.monotonic() < end_time:
            await asyncio.sleep(
                min(DISCONNECT_POLL_SECONDS, end_time - clock.monotonic())
            )
            if await request.is_disconnected():
                self.cancelled += 1
                return False
        return True

    def service_time_ms(
        self, active_modes: modes.TargetModes, now: float
    ) -> float:
        """Return the service time in milliseconds.

        The extra time of a cold instance falls linearly to zero over
        `cold_seconds`.
        """
        milliseconds = self.settings.service_ms + active_modes.slow_ms
        if not self.settings.cold_seconds:
            return milliseconds
        warm_fraction = (now - self.started) / self.settings.cold_seconds
        return milliseconds + self.settings.cold_ms * max(0, 1 - warm_fraction)

    def answer(
        self,
        request: requests.Request,
        body: bytes,
        active_modes: modes.TargetModes,
    ) -> responses.Response:
        """Return the response, which echoes the identifier of the request.

        The query parameter `size` pads the body to a number of bytes.
        """
        headers = self.answer_headers(request)
        if self.is_affected(active_modes.crossed_share):
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
        if self.is_affected(active_modes.short_share):
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
        """Return the headers that every response carries."""
        identifier = request.headers.get('x-request-id', '')
        return {'x-request-id': identifier, 'x-load': str(self.in_flight)}

    def refuse(self, request: requests.Request) -> responses.Response:
        """Return the refusal of a request that was not executed."""
        headers = {**self.answer_headers(request), 'x-not-run': '1'}
        if self.modes.draining:
            headers['x-draining'] = '1'
        return responses.JSONResponse(None, SHED_STATUS, headers)

    def is_affected(self, share: float) -> bool:
        """Return whether a mode affects this request, at random."""
        return share > 0 and self.rng.random() < share


def deadline_seconds(deadline_ms: float) -> float | None:
    """Convert a deadline to seconds; an infinite one to None."""
    if deadline_ms == float('inf'):
        return None
    return deadline_ms / MILLISECONDS_PER_SECOND


def execution_key(request: requests.Request) -> str:
    """Return the identifier by which executions are counted."""
    idempotency_key = request.headers.get('idempotency-key')
    return idempotency_key or request.headers.get('x-test-id', '')


def execution_of(request: requests.Request) -> Execution:
    """Return the execution log entry of a request."""
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
    """Yield the first half of a body, then abort the response.

    Raises:
        ConnectionError: After the first half.
    """
    yield content[: len(content) // 2]
    raise ConnectionError('response body aborted halfway')
