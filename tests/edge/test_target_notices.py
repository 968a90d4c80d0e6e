"""Tests of targets that state in answers that they leave or want a pause."""

import asyncio
import typing

from sapphirepaddle.directory import source
from sapphirepaddle.peers import digest, leaving_exchange
from sapphirepaddle.settings import edge
from tests.edge import test_requests
from tests.support import platform_objects, scripted_target

LEAVING = 'Server-Leaving: 1'
DRAIN_SECONDS = 0.4
request = test_requests.request


class Leaving:
    """Answers with a header that states that the target leaves.

    Attributes:
        header: The header line.
    """

    def __init__(self, header: str = LEAVING) -> None:
        """Initialize with the header line."""
        self.header = header

    async def __call__(self, received: scripted_target.ReceivedRequest) -> None:
        """Answer one request."""
        received.writer.write(received.head(200, 2, self.header) + b'ok')


class Paused:
    """Turns each request away and states for how long.

    Attributes:
        retry_after: Value of the header.
    """

    def __init__(self, retry_after: str) -> None:
        """Initialize with the value of the header."""
        self.retry_after = retry_after

    async def __call__(self, received: scripted_target.ReceivedRequest) -> None:
        """Turn one request away."""
        headers = ('X-Not-Executed: 1', f'Retry-After: {self.retry_after}')
        received.writer.write(received.head(503, 0, *headers, stamp=''))


class NoticesCase(test_requests.OneTargetCase):
    """A daemon, two targets for orders and one for reads."""

    bounds = edge.Bounds(stop=3, drain=DRAIN_SECONDS)

    async def asyncSetUp(self) -> None:
        """Start the further target."""
        await super().asyncSetUp()
        await self.add_target('o-2', 'orders')
        await self.wait_until(
            lambda: len(self.daemon.components.directory.target_names()) == 3
        )
        self.number = 0

    async def send_orders(self, count: int) -> list[int]:
        """Send orders one after the other and return their statuses."""
        first = self.number
        self.number += count
        return [
            (await self.order(f'n{number}')).status
            for number in range(first, self.number)
        ]

    def arrivals(self, name: str) -> int:
        """Return how many requests a target received."""
        return len(self.targets[name].received)

    async def change_entry(self, name: str, **changes: typing.Any) -> None:
        """Write the registration of a target for orders."""
        entry = platform_objects.target(
            'orders', self.targets[name].port, **changes
        )
        await self.source.apply_change('servers', source.Entry(name, entry))


class TestLeaving(NoticesCase):
    """A target that states that it leaves gets no new requests.

    The store may be away, or list the target as ready for a while.
    """

    async def make_leave(self, *names: str) -> None:
        """Send orders until the targets have stated that they leave."""
        for name in names:
            self.targets[name].script = Leaving()
        targets = self.daemon.components.directory.service_targets('orders')
        while any(
            targets.candidates[name].leaving_since is None for name in names
        ):
            await self.send_orders(1)

    async def test_target_gets_nothing_while_the_store_is_away(self) -> None:
        self.source.is_unavailable = True
        await self.make_leave('o-1')
        arrivals = self.arrivals('o-1')
        self.assertEqual(await self.send_orders(20), [200] * 20)
        await asyncio.sleep(DRAIN_SECONDS)
        self.assertEqual(await self.send_orders(20), [200] * 20)
        self.assertEqual(self.arrivals('o-1'), arrivals)

    async def test_entry_that_returns_names_the_same_incarnation(self) -> None:
        await self.make_leave('o-1')
        directory = self.daemon.components.directory
        await self.source.apply_change('servers', source.Entry('o-1', None))
        await self.wait_until(lambda: 'o-1' not in directory.target_names())
        await self.change_entry('o-1')
        await self.wait_until(lambda: 'o-1' in directory.target_names())
        arrivals = self.arrivals('o-1')
        self.assertEqual(await self.send_orders(20), [200] * 20)
        self.assertEqual(self.arrivals('o-1'), arrivals)

    async def test_new_incarnation_is_another_target(self) -> None:
        await self.make_leave('o-1')
        self.targets['o-1'].script = scripted_target.answer_ok
        targets = self.daemon.components.directory.service_targets('orders')
        await self.change_entry('o-1', born=2)
        await self.wait_until(
            lambda: targets.candidates['o-1'].leaving_since is None
        )
        arrivals = self.arrivals('o-1')
        await self.send_orders(10)
        self.assertGreater(self.arrivals('o-1'), arrivals)
        await self.change_entry('o-1', born=1)
        await self.wait_until(
            lambda: targets.candidates['o-1'].leaving_since is not None
        )

    async def test_all_targets_serve_until_the_bound(self) -> None:
        await self.make_leave('o-1', 'o-2')
        self.assertEqual(await self.send_orders(2), [200, 200])
        await asyncio.sleep(DRAIN_SECONDS)
        arrivals = self.arrivals('o-1') + self.arrivals('o-2')
        reply = await self.order('late')
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.arrivals('o-1') + self.arrivals('o-2'), arrivals)

    async def test_other_daemons_are_told(self) -> None:
        others = [
            await self.start_daemon(2),
            await self.start_daemon(3, zone='b'),
            await self.start_daemon(4, zone='b'),
        ]
        fleet = self.daemon.components.fleet
        await self.wait_until(lambda: fleet.size == 4)
        await self.make_leave('o-1')
        for other in others:
            targets = other.components.directory.service_targets('orders')
            await self.wait_until(
                lambda targets=targets: (
                    targets.candidates['o-1'].leaving_since is not None
                ),
                seconds=10,
            )
            self.assertIsNone(targets.candidates['o-2'].leaving_since)

    async def test_answer_that_arrives_after_its_entry_was_removed(
        self,
    ) -> None:
        # It was forgotten, and the entry of a returned store used again.
        other = await self.start_daemon(2, zone='b')
        release = asyncio.Event()

        async def answer_later(
            received: scripted_target.ReceivedRequest,
        ) -> None:
            await release.wait()
            await Leaving()(received)

        self.targets['o-1'].script = answer_later
        arrivals = self.arrivals('o-1')
        orders = []
        async with asyncio.timeout(60):
            while self.arrivals('o-1') == arrivals:
                orders.append(asyncio.create_task(self.send_orders(1)))
                await asyncio.sleep(0.05)
        directories = [
            edge_daemon.components.directory for edge_daemon in self.daemons
        ]
        await self.source.apply_change('servers', source.Entry('o-1', None))
        await self.wait_until(
            lambda: not any(held.find_target('o-1') for held in directories)
        )
        release.set()
        await asyncio.gather(*orders)
        await asyncio.sleep(DRAIN_SECONDS)
        await self.change_entry('o-1')
        await self.wait_until(
            lambda: all(held.find_target('o-1') for held in directories)
        )
        arrivals = self.arrivals('o-1')
        self.assertEqual(await self.send_orders(20), [200] * 20)
        for number in range(10):
            await self.send_raw(
                other, request('/orders/x', f'm{number}', 'POST', b'body')
            )
        self.assertEqual(self.arrivals('o-1'), arrivals)

    async def test_notice_that_arrives_before_the_entry(self) -> None:
        exchange = self.daemon.components.count_exchange.leaving_exchange
        exchange.handle_notice(
            digest.LeavingNotice(
                (digest.LeavingTarget(digest.hash_name('o-3'), 1),)
            )
        )
        await self.add_target('o-3', 'orders')
        directory = self.daemon.components.directory
        await self.wait_until(lambda: directory.find_target('o-3') is not None)
        self.assertIsNotNone(directory.find_target('o-3').leaving_since)
        await self.change_entry('o-3', born=2)
        await self.wait_until(
            lambda: directory.find_target('o-3').leaving_since is None
        )

    async def test_target_that_moves_to_another_service(self) -> None:
        await self.make_leave('o-1')
        directory = self.daemon.components.directory
        entry = platform_objects.target('reads', self.targets['o-1'].port)
        await self.source.apply_change('servers', source.Entry('o-1', entry))
        await self.wait_until(
            lambda: directory.service_by_target.get('o-1') == 'reads'
        )
        self.assertIsNotNone(directory.find_target('o-1').leaving_since)

    async def test_memory_of_leaving_targets_is_bounded(self) -> None:
        exchange = self.daemon.components.count_exchange.leaving_exchange
        for number in range(leaving_exchange.MAX_KNOWN_TARGETS + 5):
            exchange.apply(digest.LeavingTarget(number, 1))
        self.assertEqual(
            len(exchange.known_since), leaving_exchange.MAX_KNOWN_TARGETS
        )

    async def test_malformed_header_is_ignored(self) -> None:
        for value in ('0', 'yes', '11', '1, 1', ''):
            self.targets['o-1'].script = Leaving(f'Server-Leaving: {value}')
            await self.send_orders(4)
        targets = self.daemon.components.directory.service_targets('orders')
        self.assertIsNone(targets.candidates['o-1'].leaving_since)

    async def test_answer_of_another_target_concerns_only_that(self) -> None:
        async def misdirect(received: scripted_target.ReceivedRequest) -> None:
            received.writer.write(received.head(421, 0, LEAVING, stamp=''))

        self.targets['o-1'].script = misdirect
        await self.send_orders(4)
        targets = self.daemon.components.directory.service_targets('orders')
        self.assertIsNone(targets.candidates['o-1'].leaving_since)


class TestPauses(NoticesCase):
    """A target that turns a request away may state for how long."""

    async def test_target_gets_nothing_during_its_pause(self) -> None:
        self.targets['o-1'].script = Paused('30')
        self.assertEqual(await self.send_orders(30), [200] * 30)
        self.assertEqual(self.arrivals('o-1'), 1)

    async def test_pause_outlasts_the_entry(self) -> None:
        release = asyncio.Event()

        async def turn_away_later(
            received: scripted_target.ReceivedRequest,
        ) -> None:
            await release.wait()
            await Paused('60')(received)

        self.targets['o-1'].script = turn_away_later
        directory = self.daemon.components.directory
        arrivals = self.arrivals('o-1')
        orders = []
        async with asyncio.timeout(60):
            while self.arrivals('o-1') == arrivals:
                orders.append(asyncio.create_task(self.send_orders(1)))
                await asyncio.sleep(0.05)
        await self.source.apply_change('servers', source.Entry('o-1', None))
        await self.wait_until(lambda: not directory.find_target('o-1'))
        release.set()
        await asyncio.gather(*orders)
        await self.change_entry('o-1')
        await self.wait_until(lambda: directory.find_target('o-1') is not None)
        arrivals = self.arrivals('o-1')
        self.assertEqual(await self.send_orders(20), [200] * 20)
        self.assertEqual(self.arrivals('o-1'), arrivals)

    async def test_target_is_used_after_its_pause(self) -> None:
        self.targets['o-1'].script = Paused('0.25')
        await self.send_orders(4)
        self.targets['o-1'].script = scripted_target.answer_ok
        arrivals = self.arrivals('o-1')
        await asyncio.sleep(0.3)
        await self.send_orders(4)
        self.assertGreater(self.arrivals('o-1'), arrivals)

    async def test_pause_is_no_evidence_of_a_fault(self) -> None:
        targets = self.daemon.components.directory.service_targets('orders')
        candidate = targets.candidates['o-1']
        self.targets['o-1'].script = Paused('30')
        await self.send_orders(10)
        self.assertEqual(self.arrivals('o-1'), 1)
        self.assertEqual((candidate.local_bad, candidate.result_count), (0, 0))

    async def test_refused_at_once_if_all_targets_are_paused(self) -> None:
        for name in ('o-1', 'o-2'):
            self.targets[name].script = Paused('20')
        await self.order('first')
        arrivals = [self.arrivals(name) for name in ('o-1', 'o-2')]
        reply = await self.order('second')
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers['retry-after']), 10)
        self.assertEqual(
            [self.arrivals(name) for name in ('o-1', 'o-2')], arrivals
        )

    async def test_malformed_pause_is_ignored(self) -> None:
        for value in ('soon', '-3', '1e9', 'nan', 'inf', '0x10'):
            self.targets['o-1'].script = Paused(value)
            await self.send_orders(4)
        targets = self.daemon.components.directory.service_targets('orders')
        self.assertLess(targets.candidates['o-1'].avoided_until, 0)

    async def test_very_long_pause_is_cut(self) -> None:
        self.targets['o-1'].script = Paused('999999999')
        await self.send_orders(4)
        targets = self.daemon.components.directory.service_targets('orders')
        now = asyncio.get_running_loop().time()
        self.assertLess(targets.seconds_until_room(now), 301)


class TestPauseOfOtherStatus(NoticesCase):
    """The time counts only beside the status that turns a request away."""

    async def test_retry_after_of_an_answer(self) -> None:
        async def answer(received: scripted_target.ReceivedRequest) -> None:
            received.writer.write(received.head(200, 2, 'Retry-After: 9'))
            received.writer.write(b'ok')

        self.targets['o-1'].script = answer
        targets = self.daemon.components.directory.service_targets('orders')
        while not self.arrivals('o-1'):
            await self.send_orders(1)
        self.assertLess(targets.candidates['o-1'].avoided_until, 0)


class TestLapsedTarget(NoticesCase):
    """A target whose entry lapses keeps the requests that it runs."""

    async def test_running_request_is_answered(self) -> None:
        started = asyncio.Event()
        finish = asyncio.Event()

        async def answer_late(
            received: scripted_target.ReceivedRequest,
        ) -> None:
            started.set()
            await finish.wait()
            received.answer()

        for name in ('o-1', 'o-2'):
            self.targets[name].script = answer_late
        order = asyncio.create_task(self.order('slow'))
        await started.wait()
        directory = self.daemon.components.directory
        for name in ('o-1', 'o-2'):
            await self.source.apply_change('servers', source.Entry(name, None))
        await self.wait_until(lambda: directory.target_names() == {'t-1'})
        finish.set()
        self.assertEqual((await order).status, 200)
        self.assertEqual(self.arrivals('o-1') + self.arrivals('o-2'), 1)
