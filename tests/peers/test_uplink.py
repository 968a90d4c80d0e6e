"""Hubs of a large zone."""

from sapphirepaddle.peers import count_exchange
from tests.support import pooling_case


class TestLargeZone(pooling_case.PoolingCase):
    """A zone in which hubs bundle digests."""

    zones = ('a',) * 20 + ('b',) * 2

    def tick(self, count: int = 1) -> None:
        """Let some gatherings pass."""
        for _ in range(count):
            self.now += count_exchange.SAME_ZONE_BATCH_SECONDS + 0.001
            for held in self.daemons:
                held.send_due(self.now)

    def succeed(self, number: int) -> None:
        """Let one daemon see a good result."""
        held = self.daemons[number].directory.find_target('t-1')
        held.record_answer(is_good=True, now=self.now)
        self.daemons[number].record_send_end(held, is_bad=False)

    def who_knows(self) -> list[int]:
        """Return which daemons of the large zone know one result."""
        return [
            number
            for number, held in enumerate(self.daemons[:20])
            if held.directory.find_target('t-1').result_count == 1
        ]

    def hub_of(self, number: int) -> str:
        """Return the host of a daemon's hub."""
        held = self.daemons[number]
        hub = held.hub_selector.choose(held.fleet.same_zone_hashes())
        return next(
            host
            for host, other in self.network.daemons.items()
            if other.hub_selector.local_hash == hub
        )

    def ordinary(self) -> int:
        """Return a daemon that is not a hub."""
        hubs = {self.hub_of(number) for number in range(20)}
        return next(
            number
            for number, held in enumerate(self.daemons)
            if held.fleet.local_member.host not in hubs
        )

    def test_result_reaches_all_by_a_hub(self) -> None:
        self.tick(5)
        number = self.ordinary()
        self.succeed(number)
        before = self.network.datagrams_sent
        self.daemons[number].send_due(self.now + 0.06)
        self.assertEqual(self.network.datagrams_sent - before, 1)
        self.tick(2)
        self.assertEqual(len(self.who_knows()), 20)

    def test_datagrams_grow_with_the_fleet_not_its_square(self) -> None:
        self.tick(5)
        before = self.network.datagrams_sent
        for number in range(20):
            self.succeed(number)
        self.tick(2)
        self.assertLess(self.network.datagrams_sent - before, 20 * 20 / 2)

    def test_bad_result_goes_to_all_at_once(self) -> None:
        number = self.ordinary()
        held = self.daemons[number].directory.find_target('t-1')
        held.record_answer(is_good=False, now=self.now)
        self.daemons[number].record_send_end(held, is_bad=True)
        self.daemons[number].send_due(self.now)
        self.assertEqual(len(self.who_knows()), 20)

    def test_overtaken_digest_adds_nothing(self) -> None:
        self.tick(5)
        number = self.ordinary()
        held = self.daemons[number].directory.find_target('t-1')
        for _ in range(3):
            self.daemons[number].quotas.admit('first')
        self.succeed(number)
        self.daemons[number].send_due(self.now + 0.06)
        held.record_answer(is_good=False, now=self.now)
        self.daemons[number].record_send_end(held, is_bad=True)
        self.daemons[number].send_due(self.now + 0.06)
        self.tick(3)
        other = self.daemons[(number + 1) % 20]
        self.assertEqual(other.directory.find_target('t-1').result_count, 2)
        self.assertAlmostEqual(other.quotas.buckets['first'].tokens, 47)

    def test_lost_hub(self) -> None:
        self.tick(5)
        number = self.ordinary()
        lost = self.hub_of(number)
        self.network.lossy_links.add(('', lost))
        self.succeed(number)
        self.tick(2)
        self.assertLess(len(self.who_knows()), 20)
        self.tick(30)
        self.assertGreaterEqual(len(self.who_knows()), 19)
        self.assertNotEqual(self.hub_of(number), lost)

    def test_hub_is_cut_one_way(self) -> None:
        self.tick(5)
        number = self.ordinary()
        hub, own = (
            self.hub_of(number),
            self.daemons[number].fleet.local_member.host,
        )
        self.network.lossy_links.add((own, hub))
        self.succeed(number)
        self.tick(30)
        self.assertGreaterEqual(len(self.who_knows()), 19)
        self.tick(30)
        self.succeed(number)
        self.tick(2)
        counted = (
            self.network.daemons[hub].directory.find_target('t-1').result_count
        )
        self.assertEqual(counted, 2)

    def test_bundles_of_the_hub_are_lost_one_way(self) -> None:
        self.tick(5)
        number = self.ordinary()
        hub, own = (
            self.hub_of(number),
            self.daemons[number].fleet.local_member.host,
        )
        self.network.lossy_links.add((hub, own))
        self.succeed(number)
        self.tick(30)
        self.assertEqual(len(self.who_knows()), 20)
        self.assertNotEqual(self.hub_of(number), hub)

    def test_other_zone_reaches_all(self) -> None:
        self.tick(50)
        held = self.daemons[21].directory.find_target('t-1')
        held.record_answer(is_good=True, now=self.now)
        self.daemons[21].record_send_end(held, is_bad=False)
        self.tick(
            int(
                count_exchange.OTHER_ZONE_BATCH_SECONDS
                / count_exchange.SAME_ZONE_BATCH_SECONDS
            )
            + 2
        )
        self.assertEqual(len(self.who_knows()), 20)
