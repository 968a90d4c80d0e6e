"""Ejections never push a service below its floor."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sapphirepaddle.objects import service, target
from sapphirepaddle.routing import capacity_floor, pool, result, ejection_state
from sapphirepaddle.settings import entry

candidates = strategies.lists(
    strategies.builds(
        capacity_floor.TargetCapacity,
        name=strategies.uuids().map(str),
        slots=strategies.integers(1, 6),
        gone=strategies.booleans(),
        ejected=strategies.booleans(),
        badness=strategies.floats(0, 10),
    ),
    max_size=20,
    unique_by=lambda candidate: candidate.name,
)
shares = strategies.floats(0, 1)


class TestRoutingSet(unittest.TestCase):
    """The pure rule."""

    @hypothesis.given(candidates, shares)
    def test_floor_holds(
        self,
        given: list[capacity_floor.TargetCapacity],
        share: float,
    ) -> None:
        """What stays is at the floor, or nothing more could stay."""
        kept = capacity_floor.select_routing_set(given, share)
        present = [held for held in given if not held.is_unavailable]
        slots = sum(held.slots for held in given if held.name in kept)
        needed = share * sum(held.slots for held in given)
        possible = sum(held.slots for held in present)
        self.assertGreaterEqual(slots, min(needed, possible))
        self.assertLessEqual(kept, {held.name for held in present})
        if present:
            self.assertTrue(kept)

    @hypothesis.given(candidates, shares)
    def test_least_bad_stay(
        self,
        given: list[capacity_floor.TargetCapacity],
        share: float,
    ) -> None:
        """No ejected target stays in place of a better one."""
        kept = capacity_floor.select_routing_set(given, share)
        ejected = [
            held for held in given if held.ejected and not held.is_unavailable
        ]
        stayed = [held.fault_score for held in ejected if held.name in kept]
        left = [held.fault_score for held in ejected if held.name not in kept]
        if stayed and left:
            self.assertLessEqual(max(stayed), min(left))

    def test_healthy_always_stay(self) -> None:
        """A target without evidence against it stays."""
        given = [
            capacity_floor.TargetCapacity(
                'good', 2, is_unavailable=False, ejected=False, fault_score=0
            ),
            capacity_floor.TargetCapacity(
                'bad', 2, is_unavailable=False, ejected=True, fault_score=1
            ),
        ]
        self.assertEqual(
            capacity_floor.select_routing_set(given, 0.5), {'good'}
        )
        self.assertEqual(
            capacity_floor.select_routing_set(given, 0.6), {'good', 'bad'}
        )


steps = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 5),
        strategies.sampled_from(
            ('bad', 'good', 'eject', 'return', 'drain', 'empty', 'refill'),
        ),
        strategies.floats(0, 2),
    ),
    max_size=60,
)


class TestSequences(unittest.TestCase):
    """Sequences of evidence, verdicts, drains and emptied zones."""

    @hypothesis.given(steps, shares)
    @hypothesis.settings(deadline=None)
    def test_floor_holds(
        self,
        given: list[tuple[int, str, float]],
        share: float,
    ) -> None:
        """The routing set stays at the floor after every step."""
        configured = service.Service(name='s', slots=2, floor=share)
        targets = [
            target.Target(
                name=f't{number}',
                service='s',
                zone='abc'[number % 3],
                address='127.0.0.1',
                port=1 + number,
            )
            for number in range(6)
        ]
        held = pool.ServicePool(
            configured,
            'a',
            entry.RoutingSettings(),
            random.Random(1),
        )
        emptied: set[str] = set()
        held.configure(configured, targets, emptied)
        now = 1.0
        epoch = 0
        for number, step, pause in given:
            now += pause
            epoch += 1
            name = f't{number}'
            view = held.views[name]
            zone = 'abc'[number % 3]
            if step == 'bad':
                view.record_result(result.Result.ERROR, now)
                view.record_result(result.Result.ERROR, now)
            elif step == 'good':
                view.record_result(result.Result.GOOD, now)
            elif step == 'drain':
                view.record_draining(now)
            elif step in {'empty', 'refill'}:
                emptied = (
                    emptied | {zone} if step == 'empty' else emptied - {zone}
                )
                held.configure(configured, targets, emptied)
            else:
                standing = {
                    'eject': ejection_state.Standing.EJECTED,
                    'return': ejection_state.Standing.RETURNING,
                }[step]
                held.apply_ejection_state(
                    ejection_state.EjectionState(
                        target=name,
                        epoch=epoch,
                        standing=standing,
                    ),
                    now,
                )
            held.refreshed = -1
            self.check(held, share, now)

    def check(self, held: pool.ServicePool, share: float, now: float) -> None:
        """Check the floor of a pool."""
        routed = held.routing_set(now)
        present = [
            view
            for name, view in held.views.items()
            if name not in held.unavailable and now >= view.draining_until
        ]
        needed = min(share * 12, 2 * len(present))
        self.assertGreaterEqual(2 * len(routed), needed)
        if present:
            self.assertTrue(routed)


if __name__ == '__main__':
    unittest.main()
