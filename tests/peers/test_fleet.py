"""Tests of an account quota over a connected and a partitioned fleet."""

import math

from sapphirepaddle.directory import account, member
from sapphirepaddle.peers import contact, digest, fleet
from sapphirepaddle.settings import edge
from tests.support import pooling_case

BOUNDS = edge.Bounds(quota_slack=20, quota_excess=0.1)


class TestQuota(pooling_case.PoolingCase):
    """Several daemons must not admit more than the quota of one account.

    Each daemon admits on its own and learns of the admissions of others by
    datagrams; silent daemons must neither be counted nor waited for.
    """

    def admit(self, number: int, count: int) -> int:
        """Return how many of a number of requests one daemon admits."""
        quotas = self.daemons[number].quotas
        return sum(quotas.admit('first').is_admitted for _ in range(count))

    def test_peer_admissions_count(self) -> None:
        """A daemon that ignores admissions of its peers exceeds the quota."""
        self.assertEqual(self.admit(0, 30), 30)
        self.send_round()
        admitted = [self.admit(number, 30) for number in (1, 2)]
        self.send_round()
        self.assertEqual(admitted[0], 20)
        self.assertLessEqual(sum(admitted) + 30, 50 + 20)
        self.assertEqual(self.admit(3, 30), 0)

    def test_lost_report_of_the_last_admissions_is_repeated(self) -> None:
        """Callers that stop before the report is repeated must still count."""
        self.network.is_lossy = True
        self.assertEqual(self.admit(1, 30), 30)
        self.send_round()
        self.network.is_lossy = False
        for _ in range(4):
            self.send_round()
        self.assertEqual(self.admit(0, 30), 20)

    def test_recently_started_daemons_count_in_full(self) -> None:
        """First totals of older daemons may lie outside the quota window."""
        daemon = self.daemons[0]
        daemon.fleet.local_member = member.Member(
            name='vm-0',
            zone='a',
            host='host-0',
            incarnation=100_000,
        )
        for start, expected_tokens in ((99_000, 20), (90_000, 49)):
            daemon.quotas.buckets['first'].tokens = 50
            body = digest.Digest(
                sender=start,
                start=start,
                accounts=(digest.AccountCount(digest.hash_name('first'), 30),),
            )
            daemon.handle_datagram(body, 'host')
            tokens = daemon.quotas.buckets['first'].tokens
            self.assertAlmostEqual(tokens, expected_tokens, 1)

    def test_silence_of_all_peers_means_isolation(self) -> None:
        """An isolated daemon must limit itself to its own share."""
        before = self.daemons[0].fleet.in_touch_ratio()
        self.now += fleet.ISOLATION_TIMEOUT_SECONDS + 0.1
        after = self.daemons[0].fleet.in_touch_ratio()
        self.assertEqual((before, after), (1, 0.25))

    def test_in_touch_ratio_excludes_silent_daemon(self) -> None:
        """A stopped daemon must not count as reachable."""
        self.daemons.pop()
        for _ in range(3):
            self.send_round()
        self.assertEqual(self.daemons[0].fleet.in_touch_ratio(), 0.75)

    def test_answers_to_one_peer_show_that_there_was_no_outage(self) -> None:
        """All daemons but one lost the source, then that one as well."""
        evidence = self.daemons[0].fleet.outage_evidence
        for daemon in self.daemons[1:]:
            daemon.read_contact_ages = lambda: contact.ContactAges(0, 200, 90)
        self.now += 10
        self.send_round()
        self.assertEqual(evidence.source_returned_at(), math.inf)
        self.daemons[1].read_contact_ages = lambda: contact.ContactAges(
            200, 200, 5
        )
        self.send_round()
        self.assertEqual(evidence.source_returned_at(), -math.inf)
        self.now += 10
        self.assertEqual(evidence.source_returned_at(), math.inf)

    def test_planned_stop_removes_member(self) -> None:
        """A leaving daemon must not be waited for until it times out."""
        self.daemons[3].is_leaving = True
        self.send_round()
        self.daemons.pop()
        self.assertEqual(self.daemons[0].fleet.size, 3)


class TestZonePartition(pooling_case.PoolingCase):
    """The quota must hold although the zones do not hear of each other.

    Without datagrams from the other zone, each zone could admit the whole
    quota; callers send more than the quota all the while.

    Attributes:
        rate: Rate of the account in requests per second.
        burst: Burst of the account in requests.
        seconds: Length of a window, and of a phase of overload.
        admitted: Times of the admitted requests.
    """

    rate = 100
    burst = 20
    seconds = 5

    def setUp(self) -> None:
        """Configure the rate of the account at all daemons."""
        super().setUp()
        limited = account.Account(
            name='first',
            keys=frozenset(),
            priority=None,
            rate=self.rate,
            burst=self.burst,
        )
        self.admitted: list[float] = []
        for daemon in self.daemons:
            daemon.quotas.rate_tolerance = BOUNDS.quota_excess / 2
            daemon.quotas.burst_tolerance = BOUNDS.quota_slack / 2
            daemon.quotas.configure([limited])

    def partition(self, is_one_way: bool = False) -> None:
        """Drop all datagrams between the zones, or in one direction."""
        hosts = [daemon.fleet.local_member.host for daemon in self.daemons]
        lost_links = {
            (sender, receiver) for sender in hosts[:2] for receiver in hosts[2:]
        }
        if not is_one_way:
            lost_links |= {
                (receiver, sender) for sender, receiver in lost_links
            }
        self.network.lossy_links = lost_links

    def overload(self, seconds: float, request_count: int = 10) -> None:
        """Send requests above the quota to all daemons."""
        for _ in range(round(seconds * 20)):
            self.now += 0.05
            for daemon in self.daemons:
                decisions = [
                    daemon.quotas.admit('first') for _ in range(request_count)
                ]
                admitted = sum(decision.is_admitted for decision in decisions)
                self.admitted.extend([self.now] * admitted)
                daemon.send_due(self.now)

    def check_limit(self) -> None:
        """Check the limit of admitted requests in every window."""
        allowed = self.rate * self.seconds + self.burst
        limit = allowed * (1 + BOUNDS.quota_excess) + BOUNDS.quota_slack
        for start in sorted(set(self.admitted)):
            end = start + self.seconds
            count = sum(start <= time < end for time in self.admitted)
            self.assertLessEqual(count, limit, start)

    def test_no_partition(self) -> None:
        """The limit holds while all daemons exchange counts."""
        self.overload(self.seconds)
        self.check_limit()

    def test_partitioned_zones(self) -> None:
        """Each zone must not admit the whole quota."""
        self.partition()
        self.overload(self.seconds)
        self.check_limit()

    def test_overload_begins_during_partition(self) -> None:
        """A quota unused before the partition must not be spent twice."""
        self.partition()
        self.overload(self.seconds, request_count=0)
        self.overload(self.seconds)
        self.check_limit()

    def test_repeated_partitions(self) -> None:
        """The limit holds when partitions begin and end under load."""
        for is_one_way in (False, True):
            self.overload(3)
            self.partition(is_one_way)
            self.overload(8)
            self.network.lossy_links = set()
            self.overload(8)
        self.check_limit()

    def test_isolated_daemon_admits_its_share(self) -> None:
        """An isolated daemon must not refuse its own share of the quota."""
        host = self.daemons[0].fleet.local_member.host
        self.network.lossy_links = {
            link
            for other in self.network.daemons
            for link in ((host, other), (other, host))
        }
        self.overload(10, request_count=0)
        before = self.daemons[0].quotas.buckets['first'].admitted
        self.overload(self.seconds)
        after = self.daemons[0].quotas.buckets['first'].admitted
        share = (self.rate * self.seconds + self.burst) / len(self.daemons)
        self.assertGreaterEqual(after - before, share)

    def test_full_rate_is_admitted(self) -> None:
        """The daemons together must not admit less than the rate."""
        self.overload(4 * self.seconds)
        self.assertGreaterEqual(
            len(self.admitted),
            self.rate * 3 * self.seconds,
        )
