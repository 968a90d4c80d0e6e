"""Quota of an account over a fleet, in touch and cut."""

from sapphirepaddle.directory import account, member
from sapphirepaddle.peers import digest, fleet
from sapphirepaddle.settings import edge
from tests.support import pooling_case

TOLERANT = edge.Bounds(quota_slack=20, quota_excess=0.1)


class TestQuota(pooling_case.PoolingCase):
    """One account at several daemons."""

    def admit(self, number: int, count: int) -> int:
        """Return how many requests one daemon admits."""
        limits = self.daemons[number].quotas
        return sum(limits.admit('first').is_admitted for _ in range(count))

    def test_admissions_of_others_count(self) -> None:
        self.assertEqual(self.admit(0, 30), 30)
        self.send_round()
        admitted = [self.admit(number, 30) for number in (1, 2)]
        self.send_round()
        self.assertEqual(admitted[0], 20)
        self.assertLessEqual(sum(admitted) + 30, 50 + 20)
        self.assertEqual(self.admit(3, 30), 0)

    def test_daemons_that_just_started_count_in_full(self) -> None:
        held = self.daemons[0]
        held.fleet.local_member = member.Member(
            name='vm-0',
            zone='a',
            host='host-0',
            incarnation=100_000,
        )
        for start, left in ((99_000, 20), (90_000, 49)):
            held.quotas.buckets['first'].tokens = 50
            body = digest.Digest(
                sender=start,
                start=start,
                accounts=(digest.AccountCount(digest.hash_name('first'), 30),),
            )
            held.handle_datagram(body, 'host')
            tokens = held.quotas.buckets['first'].tokens
            self.assertAlmostEqual(tokens, left, 1)

    def test_silence_of_all_means_cut_off(self) -> None:
        before = self.daemons[0].fleet.in_touch_ratio()
        self.now += fleet.ISOLATION_TIMEOUT_SECONDS + 0.1
        after = self.daemons[0].fleet.in_touch_ratio()
        self.assertEqual((before, after), (1, 0.25))

    def test_share_follows_who_is_heard(self) -> None:
        self.daemons.pop()
        for _ in range(3):
            self.send_round()
        self.assertEqual(self.daemons[0].fleet.in_touch_ratio(), 0.75)

    def test_outage_is_shared_if_most_lost_the_source(self) -> None:
        first = self.daemons[0].fleet
        self.assertFalse(first.is_outage_shared())
        for held in self.daemons[1:3]:
            held.read_contact_age = lambda: 5
        self.send_round()
        self.assertTrue(first.is_outage_shared())
        self.now += 10
        self.assertTrue(first.is_outage_shared())

    def test_planned_stop_leaves_no_gap(self) -> None:
        self.daemons[3].is_leaving = True
        self.send_round()
        self.daemons.pop()
        self.assertEqual(self.daemons[0].fleet.size, 3)


class TestCutHalves(pooling_case.PoolingCase):
    """A flood while the zones are cut from each other."""

    rate = 100
    burst = 20
    seconds = 5

    def setUp(self) -> None:
        """Give the account a rate."""
        super().setUp()
        limited = account.Account(
            name='first',
            keys=frozenset(),
            priority=None,
            rate=self.rate,
            burst=self.burst,
        )
        self.admitted: list[float] = []
        for held in self.daemons:
            held.quotas.rate_tolerance = TOLERANT.quota_excess / 2
            held.quotas.burst_tolerance = TOLERANT.quota_slack / 2
            held.quotas.configure([limited])

    def cut(self, is_one_way: bool = False) -> None:
        """Lose all datagrams between the zones, or those of one way."""
        zones = [held.fleet.local_member.host for held in self.daemons]
        lost = {(one, other) for one in zones[:2] for other in zones[2:]}
        if not is_one_way:
            lost |= {(other, one) for one, other in lost}
        self.network.lossy_links = lost

    def flood(self, seconds: float, asked: int = 10) -> None:
        """Let all daemons be asked for much."""
        for _ in range(round(seconds * 20)):
            self.now += 0.05
            for held in self.daemons:
                decisions = [held.quotas.admit('first') for _ in range(asked)]
                admitted = sum(each.is_admitted for each in decisions)
                self.admitted.extend([self.now] * admitted)
                held.send_due(self.now)

    def check(self) -> None:
        """Check the bound in every window."""
        within = self.rate * self.seconds + self.burst
        most = within * (1 + TOLERANT.quota_excess) + TOLERANT.quota_slack
        for start in sorted(set(self.admitted)):
            end = start + self.seconds
            count = sum(start <= at < end for at in self.admitted)
            self.assertLessEqual(count, most, start)

    def test_in_touch(self) -> None:
        self.flood(self.seconds)
        self.check()

    def test_zones_cut_from_each_other(self) -> None:
        self.cut()
        self.flood(self.seconds)
        self.check()

    def test_a_flood_begins_in_a_cut(self) -> None:
        self.cut()
        self.flood(self.seconds, asked=0)
        self.flood(self.seconds)
        self.check()

    def test_a_cut_comes_and_goes(self) -> None:
        for is_one_way in (False, True):
            self.flood(3)
            self.cut(is_one_way)
            self.flood(8)
            self.network.lossy_links = set()
            self.flood(8)
        self.check()

    def test_a_daemon_that_is_cut_off_has_its_part(self) -> None:
        host = self.daemons[0].fleet.local_member.host
        self.network.lossy_links = {
            pair
            for other in self.network.daemons
            for pair in ((host, other), (other, host))
        }
        self.flood(10, asked=0)
        before = self.daemons[0].quotas.buckets['first'].admitted
        self.flood(self.seconds)
        after = self.daemons[0].quotas.buckets['first'].admitted
        part = (self.rate * self.seconds + self.burst) / len(self.daemons)
        self.assertGreaterEqual(after - before, part)

    def test_all_of_the_rate_is_given_out(self) -> None:
        self.flood(4 * self.seconds)
        self.assertGreaterEqual(
            len(self.admitted),
            self.rate * 3 * self.seconds,
        )
