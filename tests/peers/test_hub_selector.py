"""Tests of the hubs of a large zone."""

import itertools

from sapphirepaddle.peers import count_exchange, digest
from tests.support import pooling_case


class TestLargeZone(pooling_case.PoolingCase):
    """A zone of 20 daemons must exchange all results with few datagrams.

    Hubs bundle the digests. A hub that fails, or a lost link to or from it,
    would withhold the results of the daemons that use it.
    """

    zones = ('a',) * 20 + ('b',) * 2

    def run_intervals(self, count: int = 1) -> None:
        """Advance by a number of batch intervals."""
        for _ in range(count):
            self.now += count_exchange.SAME_ZONE_BATCH_SECONDS + 0.001
            for daemon in self.daemons:
                daemon.send_due(self.now)

    def record_good_result(self, number: int) -> None:
        """Record a good result at one daemon."""
        target = self.daemons[number].directory.find_target('t-1')
        target.record_answer(is_good=True, now=self.now)
        self.daemons[number].record_send_end(target, is_bad=False)

    def aware_daemons(self) -> list[int]:
        """Return the daemons of the large zone that know one result."""
        return [
            number
            for number, daemon in enumerate(self.daemons[:20])
            if daemon.directory.find_target('t-1').result_count == 1
        ]

    def hub_of(self, number: int) -> str:
        """Return the host of the hub that a daemon uses."""
        daemon = self.daemons[number]
        hub = daemon.hub_selector.choose(daemon.fleet.same_zone_hashes())
        return next(
            host
            for host, other in self.network.daemons.items()
            if other.hub_selector.local_hash == hub
        )

    def find_non_hub(self) -> int:
        """Return the number of a daemon that is not a hub."""
        hubs = {self.hub_of(number) for number in range(20)}
        return next(
            number
            for number, daemon in enumerate(self.daemons)
            if daemon.fleet.local_member.host not in hubs
        )

    def test_hub_forwards_result_to_all(self) -> None:
        """One datagram to the hub must suffice for the whole zone."""
        self.run_intervals(5)
        number = self.find_non_hub()
        self.record_good_result(number)
        before = self.network.datagrams_sent
        self.daemons[number].send_due(self.now + 0.06)
        self.assertEqual(self.network.datagrams_sent - before, 1)
        self.run_intervals(2)
        self.assertEqual(len(self.aware_daemons()), 20)

    def test_datagram_count_is_not_quadratic(self) -> None:
        """20 results must not send 20 x 20 datagrams."""
        self.run_intervals(5)
        before = self.network.datagrams_sent
        for number in range(20):
            self.record_good_result(number)
        self.run_intervals(2)
        self.assertLess(self.network.datagrams_sent - before, 20 * 20 / 2)

    def test_bad_result_bypasses_hub(self) -> None:
        """A bad result must not wait for the bundle of a hub."""
        number = self.find_non_hub()
        target = self.daemons[number].directory.find_target('t-1')
        target.record_answer(is_good=False, now=self.now)
        self.daemons[number].record_send_end(target, is_bad=True)
        self.daemons[number].send_due(self.now)
        self.assertEqual(len(self.aware_daemons()), 20)

    def test_reordered_digest_adds_nothing(self) -> None:
        """A digest via the hub may arrive after a newer direct one."""
        self.run_intervals(5)
        number = self.find_non_hub()
        target = self.daemons[number].directory.find_target('t-1')
        for _ in range(3):
            self.daemons[number].quotas.admit('first')
        self.record_good_result(number)
        self.daemons[number].send_due(self.now + 0.06)
        target.record_answer(is_good=False, now=self.now)
        self.daemons[number].record_send_end(target, is_bad=True)
        self.daemons[number].send_due(self.now + 0.06)
        self.run_intervals(3)
        other = self.daemons[(number + 1) % 20]
        self.assertEqual(other.directory.find_target('t-1').result_count, 2)
        self.assertAlmostEqual(other.quotas.buckets['first'].tokens, 47)

    def test_unreachable_hub(self) -> None:
        """Digests that the hub did not echo must be sent again."""
        self.run_intervals(5)
        number = self.find_non_hub()
        hub = self.hub_of(number)
        self.network.lossy_links.add(('', hub))
        self.record_good_result(number)
        self.run_intervals(2)
        self.assertLess(len(self.aware_daemons()), 20)
        self.run_intervals(30)
        self.assertGreaterEqual(len(self.aware_daemons()), 19)
        self.assertNotEqual(self.hub_of(number), hub)

    def test_digests_to_hub_are_lost(self) -> None:
        """Only the link from the daemon to its hub is down."""
        self.run_intervals(5)
        number = self.find_non_hub()
        hub, host = (
            self.hub_of(number),
            self.daemons[number].fleet.local_member.host,
        )
        self.network.lossy_links.add((host, hub))
        self.record_good_result(number)
        self.run_intervals(30)
        self.assertGreaterEqual(len(self.aware_daemons()), 19)
        self.run_intervals(30)
        self.record_good_result(number)
        self.run_intervals(2)
        result_count = (
            self.network.daemons[hub].directory.find_target('t-1').result_count
        )
        self.assertEqual(result_count, 2)

    def test_bundles_from_hub_are_lost(self) -> None:
        """Only the link from the hub back to the daemon is down."""
        self.run_intervals(5)
        number = self.find_non_hub()
        hub, host = (
            self.hub_of(number),
            self.daemons[number].fleet.local_member.host,
        )
        self.network.lossy_links.add((hub, host))
        self.record_good_result(number)
        self.run_intervals(30)
        self.assertEqual(len(self.aware_daemons()), 20)
        self.assertNotEqual(self.hub_of(number), hub)

    def test_digest_from_other_zone_reaches_all(self) -> None:
        """The receiver must forward it within its own zone."""
        self.run_intervals(50)
        target = self.daemons[21].directory.find_target('t-1')
        target.record_answer(is_good=True, now=self.now)
        self.daemons[21].record_send_end(target, is_bad=False)
        self.run_intervals(
            int(
                count_exchange.OTHER_ZONE_BATCH_SECONDS
                / count_exchange.SAME_ZONE_BATCH_SECONDS
            )
            + 2
        )
        self.assertEqual(len(self.aware_daemons()), 20)


class TestBatchInterval(pooling_case.PoolingCase):
    """What a daemon receives must not grow in proportion to its zone."""

    zones = ('a',) * 73

    def count_digests(self) -> int:
        """Return how many digests one daemon receives in a second."""
        received = 0
        host = self.daemons[-1].fleet.local_member.host
        handle_digest = self.daemons[-1].handle_digest

        def count(body: digest.Digest, sender: str) -> None:
            nonlocal received
            received += 1
            handle_digest(body, sender)

        self.network.daemons[host].handle_digest = count
        ticks = round(1 / count_exchange.SAME_ZONE_BATCH_SECONDS)
        for _ in range(ticks):
            self.now += count_exchange.SAME_ZONE_BATCH_SECONDS + 0.0001
            for daemon in self.daemons:
                target = daemon.directory.find_target('t-1')
                daemon.record_send_end(target, is_bad=False)
                daemon.send_due(self.now)
        return received

    def test_digests_of_a_daemon_become_rarer(self) -> None:
        most = len(self.zones) / count_exchange.SAME_ZONE_BATCH_SECONDS
        self.assertLess(self.count_digests(), most / 2)


class TestZoneOfSeventyDaemons(pooling_case.PoolingCase):
    """The hubs of a zone must not use up their links.

    Three hubs for 69 daemons sent more than a link of 10 Mbit/s carries. Their
    calls to the store and to targets timed out, and they went on with targets
    that had left.
    """

    zones = ('a',) * 70
    smallest_link_bytes = 5_000_000 / 8
    seconds = 2

    def test_busiest_daemon_uses_half_of_the_smallest_link(self) -> None:
        self.network.bytes_by_sender.clear()
        ends_at = self.now + self.seconds
        for tick in itertools.count():
            self.now += count_exchange.SAME_ZONE_BATCH_SECONDS + 0.001
            if self.now > ends_at:
                break
            for number, daemon in enumerate(self.daemons):
                if (tick + number) % 10 == 0:
                    target = daemon.directory.find_target('t-1')
                    target.record_answer(is_good=True, now=self.now)
                    daemon.record_send_end(target, is_bad=False)
                daemon.send_due(self.now)
        rates = [
            sent / self.seconds
            for sent in self.network.bytes_by_sender.values()
        ]
        self.assertLessEqual(max(rates), self.smallest_link_bytes / 2)
