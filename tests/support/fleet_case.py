"""Running a trace against a fleet while something fails."""

import asyncio
import dataclasses
import os
import pathlib
import secrets
import tempfile
import threading
import time
import typing
import unittest

from sapphirepaddle.objects import change
from sapphirepaddle.replay import (
    checks,
    environment,
    runner,
    sender,
    records,
    trace,
)
from sapphirepaddle.standins import demonstration, fleet
from tests.support import token_log

Action = typing.Callable[[], typing.Any]
MAX_WAIT_SECONDS = 5
"""Longest patience of a route, in seconds."""
QUICK_STOP_SETTINGS = {'announce_seconds': 0.5, 'drain_seconds': 5}


@dataclasses.dataclass(slots=True)
class TraceResult:
    """What a trace brought about.

    Attributes:
        bench: What it ran against.
        results: What became of the requests.
        runs: The targets' execution logs.
        tokens: Times of the tokens spent, by account.
    """

    environment: environment.Environment
    results: list[records.RequestResult]
    executions: list[records.Execution]
    token_times: dict[str, list[float]]

    def statuses(self) -> list[int]:
        """Return the HTTP statuses."""
        return [result.status for result in self.results]

    def check_rate(
        self,
        case: unittest.TestCase,
        account: str,
        rate: float,
        burst: float,
        story: str = '',
    ) -> None:
        """Check rate and burst of an account in every window.

        Tokens are judged when they are spent: between a token and the run
        lies the time of daemon and target, which a busy machine stretches.
        Each run has a token of its own, spent within the patience of its
        route before it.
        """
        spent = self.token_times.get(account, [])
        most = checks.max_excess(spent, rate, burst)
        case.assertLessEqual(most, 0, f'{account} {story}')
        free = token_log.count_unmatched_runs(
            self.executions, account, spent, MAX_WAIT_SECONDS
        )
        case.assertEqual(free, 0, f'{account} {story}')


def small_configuration(
    targets: int = 4,
    slots: int = 4,
    zones: str = 'abc',
    rate: float = 1000,
    burst: float = 1000,
    floor: float = 0.5,
) -> list[change.Put]:
    """Return a small configuration: reads, orders and two accounts."""
    put = change.Put
    services = ('reads', 'orders')
    return [
        *(
            put(kind='availability_zone', body={'name': zone, 'region': 'r'})
            for zone in zones
        ),
        *(
            put(
                kind='service',
                body={
                    'name': service,
                    'slots': slots,
                    'floor': floor,
                    'echo': True,
                },
            )
            for service in services
        ),
        *(
            put(
                kind='target',
                body={
                    'name': f'{service}-{number}',
                    'service': service,
                    'zone': zones[number % len(zones)],
                    'address': '127.0.0.1',
                    'port': 1,
                },
            )
            for service in services
            for number in range(targets)
        ),
        put(
            kind='route',
            body={
                'name': 'reads',
                'prefix': '/reads',
                'service': 'reads',
                'patience_ms': 3000,
                'deadline_ms': 3000,
            },
        ),
        put(
            kind='route',
            body={
                'name': 'orders',
                'prefix': '/orders',
                'service': 'orders',
                'idempotent': False,
                'patience_ms': MAX_WAIT_SECONDS * 1000,
                'deadline_ms': 3000,
            },
        ),
        *(
            put(
                kind='client_account',
                body={'name': name, 'rate': rate, 'burst': burst},
            )
            for name in ('guild', 'weavers')
        ),
    ]


class FleetCase(unittest.TestCase):
    """A test with a fleet of its own."""

    daemons_per_zone = 2
    overrides: typing.ClassVar[fleet.Json] = {'stop': QUICK_STOP_SETTINGS}
    target_settings: typing.ClassVar[fleet.Json] = {'service_ms': 5}

    def objects(self) -> list[change.Put]:
        """Return the configuration."""
        return small_configuration()

    def setUp(self) -> None:
        """Start the fleet."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = fleet.Fleet(pathlib.Path(folder.name), self.overrides)
        self.token_log_path = pathlib.Path(folder.name) / 'tokens'
        self.fleet.prelude = os.environ.get(
            'PADDLE_PRELUDE',
            '',
        ) + token_log.prelude(self.token_log_path)
        self.addCleanup(self.fleet.kill)
        self.demo = demonstration.start(
            self.fleet,
            self.objects(),
            self.daemons_per_zone,
            self.target_settings,
        )
        self.environment = self.demo.replay_environment()

    def run_trace(
        self,
        lines: typing.Sequence[trace.Request],
        actions: typing.Sequence[tuple[float, Action]] = (),
    ) -> TraceResult:
        """Send requests while actions happen at their times."""
        recorded = trace.Trace(trace.Head(trace='proof', seconds=1), lines)
        started = time.time()
        sending = sender.Sender(self.environment, secrets.token_hex(4))
        worker = threading.Thread(
            target=lambda: asyncio.run(sending.run(recorded, progress=False)),
        )
        worker.start()
        for at, action in sorted(actions, key=lambda pair: pair[0]):
            time.sleep(max(0, started + at - time.time()))
            action()
        worker.join()
        time.sleep(0.3)
        runs = runner.read_executions(self.environment, started)
        tokens = token_log.read(self.token_log_path, started)
        return TraceResult(self.environment, sending.results, runs, tokens)


def order_requests(
    count: int,
    rate: float,
    send_count: int = 1,
    gap_seconds: float = 0.0,
    prefix: str = 'o',
) -> list[trace.Request]:
    """Return orders at a rate, each sent several times to daemons in turn."""
    return [
        trace.Request(
            at=number / rate + sending * gap_seconds,
            account='guild',
            method='POST',
            path=f'/orders/{prefix}{number}',
            order=f'{prefix}{number}',
            size=100,
            daemon=number + sending,
        )
        for number in range(count)
        for sending in range(send_count)
    ]


def read_requests(
    count: int,
    rate: float,
    account: str = 'guild',
    daemon: int | None = None,
    start: float = 0,
) -> list[trace.Request]:
    """Return reads at a rate."""
    return [
        trace.Request(
            at=start + number / rate,
            account=account,
            path=f'/reads/{number}',
            daemon=daemon,
        )
        for number in range(count)
    ]
