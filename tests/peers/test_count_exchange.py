"""Tests of the exchange of counts between daemons."""

from sapphirepaddle.directory import account
from sapphirepaddle.peers import count_exchange, digest, unsent_changes
from tests.support import pooling_case


class TestCountExchange(pooling_case.PoolingCase):
    """Counts must reach the other daemons soon, and each only once.

    Datagrams may be lost or repeated and daemons restart, so a receiver could
    miss results or count them twice.
    """

    def result_counts(self) -> list[int]:
        """Return the number of results that each daemon has for t-1."""
        return [
            daemon.directory.find_target('t-1').result_count
            for daemon in self.daemons
        ]

    def record_bad_result(self, number: int) -> None:
        """Record a bad result at one daemon."""
        target = self.daemons[number].directory.find_target('t-1')
        target.record_answer(is_good=False, now=self.now)
        self.daemons[number].record_send_end(target, is_bad=True)

    def test_bad_result_is_sent_immediately(self) -> None:
        """A bad result must not wait for the batch interval."""
        self.record_bad_result(0)
        self.now += 0.001
        self.daemons[0].send_due(self.now)
        self.assertEqual(self.result_counts(), [1, 1, 1, 1])

    def test_lost_datagram_is_recovered(self) -> None:
        """Totals make up for a lost datagram with the next one."""
        self.network.is_lossy = True
        self.record_bad_result(0)
        self.send_round()
        self.network.is_lossy = False
        self.record_bad_result(0)
        self.send_round()
        self.assertEqual(self.result_counts(), [2, 2, 2, 2])

    def test_repeated_datagram_counts_once(self) -> None:
        """A total that did not rise must add nothing."""
        self.record_bad_result(0)
        self.send_round()
        self.send_round()
        self.assertEqual(self.result_counts(), [1, 1, 1, 1])

    def test_start_of_a_request_stays_in_the_zone(self) -> None:
        """Only the same zone learns of outstanding requests at once."""
        target = self.daemons[0].directory.find_target('t-1')
        target.local_outstanding += 1
        self.daemons[0].record_send_start(target)
        self.now += 0.1
        self.daemons[0].send_due(self.now)
        outstanding = [
            daemon.directory.find_target('t-1').outstanding(self.now)
            for daemon in self.daemons
        ]
        self.assertEqual(outstanding, [1, 1, 0, 0])

    def test_totals_restart_with_incarnation(self) -> None:
        """The totals of a restarted daemon begin again at zero."""
        self.record_bad_result(0)
        self.send_round()
        body = digest.Digest(
            sender=digest.hash_name('vm-0'),
            start=2,
            targets=(digest.TargetCount(digest.hash_name('t-1'), 0, 1, 0),),
        )
        self.daemons[1].handle_datagram(body, 'host')
        self.assertEqual(self.result_counts()[1], 2)

    def test_unknown_names_are_ignored(self) -> None:
        """Hashes of names that are not registered change nothing."""
        body = digest.Digest(
            sender=5,
            start=1,
            targets=(digest.TargetCount(77, 1, 1, 1),),
            accounts=(digest.AccountCount(78, 5),),
            services=(digest.ServiceCount(79, 5, 5),),
        )
        self.daemons[0].handle_datagram(body, 'host')
        self.assertEqual(self.result_counts()[0], 0)


class TestOtherZones(pooling_case.PoolingCase):
    """Changes for other zones are batched, as that traffic is expensive.

    If urgent changes waited as well, the zones together would exceed the
    burst of an account or the retry budget.
    """

    def setUp(self) -> None:
        """Send all changes that are due."""
        super().setUp()
        self.send_round()

    def record_good_result(self) -> None:
        """Record a good result at the first daemon."""
        target = self.daemons[0].directory.find_target('t-1')
        target.record_answer(is_good=True, now=self.now)
        self.daemons[0].record_send_end(target, is_bad=False)

    def other_zone_results(self, seconds: float) -> int:
        """Return the results known in the other zone after some seconds."""
        self.now += seconds
        self.daemons[0].send_due(self.now)
        return self.daemons[2].directory.find_target('t-1').result_count

    def test_good_results_are_batched(self) -> None:
        """Good results must wait for the long interval."""
        self.record_good_result()
        self.assertEqual(
            self.other_zone_results(
                count_exchange.OTHER_ZONE_SHORT_BATCH_SECONDS
            ),
            0,
        )
        self.record_good_result()
        self.assertEqual(
            self.other_zone_results(count_exchange.OTHER_ZONE_BATCH_SECONDS), 2
        )

    def test_retries_use_short_interval(self) -> None:
        """A retry counts against the budget of the whole fleet."""
        self.record_good_result()
        self.daemons[0].record_retry('orders')
        self.assertEqual(
            self.other_zone_results(
                count_exchange.OTHER_ZONE_SHORT_BATCH_SECONDS
            ),
            1,
        )

    def test_exhausted_account_uses_short_interval(self) -> None:
        """Zones that learn late would exceed the burst together."""
        self.record_good_result()
        for _ in range(18):
            self.daemons[0].quotas.admit('first')
        self.assertEqual(
            self.other_zone_results(
                count_exchange.OTHER_ZONE_SHORT_BATCH_SECONDS
            ),
            1,
        )

    def test_account_far_from_quota_uses_long_interval(self) -> None:
        """Admissions that cannot exhaust the burst must wait."""
        self.record_good_result()
        for _ in range(15):
            self.daemons[0].quotas.admit('first')
        self.assertEqual(
            self.other_zone_results(
                count_exchange.OTHER_ZONE_SHORT_BATCH_SECONDS
            ),
            0,
        )

    def test_accounts_without_quota_are_not_sent(self) -> None:
        """Admissions without a quota need no datagrams."""
        unlimited = account.Account(
            name='free',
            keys=frozenset(),
            priority=None,
            rate=0,
            burst=0,
        )
        self.daemons[0].quotas.configure([unlimited])
        self.assertTrue(self.daemons[0].quotas.admit('free').is_admitted)
        self.assertEqual(self.daemons[0].same_zone_changes.accounts, {})


class TestRepeatedCounts(pooling_case.PoolingCase):
    """Admissions are reported again until their tokens were refilled.

    A digest that follows a lost one would otherwise refill the buckets of its
    receivers by tokens that were used. Repeated forever, the counts of many
    accounts would not fit into a datagram.
    """

    def limited(self, name: str, rate: float) -> account.Account:
        """Return an account with a burst of 50 requests."""
        return account.Account(
            name=name, keys=frozenset(), priority=None, rate=rate, burst=50
        )

    def reported_accounts(self) -> list[int]:
        """Return the accounts in the next digest that repeats counts."""
        self.now += count_exchange.REPEAT_SECONDS
        body = self.daemons[0].build_digest(self.daemons[0].same_zone_changes)
        return [count.account for count in body.accounts]

    def test_counts_are_repeated_until_the_bucket_is_full(self) -> None:
        """A second at the rate refills what one request used."""
        self.daemons[0].quotas.configure([self.limited('slow', rate=1)])
        self.daemons[0].quotas.admit('slow')
        slow = [digest.hash_name('slow')]
        self.assertEqual(self.reported_accounts(), slow)
        self.assertEqual(self.reported_accounts(), slow)
        self.daemons[0].fleet.elapsed_fleet_seconds += 3
        self.assertEqual(self.reported_accounts(), [])

    def test_counts_are_repeated_at_intervals(self) -> None:
        """Daemons send up to 20 digests per second to their zone."""
        self.daemons[0].quotas.admit('first')
        self.assertEqual(self.reported_accounts(), [digest.hash_name('first')])
        body = self.daemons[0].build_digest(self.daemons[0].same_zone_changes)
        self.assertEqual(body.accounts, ())

    def test_repeated_counts_leave_room_for_changes(self) -> None:
        """A changed count must not wait until others are refilled."""
        room = unsent_changes.MAX_COUNTS_PER_KIND
        names = [f'account-{number}' for number in range(2 * room)]
        quotas = self.daemons[0].quotas
        quotas.configure([self.limited(name, rate=0.001) for name in names])
        for name in names:
            quotas.admit(name)
        for _ in range(3):
            self.assertEqual(len(set(self.reported_accounts())), room)
        quotas.admit(names[0])
        accounts = self.reported_accounts()
        self.assertEqual(accounts[0], digest.hash_name(names[0]))
        self.assertEqual(len(set(accounts)), room)
