"""Which targets a fleet sends to, while targets fail for seconds."""

import heapq
import random

from sapphirepaddle.directory import registration
from sapphirepaddle.routing import candidate, cost_weights
from tests.routing import test_service_targets
from tests.support import pooling_case

TICK = 0.05
"""Step of the virtual clock in seconds."""
FLOOR_SHARE = 0.7
"""Share of the sound targets that must get requests in a window."""
FLOOR_SECONDS = 2.0
"""Length of that window."""
SOUND_AFTER = 2.0
"""Seconds after its own failures from which a target counts as sound."""
ORDERS = cost_weights.CostWeights(objective_seconds=2, failure=5)


class Faults:
    """Targets that fail most requests for some seconds, and all a few.

    Attributes:
        chance: Source of randomness.
        spell: Seconds for which a target stays as it is.
        share: Share of the spells that are faulty.
        fails: Share of the requests that fail in a faulty one.
        errors: Share that fails in any other.
        phases: Seconds into the first spell, by target.
        drawn: Whether a spell is faulty, by target and number.
    """

    def __init__(self, chance: random.Random, names: list[str]) -> None:
        """Start the spells."""
        self.chance = chance
        self.spell = 12.0
        self.share = 0.3
        self.fails = 0.75
        self.errors = 0.012
        self.phases = {name: chance.random() * 12 for name in names}
        self.drawn: dict[tuple[str, int], bool] = {}

    def is_faulty(self, name: str, now: float) -> bool:
        """Tell whether a target is in a faulty spell."""
        number = int((now + self.phases[name]) / self.spell)
        if (name, number) not in self.drawn:
            drawn = self.chance.random() < self.share
            self.drawn[name, number] = drawn
        return self.drawn[name, number]

    def fail(self, name: str, now: float) -> bool:
        """Draw whether a request fails."""
        share = self.fails if self.is_faulty(name, now) else self.errors
        return self.chance.random() < share


class TestCoverage(pooling_case.PoolingCase):
    """Two zones of daemons and their targets.

    Attributes:
        sent: Times of requests by target.
        errors: Times of failed requests by target.
        failed: Requests that failed.
        asked: Requests so far.
    """

    zones = ('a',) * 6 + ('b',) * 6
    targets = 24
    rate = 96
    seconds = 30

    def setUp(self) -> None:
        """Register the targets with all daemons."""
        super().setUp()
        self.chance = random.Random(1)
        random.seed(1)
        names = [f's-{number}' for number in range(self.targets)]
        self.sent: dict[str, list[float]] = {name: [] for name in names}
        self.errors: dict[str, list[float]] = {name: [] for name in names}
        self.faults = Faults(self.chance, names)
        self.failed = 0
        self.asked = 0
        self.ends: list[tuple[float, int, int, str]] = []
        for seed, held in enumerate(self.daemons):
            held.directory.service_targets('orders').rng.seed(seed)
            held.fleet.rng.seed(seed)
            held.directory.remove_target('t-1', 'unused')
            held.digest_receiver.register_names(names)
            for number, name in enumerate(names):
                held.directory.update_target(self.entry(name, 'ab'[number % 2]))

    def entry(self, name: str, zone: str) -> registration.Registration:
        """Return the registration of a target."""
        return test_service_targets.registered(
            name, zone, slots=6, service='orders'
        )

    def begin(self, number: int) -> None:
        """Let one daemon send a request."""
        held = self.daemons[number]
        roster = held.directory.service_targets('orders')
        chosen = roster.choose((), ORDERS, self.now)
        assert chosen is not None
        name = chosen.registration.name
        self.asked += 1
        self.sent[name].append(self.now)
        chosen.local_outstanding += 1
        chosen.record_request(self.now)
        held.record_send_start(chosen)
        is_bad = self.faults.fail(name, self.now)
        if is_bad:
            self.errors[name].append(self.now)
        seconds = 0.005 if is_bad else self.chance.uniform(0.3, 0.7)
        self.failed += is_bad
        event = (self.now + seconds, number, int(is_bad), name)
        heapq.heappush(self.ends, event)

    def end(self, number: int, is_bad: bool, name: str) -> None:
        """Let one daemon see a result."""
        held = self.daemons[number]
        chosen = held.directory.find_target(name)
        assert isinstance(chosen, candidate.Candidate)
        chosen.local_outstanding -= 1
        chosen.record_answer(not is_bad, self.now)
        if not is_bad:
            held.directory.service_targets('orders').record_latency(0.5)
        held.record_send_end(chosen, is_bad)

    def play(self, share_of_first_zone: float = 0.5) -> None:
        """Send requests for a while."""
        until = self.now + self.seconds
        half = len(self.daemons) // 2
        due = 0.0
        while self.now < until:
            self.now += TICK
            while self.ends and self.ends[0][0] <= self.now:
                _, number, is_bad, name = heapq.heappop(self.ends)
                self.end(number, bool(is_bad), name)
            due += self.rate * TICK
            while due >= 1:
                due -= 1
                number = self.chance.randrange(half)
                if self.chance.random() >= share_of_first_zone:
                    number += half
                self.begin(number)
            for held in self.daemons:
                held.send_due(self.now)

    def is_sound(self, name: str, start: float, end: float) -> bool:
        """Tell whether a target is well in a window and a while before."""
        since = start - SOUND_AFTER
        well = not any(
            self.faults.is_faulty(name, at) for at in (since, start, end)
        )
        return well and not any(since < at < end for at in self.errors[name])

    def covered(self) -> list[float]:
        """Return the share of sound targets with requests, by window."""
        begun = min(times[0] for times in self.sent.values() if times)
        shares = []
        start = begun + 2 * FLOOR_SECONDS
        while start + FLOOR_SECONDS < self.now:
            end = start + FLOOR_SECONDS
            sound = [
                name for name in self.sent if self.is_sound(name, start, end)
            ]
            met = [
                name
                for name in sound
                if any(start <= at < end for at in self.sent[name])
            ]
            if sound:
                shares.append(len(met) / len(sound))
            start += TICK
        return shares

    def check(self) -> None:
        """Check the floor in every window."""
        self.assertGreaterEqual(min(self.covered()), FLOOR_SHARE)

    def test_sound_targets_are_used(self) -> None:
        self.play()
        self.check()

    def test_callers_of_one_zone(self) -> None:
        self.play(share_of_first_zone=0.95)
        self.check()

    def test_few_targets(self) -> None:
        for name in list(self.sent)[8:]:
            self.sent.pop(name)
            for held in self.daemons:
                held.directory.remove_target(name, 'unused')
        self.rate = 32
        self.play()
        self.check()

    def test_few_requests(self) -> None:
        self.rate = self.targets
        self.play()
        self.check()

    def test_a_failed_target_is_left_alone_for_a_while(self) -> None:
        self.play()
        uniform = self.faults.fails * self.faults.share
        self.assertLess(self.failed, self.asked * uniform / 2)
