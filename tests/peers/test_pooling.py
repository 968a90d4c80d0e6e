"""Pooling of counts between daemons."""

from sapphirepaddle.directory import account
from sapphirepaddle.peers import digest, count_exchange
from tests.support import pooling_case


class TestPooling(pooling_case.PoolingCase):
    """Counts that reach the others."""

    def results(self) -> list[int]:
        """Return what each daemon knows of the target."""
        return [
            held.directory.find_target('t-1').result_count
            for held in self.daemons
        ]

    def fail(self, number: int) -> None:
        """Let one daemon see a bad result."""
        held = self.daemons[number].directory.find_target('t-1')
        held.record_answer(is_good=False, now=self.now)
        self.daemons[number].record_send_end(held, is_bad=True)

    def test_bad_result_reaches_all_at_once(self) -> None:
        self.fail(0)
        self.now += 0.001
        self.daemons[0].send_due(self.now)
        self.assertEqual(self.results(), [1, 1, 1, 1])

    def test_lost_datagram_is_made_up(self) -> None:
        self.network.is_lossy = True
        self.fail(0)
        self.send_round()
        self.network.is_lossy = False
        self.fail(0)
        self.send_round()
        self.assertEqual(self.results(), [2, 2, 2, 2])

    def test_repeated_datagram_counts_once(self) -> None:
        self.fail(0)
        self.send_round()
        self.send_round()
        self.assertEqual(self.results(), [1, 1, 1, 1])

    def test_start_of_a_request_stays_in_the_zone(self) -> None:
        held = self.daemons[0].directory.find_target('t-1')
        held.local_outstanding += 1
        self.daemons[0].record_send_start(held)
        self.now += 0.1
        self.daemons[0].send_due(self.now)
        known = [
            other.directory.find_target('t-1').outstanding(self.now)
            for other in self.daemons
        ]
        self.assertEqual(known, [1, 1, 0, 0])

    def test_restarted_daemon_begins_anew(self) -> None:
        self.fail(0)
        self.send_round()
        body = digest.Digest(
            sender=digest.hash_name('vm-0'),
            start=2,
            targets=(digest.TargetCount(digest.hash_name('t-1'), 0, 1, 0),),
        )
        self.daemons[1].handle_datagram(body, 'host')
        self.assertEqual(self.results()[1], 2)

    def test_unknown_names_are_passed_over(self) -> None:
        body = digest.Digest(
            sender=5,
            start=1,
            targets=(digest.TargetCount(77, 1, 1, 1),),
            accounts=(digest.AccountCount(78, 5),),
            services=(digest.ServiceCount(79, 5, 5),),
        )
        self.daemons[0].handle_datagram(body, 'host')
        self.assertEqual(self.results()[0], 0)


class TestOtherZones(pooling_case.PoolingCase):
    """What goes to other zones, and when."""

    def setUp(self) -> None:
        """Let all daemons be quiet for a moment."""
        super().setUp()
        self.send_round()

    def succeed(self) -> None:
        """Let one daemon see a good result."""
        held = self.daemons[0].directory.find_target('t-1')
        held.record_answer(is_good=True, now=self.now)
        self.daemons[0].record_send_end(held, is_bad=False)

    def far_results(self, after: float) -> int:
        """Return what the other zone knows of the target after a time."""
        self.now += after
        self.daemons[0].send_due(self.now)
        return self.daemons[2].directory.find_target('t-1').result_count

    def test_good_results_are_gathered(self) -> None:
        self.succeed()
        self.assertEqual(
            self.far_results(count_exchange.OTHER_ZONE_SHORT_BATCH_SECONDS), 0
        )
        self.succeed()
        self.assertEqual(
            self.far_results(count_exchange.OTHER_ZONE_BATCH_SECONDS), 2
        )

    def test_repeats_go_sooner(self) -> None:
        self.succeed()
        self.daemons[0].record_retry('orders')
        self.assertEqual(
            self.far_results(count_exchange.OTHER_ZONE_SHORT_BATCH_SECONDS), 1
        )

    def test_a_used_up_account_goes_sooner(self) -> None:
        self.succeed()
        for _ in range(18):
            self.daemons[0].quotas.admit('first')
        self.assertEqual(
            self.far_results(count_exchange.OTHER_ZONE_SHORT_BATCH_SECONDS), 1
        )

    def test_an_account_far_from_its_quota_waits(self) -> None:
        self.succeed()
        for _ in range(15):
            self.daemons[0].quotas.admit('first')
        self.assertEqual(
            self.far_results(count_exchange.OTHER_ZONE_SHORT_BATCH_SECONDS), 0
        )

    def test_accounts_without_a_quota_are_not_told(self) -> None:
        free = account.Account(
            name='free',
            keys=frozenset(),
            priority=None,
            rate=0,
            burst=0,
        )
        self.daemons[0].quotas.configure([free])
        self.assertTrue(self.daemons[0].quotas.admit('free').is_admitted)
        self.assertEqual(self.daemons[0].same_zone_changes.accounts, {})
