"""The targets of one service and the choice among them."""

import operator
import random
import typing
from collections import abc

from sapphirepaddle.directory import registration
from sapphirepaddle.routing import candidate, cost_weights

COST_NOISE: typing.Final = 0.02
"""Spread of the random part of a cost, which separates equal targets."""
LATENCY_SMOOTHING_RATIO: typing.Final = 0.1
"""Weight of one answer time in the usual time of a service."""
ZONE_SAMPLE_SIZE: typing.Final = 4
"""Targets of the own zone, and of the other zones, among which the best is
taken. All daemons see about the same loads, a little old: with more, they
send at once to the same few targets; with fewer, faulty ones are met."""
SUSPECT_FAILURE_PROBABILITY: typing.Final = 0.25
"""Probability of a failure from which the best of the drawn targets is
compared with all; one of which nothing is known has less."""
WARMUP_FACTOR: typing.Final = 2.0
"""How much longer a target takes just after its start."""


class ServiceTargets:
    """Targets of a service.

    Attributes:
        zone: Availability zone of this daemon.
        chance: Source of randomness.
        candidates: Targets by name.
        usual: Usual time of an answer, in seconds.
    """

    def __init__(self, zone: str, chance: random.Random) -> None:
        """Start without targets."""
        self.zone = zone
        self.rng = chance
        self.candidates: dict[str, candidate.Candidate] = {}
        self.typical_seconds: float = 0

    def apply_registration(
        self, held: registration.Registration, now: float
    ) -> None:
        """Take up a registration; another start begins without evidence."""
        known = self.candidates.get(held.name)
        if known is None or not known.registration.is_same_incarnation(held):
            self.candidates[held.name] = candidate.Candidate(held, now)
        else:
            known.registration = held

    def remove(self, name: str) -> None:
        """Drop a target that is gone."""
        self.candidates.pop(name, None)

    def record_latency(self, seconds: float) -> None:
        """Take in the time of a good answer."""
        if not self.typical_seconds:
            self.typical_seconds = seconds
        self.typical_seconds += (
            seconds - self.typical_seconds
        ) * LATENCY_SMOOTHING_RATIO

    def has_alternative(self, excluded: abc.Set[str]) -> bool:
        """Tell whether there is a target besides some."""
        return any(
            name not in excluded and not held.registration.is_draining
            for name, held in self.candidates.items()
        )

    def choose(
        self,
        excluded: abc.Container[str],
        wanted: cost_weights.CostWeights,
        now: float,
    ) -> candidate.Candidate | None:
        """Return the best of some targets; None if none is left.

        Args:
            excluded: Names of targets that the request was sent to.
            wanted: What a failure, time and distance cost.
            now: Seconds on the monotonic clock.
        """
        usable = [
            held
            for name, held in self.candidates.items()
            if name not in excluded
            and not held.registration.is_draining
            and held.avoided_until <= now
        ]
        due = self.most_overdue(usable, now)
        if due is not None:
            return due
        best = self.lowest_cost(self.sample_by_zone(usable), wanted, now)
        if (
            best is not None
            and best.failure_probability(now) >= SUSPECT_FAILURE_PROBABILITY
        ):
            return self.lowest_cost(usable, wanted, now)
        return best

    def most_overdue(
        self,
        given: abc.Iterable[candidate.Candidate],
        now: float,
    ) -> candidate.Candidate | None:
        """Return the target that waits longest for a request, if one is due.

        So the whole fleet keeps all targets in use that may be sound, with
        few requests at risk, and soon finds out which have recovered.
        """
        due = [
            (overdue, held)
            for held in given
            if (overdue := self.overdue_seconds(held, now)) > 0
        ]
        if not due:
            return None
        return max(due, key=operator.itemgetter(0))[1]

    def overdue_seconds(self, held: candidate.Candidate, now: float) -> float:
        """Return for how long a target has been due for a request."""
        return held.overdue_seconds(now, held.registration.zone != self.zone)

    def lowest_cost(
        self,
        given: abc.Iterable[candidate.Candidate],
        wanted: cost_weights.CostWeights,
        now: float,
    ) -> candidate.Candidate | None:
        """Return the target with the lowest cost; None if there is none."""
        return min(
            given,
            key=lambda held: self.cost(held, wanted, now),
            default=None,
        )

    def sample_by_zone(
        self,
        usable: abc.Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Draw some targets of the own zone and some of the others."""
        near = [held for held in usable if held.registration.zone == self.zone]
        far = [held for held in usable if held.registration.zone != self.zone]
        return [
            *self.rng.sample(near, min(ZONE_SAMPLE_SIZE, len(near))),
            *self.rng.sample(far, min(ZONE_SAMPLE_SIZE, len(far))),
        ]

    def cost(
        self,
        held: candidate.Candidate,
        wanted: cost_weights.CostWeights,
        now: float,
    ) -> float:
        """Return what sending the next request to a target costs.

        The unit is the time within which an answer is wanted.
        """
        ahead = held.outstanding(now)
        slots = held.registration.slots
        waiting = max(0, ahead + 1 - slots) / slots
        busy = min(ahead, slots) / slots * wanted.busy_slot
        slow = WARMUP_FACTOR if held.registration.warmup_seconds else 1
        seconds = self.typical_seconds * (waiting + busy) * slow
        far = held.registration.zone != self.zone
        fresh = not held.result_count and not ahead
        return (
            seconds / wanted.objective_seconds
            + held.failure_probability(now) * wanted.failure
            + far * wanted.other_zone
            - fresh * wanted.exploration
            + self.rng.random() * COST_NOISE
        )
