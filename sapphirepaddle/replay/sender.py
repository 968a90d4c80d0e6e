"""Send the requests of a trace at their times (open loop)."""

import asyncio
import itertools
import time
import typing

import orjson
import typer
from aiosonic import pools

from sapphirepaddle import pooled_connection
from sapphirepaddle.replay import environment, records, trace
from sapphirepaddle.store import remote

MAX_CONNECTIONS: typing.Final = 2000
ANSWER_TIMEOUT_SECONDS: typing.Final = 60
PROGRESS_INTERVAL_SECONDS: typing.Final = 5
POST: typing.Final = 'POST'


class Sender:
    """Sends requests on time, without waiting for earlier responses.

    Attributes:
        environment: Environment that the trace is sent to.
        replay_id: Prefix that makes identifiers unique over replays.
        client: HTTP client.
        results: Results of the requests, in order of completion.
        started: Start of the trace in seconds on the monotonic clock.
    """

    def __init__(
        self, replay_environment: environment.Environment, replay_id: str
    ) -> None:
        """Initialize a client that allows `MAX_CONNECTIONS` connections."""
        self.environment = replay_environment
        self.replay_id = replay_id
        pool = pools.PoolConfig(size=MAX_CONNECTIONS, max_conn_requests=None)
        self.client = pooled_connection.create_client(pool)
        self.results: list[records.RequestResult] = []
        self.started: float = 0

    async def run(self, recorded_trace: trace.Trace, progress: bool) -> None:
        """Send all requests, inject all faults and wait for all responses."""
        self.started = time.monotonic()
        progress_task = asyncio.create_task(
            self.show_progress(recorded_trace, progress)
        )
        faults_task = asyncio.create_task(self.inject_faults(recorded_trace))
        round_robin = itertools.count()
        tasks = []
        for number, request in enumerate(recorded_trace.requests):
            await self.sleep_until(request.at)
            daemon_number = (
                next(round_robin) if request.daemon is None else request.daemon
            )
            tasks.append(
                asyncio.create_task(self.send(request, number, daemon_number)),
            )
        await asyncio.gather(*tasks)
        await faults_task
        progress_task.cancel()
        await self.client.aclose()

    async def sleep_until(self, at: float) -> None:
        """Sleep until a time of the trace in seconds from its start."""
        delay = self.started + at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)

    async def show_progress(
        self, recorded_trace: trace.Trace, is_enabled: bool
    ) -> None:
        """Print progress to standard error at an interval, if enabled."""
        total = len(recorded_trace.requests)
        while is_enabled:
            await asyncio.sleep(PROGRESS_INTERVAL_SECONDS)
            typer.echo(f'{len(self.results)} of {total} answered', err=True)

    async def inject_faults(self, recorded_trace: trace.Trace) -> None:
        """Apply the faults of the trace at their times."""
        for fault in recorded_trace.faults:
            await self.sleep_until(fault.at)
            if fault.platform:
                url = f'{self.environment.platform}/control/faults'
            else:
                url = f'{self.environment.targets[fault.target]}/control/modes'
            await self.client.request(
                url,
                POST,
                data=orjson.dumps(fault.modes),
            )

    async def send(
        self,
        request: trace.Request,
        number: int,
        daemon_number: int,
    ) -> None:
        """Send one request and record its result.

        Args:
            request: Request of the trace.
            number: Position of the request in the trace.
            daemon_number: Daemon to send it to, modulo the number of daemons.
        """
        sending_id = f'{self.replay_id}-{number}'
        identifier = request.order or sending_id
        started = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                status, headers, body = await self.exchange(
                    request,
                    sending_id,
                    daemon_number,
                )
        except remote.CALL_ERRORS:
            status, headers, body = 0, {}, b''
        self.results.append(
            records.RequestResult(
                request=request,
                identifier=identifier,
                sending_id=sending_id,
                at=started - self.started,
                status=status,
                code=int(headers.get('x-result-code', 0)),
                run_state=headers.get('x-run', ''),
                seconds=time.monotonic() - started,
                is_echoed=is_answer_to(body, request, identifier),
            ),
        )

    async def exchange(
        self,
        request: trace.Request,
        sending_id: str,
        daemon_number: int,
    ) -> tuple[int, typing.Any, bytes]:
        """Send one request and return status, headers and body."""
        callers = self.environment.callers
        headers = {
            'Authorization': f'Bearer {self.key_of(request.account)}',
            'X-Test-Id': sending_id,
            'X-Test-Account': request.account,
        }
        if request.order:
            headers['Idempotency-Key'] = request.order
        response = await self.client.request(
            callers[daemon_number % len(callers)] + request.path,
            request.method,
            headers=headers,
            data=b'.' * request.size or None,
            timeouts=remote.NO_TIMEOUTS,
        )
        body = await response.content()
        return response.status_code, response.headers, body

    def key_of(self, account_name: str) -> str:
        """Return the key of an account; an invalid key if it is unknown."""
        account = self.environment.accounts.get(account_name)
        return account.key if account else 'no-such-key'


def is_answer_to(body: bytes, request: trace.Request, identifier: str) -> bool:
    """Return whether a response body belongs to a request."""
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError:
        return False
    path = request.path.partition('?')[0]
    if not isinstance(content, dict):
        return False
    return content.get('path') == path and content.get('order') == identifier
