"""Choice among the targets of a service."""

import random
import unittest

from sapphirepaddle.directory import registration
from sapphirepaddle.routing import candidate, cost_weights, service_targets

ORDERS = cost_weights.CostWeights(objective_seconds=0.8, failure=5)


def registered(
    name: str,
    zone: str = 'a',
    **changed: object,
) -> registration.Registration:
    """Return a registration."""
    fields = {
        'name': name,
        'service': 'orders',
        'host': '127.0.0.1',
        'port': 80,
        'zone': zone,
        'slots': 2,
        'incarnation': 1,
    }
    return registration.Registration(**(fields | changed))


class TestRoster(unittest.TestCase):
    """Three targets, one in another zone."""

    def setUp(self) -> None:
        """Register the targets; all had one good result."""
        self.roster = service_targets.ServiceTargets('a', random.Random(1))
        for name, zone in (('one', 'a'), ('two', 'a'), ('far', 'b')):
            self.roster.apply_registration(registered(name, zone), 100)
            self.held(name).record_answer(is_good=True, now=100)
        self.roster.record_latency(0.25)

    def held(self, name: str) -> candidate.Candidate:
        """Return a target."""
        return self.roster.candidates[name]

    def chosen(self, excluded: frozenset[str] = frozenset()) -> set[str]:
        """Return the targets chosen in many draws."""
        return {
            held.registration.name
            for held in (
                self.roster.choose(excluded, ORDERS, 100) for _ in range(50)
            )
            if held is not None
        }

    def test_own_zone_first(self) -> None:
        self.assertEqual(self.chosen(), {'one', 'two'})

    def test_suspect_is_avoided(self) -> None:
        self.held('one').record_result(is_good=False, now=100)
        self.assertEqual(self.chosen(), {'two'})

    def test_other_zone_when_the_own_is_suspect(self) -> None:
        for name in ('one', 'two'):
            self.held(name).record_result(is_good=False, now=100)
        self.assertEqual(self.chosen(), {'far'})

    def test_busy_target_is_avoided(self) -> None:
        self.held('one').peer_outstanding[1] = candidate.PeerOutstanding(3, 100)
        self.assertEqual(self.chosen(), {'two'})

    def test_old_report_of_running_requests_is_dropped(self) -> None:
        old = 100 - candidate.MAX_REPORT_AGE_SECONDS - 1
        self.held('one').peer_outstanding[1] = candidate.PeerOutstanding(9, old)
        self.assertEqual(self.chosen(), {'one', 'two'})

    def test_draining_and_misdirected_take_nothing(self) -> None:
        self.roster.apply_registration(registered('one', is_draining=True), 100)
        self.held('two').record_misdirected(100)
        self.assertEqual(self.chosen(), {'far'})

    def test_excluded(self) -> None:
        self.assertEqual(self.chosen(frozenset(('one', 'two'))), {'far'})

    def test_nothing_left(self) -> None:
        self.assertEqual(
            self.chosen(frozenset(('one', 'two', 'far'))),
            set(),
        )

    def test_new_target_gets_a_first_request(self) -> None:
        self.roster.apply_registration(registered('new'), 100)
        self.assertEqual(self.chosen(), {'new'})

    def test_other_start_begins_without_evidence(self) -> None:
        known = self.held('one')
        self.roster.apply_registration(registered('one', incarnation=2), 101)
        self.assertIsNot(self.held('one'), known)

    def test_same_start_keeps_its_evidence(self) -> None:
        known = self.held('one')
        self.roster.apply_registration(registered('one', warmup=1.0), 101)
        self.assertIs(self.held('one'), known)

    def test_fault_of_the_way_is_own(self) -> None:
        self.held('one').record_path_fault(100)
        self.assertEqual(self.chosen(), {'two'})


class TestManyTargets(unittest.TestCase):
    """Many daemons that see the same loads, a little old."""

    def setUp(self) -> None:
        """Let all of many targets but one have a request more."""
        self.rosters = [
            service_targets.ServiceTargets('a', random.Random(seed))
            for seed in range(60)
        ]
        for held in self.rosters:
            held.record_latency(0.5)
            for number in range(24):
                name = f't-{number}'
                zone = 'ab'[number % 2]
                held.apply_registration(registered(name, zone, slots=4), 100)
                known = held.candidates[name]
                known.record_answer(is_good=True, now=100)
                running = 3 if number else 0
                known.peer_outstanding[1] = candidate.PeerOutstanding(
                    running, 100
                )

    def choices(self) -> list[str]:
        """Return the choice of each daemon."""
        chosen = (held.choose((), ORDERS, 100) for held in self.rosters)
        return [held.registration.name for held in chosen if held is not None]

    def test_not_all_take_the_least_busy(self) -> None:
        names = self.choices()
        self.assertLess(names.count('t-0'), 30)
        self.assertGreater(names.count('t-0'), 10)

    def test_own_zone_first(self) -> None:
        self.assertTrue(all(int(name[2:]) % 2 == 0 for name in self.choices()))

    def test_only_sound_one_is_found(self) -> None:
        for held in self.rosters:
            for name, known in held.candidates.items():
                for _ in range(3 if name != 't-21' else 0):
                    known.record_result(is_good=False, now=100)
        self.assertEqual(set(self.choices()), {'t-21'})


class TestTargetsAtRest(unittest.TestCase):
    """Targets that nobody sends to."""

    def setUp(self) -> None:
        """Let one of three targets, and one of another zone, be at rest."""
        self.roster = service_targets.ServiceTargets('a', random.Random(1))
        self.now = 100 + candidate.REVISIT_SECONDS[1] + 0.1
        for name, zone in (('one', 'a'), ('two', 'a'), ('far', 'b')):
            self.roster.apply_registration(registered(name, zone), 100)
            self.held(name).record_answer(is_good=True, now=100)
        self.held('two').record_request(self.now)

    def held(self, name: str) -> candidate.Candidate:
        """Return a target."""
        return self.roster.candidates[name]

    def choose(self) -> str:
        """Return the chosen target."""
        chosen = self.roster.choose((), ORDERS, self.now)
        assert chosen is not None
        return chosen.registration.name

    def test_it_gets_the_next_request(self) -> None:
        self.held('one').local_outstanding = 3
        self.assertEqual(self.choose(), 'one')

    def test_not_so_soon_if_it_may_be_faulty(self) -> None:
        for _ in range(2):
            self.held('one').record_result(is_good=False, now=100)
        self.assertEqual(self.choose(), 'two')
        self.now += 12
        self.held('two').record_request(self.now)
        self.held('far').record_request(self.now)
        self.assertEqual(self.choose(), 'one')

    def test_other_zones_see_to_theirs(self) -> None:
        self.held('one').record_request(self.now)
        self.assertNotEqual(self.choose(), 'far')
        self.now += 2 * candidate.OTHER_ZONE_REVISIT_SECONDS
        for name in ('one', 'two'):
            self.held(name).record_request(self.now)
        self.assertEqual(self.choose(), 'far')

    def test_draining_is_left_alone(self) -> None:
        self.roster.apply_registration(registered('one', is_draining=True), 100)
        self.assertEqual(self.choose(), 'two')
