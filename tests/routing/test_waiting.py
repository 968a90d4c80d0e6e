"""Fair waiting for room."""

import asyncio
import random
import unittest

from sapphirepaddle import clock, errors
from sapphirepaddle.objects import service, target
from sapphirepaddle.routing import pool, fair_queue
from sapphirepaddle.settings import entry


class TestFairness(unittest.IsolatedAsyncioTestCase):
    """Accounts that wait for one slot."""

    def room(self, slots: int = 1, targets: int = 1) -> fair_queue.FairQueue:
        """Return a room before some targets."""
        held = pool.ServicePool(
            service.Service(name='s', slots=slots),
            'a',
            entry.RoutingSettings(),
            random.Random(1),
        )
        held.configure(
            held.service,
            [
                target.Target(
                    name=f't{number}',
                    service='s',
                    zone='a',
                    address='127.0.0.1',
                    port=1,
                )
                for number in range(targets)
            ],
            frozenset(),
        )
        return fair_queue.FairQueue(held, clock.monotonic)

    async def test_weights(self) -> None:
        """A flooding account gets its weight's share, no more."""
        room = self.room()
        first = await room.acquire('x', 1, 1, frozenset())
        served: list[str] = []

        async def wait(account: str, weight: float) -> None:
            view = await room.acquire(account, weight, 5, frozenset())
            served.append(account)
            room.release(view)

        tasks = [asyncio.create_task(wait('flood', 1)) for _ in range(100)] + [
            asyncio.create_task(wait('calm', 2)) for _ in range(20)
        ]
        await asyncio.sleep(0)
        room.release(first)
        await asyncio.gather(*tasks)
        self.assertGreaterEqual(served[:30].count('calm'), 18)

    async def test_timeout_and_cancellation_leak_nothing(self) -> None:
        """Room is given back whatever becomes of those who wait."""
        room = self.room(slots=2)
        chance = random.Random(5)

        async def one() -> None:
            try:
                view = await room.acquire('a', 1, 0.01, frozenset())
            except errors.RefusedError:
                return
            try:
                await asyncio.sleep(chance.choice((0, 0.005)))
            finally:
                room.release(view)

        tasks = [asyncio.create_task(one()) for _ in range(200)]
        await asyncio.sleep(0.005)
        for task in chance.sample(tasks, 50):
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        views = room.pool.views.values()
        self.assertEqual([view.outstanding for view in views], [0])
        self.assertEqual(room.waiters, [])

    async def test_no_target(self) -> None:
        """Without a target the refusal says so."""
        with self.assertRaises(errors.RefusedError) as caught:
            room = self.room(targets=0)
            await room.acquire('a', 1, 0.01, frozenset())
        self.assertEqual(caught.exception.code.number, 3012)


if __name__ == '__main__':
    unittest.main()
