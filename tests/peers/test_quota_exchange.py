"""Tests of the tokens that daemons pass on to one that starts."""

import unittest

from sapphirepaddle.directory import account, directory, member
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import (
    digest,
    digest_codec,
    digest_receiver,
    fleet,
    notices,
    quota_exchange,
)
from sapphirepaddle.settings import edge

RATE = 2
BURST = 50


class QuotaDaemon:
    """The quotas of one daemon.

    Attributes:
        fleet_time: Fleet time since its start.
        sent: Messages that it sent, encoded.
        exchange: Passes tokens on.
    """

    def __init__(self, fleet_time: float, *, starts_full: bool = False) -> None:
        """Initialize without accounts."""
        self.fleet_time = fleet_time
        self.sent: list[bytes] = []
        bounds = edge.Bounds(quota_excess=0, quota_slack=0)
        self.quotas = account_quotas.AccountQuotas(
            bounds, lambda: self.fleet_time, lambda: 1, lambda name: None
        )
        self.quotas.starts_full = starts_full
        local_member = member.Member(
            name='vm', zone='a', host='host', incarnation=1
        )
        self.receiver = digest_receiver.DigestReceiver(
            directory.Directory('a', bounds),
            self.quotas,
            fleet.Fleet(local_member),
        )
        self.exchange = quota_exchange.QuotaExchange(
            self.quotas,
            self.receiver,
            lambda body, hosts: self.sent.append(digest_codec.encode(body)),
        )

    def configure(self) -> None:
        """Configure an account."""
        self.quotas.configure(
            [
                account.Account(
                    name='first',
                    keys=frozenset(),
                    priority=None,
                    rate=RATE,
                    burst=BURST,
                )
            ]
        )
        self.receiver.register_names(['first'])
        self.exchange.apply_received()

    def admit(self, count: int) -> int:
        """Return how many of some requests are admitted."""
        return sum(self.quotas.admit('first').is_admitted for _ in range(count))


def pass_on(sender: QuotaDaemon, receiver: QuotaDaemon) -> None:
    """Let a daemon tell another one the tokens that are left."""
    sender.exchange.send_levels('host')
    for encoded in sender.sent:
        receiver.exchange.handle_levels(digest_codec.decode(encoded))


class TestQuotaExchange(unittest.TestCase):
    """A daemon that starts must neither refuse a burst nor grant it again.

    Its peers know what is left; it does not know what they admitted.
    """

    def setUp(self) -> None:
        """Run a daemon for long, and start another one."""
        self.running = QuotaDaemon(100)
        self.running.configure()
        self.starting = QuotaDaemon(0)

    def test_burst_that_is_left_is_taken_over(self) -> None:
        self.running.admit(20)
        self.starting.configure()
        admitted = self.starting.admit(5)
        self.assertLess(admitted, 5)
        pass_on(self.running, self.starting)
        admitted += self.starting.admit(100)
        self.assertEqual(admitted, BURST - 20)

    def test_levels_that_arrive_before_the_configuration(self) -> None:
        self.running.admit(20)
        pass_on(self.running, self.starting)
        self.starting.configure()
        self.assertEqual(self.starting.admit(100), BURST - 20)

    def test_debt_is_taken_over(self) -> None:
        self.running.admit(BURST)
        self.running.quotas.record_peer_admissions('first', 10)
        self.starting.configure()
        pass_on(self.running, self.starting)
        self.starting.fleet_time = 5
        self.assertEqual(self.starting.admit(1), 0)

    def test_lowest_of_several_levels_counts(self) -> None:
        self.starting.configure()
        pass_on(self.running, self.starting)
        self.running.admit(45)
        self.running.sent.clear()
        pass_on(self.running, self.starting)
        self.assertEqual(self.starting.admit(100), 5)

    def test_daemon_that_knows_nothing_tells_nothing(self) -> None:
        self.starting.configure()
        pass_on(self.starting, QuotaDaemon(0))
        self.assertEqual(self.starting.sent, [])

    def test_late_and_unknown_levels_change_nothing(self) -> None:
        self.starting.configure()
        unknown = notices.QuotaLevels(
            (notices.AccountLevel(digest.hash_name('other'), 9),)
        )
        self.starting.exchange.handle_levels(unknown)
        self.running.admit(BURST)
        self.starting.fleet_time = 100
        pass_on(self.running, self.starting)
        self.assertEqual(self.starting.admit(100), BURST)

    def test_first_start_of_the_fleet_takes_nothing_over(self) -> None:
        first = QuotaDaemon(0, starts_full=True)
        first.configure()
        self.running.admit(BURST)
        pass_on(self.running, first)
        self.assertEqual(first.admit(100), BURST)
