"""Ejections never push a service below its floor."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sapphirepaddle.objects import service, target
from sapphirepaddle.routing import floor, pool, result, verdict
from sapphirepaddle.settings import entry

candidates = strategies.lists(
    strategies.builds(
        floor.Candidate,
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
        given: list[floor.Candidate],
        share: float,
    ) -> None:
        """What stays is at the floor, or nothing more could stay."""
        kept = floor.routing_set(given, share)
        present = [held for held in given if not held.gone]
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
        given: list[floor.Candidate],
        share: float,
    ) -> None:
        """No ejected target stays in place of a better one."""
        kept = floor.routing_set(given, share)
        ejected = [held for held in given if held.ejected and not held.gone]
        stayed = [held.badness for held in ejected if held.name in kept]
        left = [held.badness for held in ejected if held.name not in kept]
        if stayed and left:
            self.assertLessEqual(max(stayed), min(left))

    def test_healthy_always_stay(self) -> None:
        """A target without evidence against it stays."""
        given = [
            floor.Candidate('good', 2, gone=False, ejected=False, badness=0),
            floor.Candidate('bad', 2, gone=False, ejected=True, badness=1),
        ]
        self.assertEqual(floor.routing_set(given, 0.5), {'good'})
        self.assertEqual(floor.routing_set(given, 0.6), {'good', 'bad'})


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
            entry.Routing(),
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
                view.record(result.Result.ERROR, now)
                view.record(result.Result.ERROR, now)
            elif step == 'good':
                view.record(result.Result.GOOD, now)
            elif step == 'drain':
                view.note_draining(now)
            elif step in {'empty', 'refill'}:
                emptied = (
                    emptied | {zone} if step == 'empty' else emptied - {zone}
                )
                held.configure(configured, targets, emptied)
            else:
                standing = {
                    'eject': verdict.Standing.EJECTED,
                    'return': verdict.Standing.RETURNING,
                }[step]
                held.apply(
                    verdict.Verdict(
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
            if name not in held.gone and now >= view.draining_until
        ]
        needed = min(share * 12, 2 * len(present))
        self.assertGreaterEqual(2 * len(routed), needed)
        if present:
            self.assertTrue(routed)


if __name__ == '__main__':
    unittest.main()
