"""Test cases that replay a trace against a fleet while faults happen."""

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
    records,
    runner,
    sender,
    trace,
)
from sapphirepaddle.standins import demonstration, fleet
from tests.support import token_log

Action = typing.Callable[[], typing.Any]
MAX_WAIT_SECONDS = 5
"""Longest time that a route lets a request wait."""
QUICK_STOP_SETTINGS = {'announce_seconds': 0.5, 'drain_seconds': 5}


@dataclasses.dataclass(slots=True)
class TraceResult:
    """Results of replaying a trace.

    Attributes:
        environment: URLs and accounts of the fleet that served the trace.
        results: Results of the requests.
        executions: Execution logs of the targets.
        token_times: Times at which tokens were spent, in seconds since the
            start of the trace, by account.
    """

    environment: environment.Environment
    results: list[records.RequestResult]
    executions: list[records.Execution]
    token_times: dict[str, list[float]]

    def statuses(self) -> list[int]:
        """Return the HTTP status of each request."""
        return [result.status for result in self.results]

    def check_rate(
        self,
        case: unittest.TestCase,
        account: str,
        rate: float,
        burst: float,
        message: str = '',
    ) -> None:
        """Check rate and burst of an account in every window.

        The check uses the times at which tokens are spent: the time that
        daemon and target need until the request runs varies with the load
        of the machine. Each execution must have its own token, spent at most
        MAX_WAIT_SECONDS before it.
        """
        spent_at = self.token_times.get(account, [])
        excess = checks.max_excess(spent_at, rate, burst)
        case.assertLessEqual(excess, 0, f'{account} {message}')
        unmatched = token_log.count_unmatched_executions(
            self.executions, account, spent_at, MAX_WAIT_SECONDS
        )
        case.assertEqual(unmatched, 0, f'{account} {message}')


def small_configuration(
    targets: int = 4,
    slots: int = 4,
    zones: str = 'abc',
    rate: float = 1000,
    burst: float = 1000,
    floor: float = 0.5,
) -> list[change.Put]:
    """Return a small configuration: reads, orders and two accounts.

    Args:
        targets: Number of targets of each service.
        slots: Requests that one target runs concurrently.
        zones: Names of the availability zones, one letter each.
        rate: Rate of each account in requests per second.
        burst: Burst of each account.
        floor: Share of the slots of a service that must stay in the
            routing set.
    """
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
    """A test with its own fleet of processes.

    Attributes:
        daemons_per_zone: Number of daemons in each availability zone.
        overrides: Settings of the daemons that differ from the defaults.
        target_settings: Settings of the targets.
        fleet: The running processes.
        token_log_path: File to which daemons write the tokens that they spend.
        demo: The fleet with its configuration and the keys of the accounts.
        environment: URLs and accounts of the fleet, for replaying traces.
    """

    daemons_per_zone = 2
    overrides: typing.ClassVar[fleet.Json] = {'stop': QUICK_STOP_SETTINGS}
    target_settings: typing.ClassVar[fleet.Json] = {'service_ms': 5}

    def objects(self) -> list[change.Put]:
        """Return the objects of the configuration."""
        return small_configuration()

    def setUp(self) -> None:
        """Start a fleet whose daemons log the tokens that they spend."""
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
        requests: typing.Sequence[trace.Request],
        actions: typing.Sequence[tuple[float, Action]] = (),
    ) -> TraceResult:
        """Send requests while actions run.

        Args:
            requests: The requests, with their times.
            actions: Actions with their times in seconds from the start.
        """
        request_trace = trace.Trace(
            trace.Head(trace='proof', seconds=1), requests
        )
        started = time.time()
        replay_sender = sender.Sender(self.environment, secrets.token_hex(4))
        worker = threading.Thread(
            target=lambda: asyncio.run(
                replay_sender.run(request_trace, progress=False)
            ),
        )
        worker.start()
        for at, action in sorted(actions, key=lambda timed: timed[0]):
            time.sleep(max(0, started + at - time.time()))
            action()
        worker.join()
        time.sleep(0.3)
        executions = runner.read_executions(self.environment, started)
        token_times = token_log.read(self.token_log_path, started)
        return TraceResult(
            self.environment, replay_sender.results, executions, token_times
        )


def order_requests(
    count: int,
    rate: float,
    send_count: int = 1,
    gap_seconds: float = 0.0,
    prefix: str = 'o',
) -> list[trace.Request]:
    """Return orders, each sent several times, to daemons in turn.

    Args:
        count: Number of orders.
        rate: Orders per second.
        send_count: How often each order is sent.
        gap_seconds: Time between two sends of an order.
        prefix: Start of the order names.
    """
    return [
        trace.Request(
            at=number / rate + send_index * gap_seconds,
            account='guild',
            method='POST',
            path=f'/orders/{prefix}{number}',
            order=f'{prefix}{number}',
            size=100,
            daemon=number + send_index,
        )
        for number in range(count)
        for send_index in range(send_count)
    ]


def read_requests(
    count: int,
    rate: float,
    account: str = 'guild',
    daemon: int | None = None,
    start: float = 0,
) -> list[trace.Request]:
    """Return reads.

    Args:
        count: Number of reads.
        rate: Reads per second.
        account: The client account that sends them.
        daemon: Index of the daemon; None for daemons in turn.
        start: Time of the first read, in seconds.
    """
    return [
        trace.Request(
            at=start + number / rate,
            account=account,
            path=f'/reads/{number}',
            daemon=daemon,
        )
        for number in range(count)
    ]
