"""Sending the requests of a trace at their times, open loop."""

import asyncio
import itertools
import time
import typing

import aiosonic
import orjson
import typer
from aiosonic import connectors, pools

from sapphirepaddle.store import remote
from sapphirepaddle.replay import environment, records, trace

CONNECTIONS: typing.Final = 2000
ANSWER_SECONDS: typing.Final = 60
PROGRESS_SECONDS: typing.Final = 5
POST: typing.Final = 'POST'


class Sender:
    """Sends requests whether or not earlier ones were answered.

    Attributes:
        bench: What it runs against.
        run_identifier: Makes identifiers differ between replays.
        client: The HTTP client.
        results: What became of the requests.
        started: Start of the trace on the monotonic clock.
    """

    def __init__(
        self, bench: environment.Environment, run_identifier: str
    ) -> None:
        """Prepare a client with many connections."""
        self.environment = bench
        self.replay_id = run_identifier
        pool = pools.PoolConfig(size=CONNECTIONS, max_conn_requests=None)
        self.client = aiosonic.HTTPClient(
            connectors.TCPConnector(pool_configs={':default': pool}),
        )
        self.results: list[records.RequestResult] = []
        self.started: float = 0

    async def run(self, recorded: trace.Trace, progress: bool) -> None:
        """Send everything, with the faults, and wait for all answers."""
        self.started = time.monotonic()
        showing = asyncio.create_task(self.show_progress(recorded, progress))
        faults = asyncio.create_task(self.inject_faults(recorded))
        turns = itertools.count()
        tasks = []
        for number, request in enumerate(recorded.requests):
            await self.sleep_until(request.at)
            place = next(turns) if request.daemon is None else request.daemon
            tasks.append(
                asyncio.create_task(self.send(request, number, place)),
            )
        await asyncio.gather(*tasks)
        await faults
        showing.cancel()
        await self.client.aclose()

    async def sleep_until(self, at: float) -> None:
        """Wait for a time of the trace."""
        pause = self.started + at - time.monotonic()
        if pause > 0:
            await asyncio.sleep(pause)

    async def show_progress(self, recorded: trace.Trace, wanted: bool) -> None:
        """Show progress on long runs."""
        total = len(recorded.requests)
        while wanted:
            await asyncio.sleep(PROGRESS_SECONDS)
            typer.echo(f'{len(self.results)} of {total} answered', err=True)

    async def inject_faults(self, recorded: trace.Trace) -> None:
        """Bring about the faults at their times."""
        for fault in recorded.faults:
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
        place: int,
    ) -> None:
        """Send one request and note what became of it."""
        sending = f'{self.replay_id}-{number}'
        identifier = request.order or sending
        started = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                status, headers, body = await self.exchange(
                    request,
                    sending,
                    place,
                )
        except remote.CALL_ERRORS:
            status, headers, body = 0, {}, b''
        self.results.append(
            records.RequestResult(
                request=request,
                identifier=identifier,
                sending_id=sending,
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
        sending: str,
        place: int,
    ) -> tuple[int, typing.Any, bytes]:
        """Send one request and read its whole answer."""
        callers = self.environment.callers
        headers = {
            'Authorization': f'Bearer {self.key_of(request.account)}',
            'X-Test-Id': sending,
            'X-Test-Account': request.account,
        }
        if request.order:
            headers['Idempotency-Key'] = request.order
        answer = await self.client.request(
            callers[place % len(callers)] + request.path,
            request.method,
            headers=headers,
            data=b'.' * request.size or None,
            timeouts=remote.NO_TIMEOUTS,
        )
        body = await answer.content()
        return answer.status_code, answer.headers, body

    def key_of(self, account: str) -> str:
        """Return a key of an account; a wrong one if it has none."""
        held = self.environment.accounts.get(account)
        return held.key if held else 'no-such-key'


def is_answer_to(body: bytes, request: trace.Request, identifier: str) -> bool:
    """Tell whether an answer names this request."""
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError:
        return False
    path = request.path.partition('?')[0]
    if not isinstance(content, dict):
        return False
    return content.get('path') == path and content.get('order') == identifier
