"""Targets of one service and the selection among them in an edge daemon."""

import operator
import random
import typing
from collections import abc

from sapphirepaddle.directory import registration
from sapphirepaddle.routing import (
    candidate,
    cold_targets,
    cost_weights,
    emptied_zones,
    lateness,
    request_rate,
    revisit_policy,
    zone_choice,
)

COST_NOISE: typing.Final = 0.02
"""Range of the random part of a cost, which breaks ties."""
LATENCY_SMOOTHING_RATIO: typing.Final = 0.1
"""Weight of one answer time in the moving average of a service."""
ZONE_SAMPLE_SIZE: typing.Final = 4
"""Targets sampled from the local zone, and from the other zones, of which the
one with the lowest cost is selected. All daemons see about the same, slightly
outdated loads: with larger samples they send to the same few targets at the
same time; with smaller samples they select faulty targets."""
SUSPECT_FAILURE_PROBABILITY: typing.Final = 0.25
"""Failure probability of the best sampled target from which all targets are
compared. It is above that of a target without results."""
OTHER_ZONE_REVISIT_SECONDS: typing.Final = 1.5
"""Additional idle time for targets of other zones. The daemons of those zones
send to them first, and report good results only at intervals."""
FULL_COVERAGE_RATE: typing.Final = 1.0
"""Requests per second and target with which the daemons of a zone revisit its
targets by themselves."""
MIN_COVERAGE: typing.Final = 0.5
"""Part of that rate up to which the targets of a zone are revisited by others
as early as by its own daemons."""
MAX_FORMER_CANDIDATES: typing.Final = 1000
"""Maximum number of targets that are remembered after they were removed."""
WARMUP_FACTOR: typing.Final = 2.0
"""Factor of the answer time while a target warms up after its start."""


class ServiceTargets:
    """Targets of a service.

    Attributes:
        zone: Availability zone of this daemon.
        rng: Random number generator.
        candidates: Targets by name.
        typical_seconds: Moving average of the answer time; 0 before the
            first answer.
        drain_seconds: Time for which a leaving target may still be used if
            there is no other.
        former_candidates: Candidates that are no longer listed, or were
            replaced by another incarnation, by name and incarnation. What they
            state in late answers holds if they are listed again.
        zone_rates: Rate at which the daemons of another zone send requests to
            the targets of that zone, by zone.
        emptied_zones: Zones whose targets get no new requests.
        cold_targets: Limits the requests to cold targets; None for no limit.
        zone_choice: Decides when requests leave the zone.
        rest_factor: How much longer suspects rest than trusted targets, as of
            the last selection.
    """

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        drain_seconds: float = 0,
        zones_to_avoid: emptied_zones.EmptiedZones | None = None,
    ) -> None:
        """Initialize an empty set of targets."""
        self.zone = zone
        self.rng = rng
        self.drain_seconds = drain_seconds
        self.emptied_zones = zones_to_avoid or emptied_zones.EmptiedZones(0)
        self.cold_targets: cold_targets.ColdTargets | None = None
        self.zone_choice = zone_choice.ZoneChoice(zone, rng)
        self.rest_factor = revisit_policy.MAX_REST_FACTOR
        self.former_candidates: dict[tuple[str, int], candidate.Candidate] = {}
        self.candidates: dict[str, candidate.Candidate] = {}
        self.typical_seconds: float = 0
        self.zone_rates: dict[str, request_rate.RequestRate] = {}

    def apply_registration(
        self, target_registration: registration.Registration, now: float
    ) -> None:
        """Apply a registration.

        A new incarnation of a target starts without evidence. An incarnation
        that was listed before keeps its evidence and what it stated, also in
        answers that arrived while it was not listed.
        """
        name = target_registration.name
        target = self.candidates.get(name)
        if target is None or not target.registration.is_same_incarnation(
            target_registration
        ):
            self.remove(name)
            target = self.former_candidates.get(
                (name, target_registration.incarnation)
            )
        if target is None or not target.registration.is_same_incarnation(
            target_registration
        ):
            target = candidate.Candidate(target_registration, now)
        target.registration = target_registration
        target.record_warmup(target_registration.warmup_seconds, now)
        self.candidates[name] = target

    def remove(self, name: str) -> None:
        """Remove a target, if it is present."""
        target = self.candidates.pop(name, None)
        if target is None:
            return
        key = (name, target.registration.incarnation)
        self.former_candidates.pop(key, None)
        self.former_candidates[key] = target
        if len(self.former_candidates) > MAX_FORMER_CANDIDATES:
            self.former_candidates.pop(next(iter(self.former_candidates)))

    def is_usable(self, target: candidate.Candidate, now: float) -> bool:
        """Return whether a request may be sent to a selected target."""
        name = target.registration.name
        if self.candidates.get(name) is not target:
            return False
        is_reserved = (
            self.cold_targets is None
            or self.cold_targets.has_reservation(target, now)
        )
        return is_reserved and self.may_send(target, now)

    def accepts(self, target: candidate.Candidate, now: float) -> bool:
        """Return whether this daemon may send a request to a target now."""
        return self.may_send(target, now) and (
            self.cold_targets is None or self.cold_targets.accepts(target, now)
        )

    def may_send(self, target: candidate.Candidate, now: float) -> bool:
        """Return whether a target accepts requests at a time.

        A leaving target does so until `drain_seconds` have passed, one in an
        emptied zone until the load of the zone has moved away.
        """
        if target.registration.is_draining or target.avoided_until > now:
            return False
        if self.emptied_zones.is_closed(target.registration.zone, now):
            return False
        return (
            target.leaving_since is None
            or now < target.leaving_since + self.drain_seconds
        )

    def record_leaving(self, target: candidate.Candidate, now: float) -> bool:
        """Record that a target is shutting down.

        Returns:
            Whether that was unknown.
        """
        if target.leaving_since is not None:
            return False
        target.leaving_since = now
        return True

    def record_latency(self, seconds: float) -> None:
        """Record the time of a good answer, in seconds."""
        if not self.typical_seconds:
            self.typical_seconds = seconds
        self.typical_seconds += (
            seconds - self.typical_seconds
        ) * LATENCY_SMOOTHING_RATIO

    def has_alternative(
        self,
        excluded: abc.Set[str],
        now: float,
        zones: abc.Container[str] | None = None,
    ) -> bool:
        """Return whether a target besides the excluded ones may be used.

        Args:
            excluded: Names of the excluded targets.
            now: Seconds on the monotonic clock.
            zones: Zones whose targets may be used; None for all.
        """
        return any(
            name not in excluded
            and is_in_zones(target, zones)
            and self.accepts(target, now)
            for name, target in self.candidates.items()
        )

    def seconds_until_room(self, now: float) -> float:
        """Return the seconds until a target may be used; 0 if one may be.

        It is 0 also if no pause of a target will end in time.
        """
        return min(
            (
                max(0, target.avoided_until - now)
                for target in self.candidates.values()
                if self.may_send(target, max(now, target.avoided_until))
            ),
            default=0,
        )

    def may_have_room(self, now: float) -> bool:
        """Return whether a target may be used, now or after its pause."""
        return any(
            self.may_send(target, max(now, target.avoided_until))
            for target in self.candidates.values()
        )

    def choose(
        self,
        excluded: abc.Container[str],
        weights: cost_weights.CostWeights,
        now: float,
        zones: abc.Container[str] | None = None,
    ) -> candidate.Candidate | None:
        """Select a target: an overdue one, else the cheapest of a sample.

        A leaving target is selected only if there is no other.

        Args:
            excluded: Names of targets that the request was sent to.
            weights: Weights of the cost.
            now: Seconds on the monotonic clock.
            zones: Zones whose targets may be used; None for all.

        Returns:
            The target, or None if none is usable.
        """
        usable = [
            target
            for name, target in self.candidates.items()
            if name not in excluded
            and is_in_zones(target, zones)
            and self.accepts(target, now)
        ]
        selected = self.select(self.preferred(usable, now), weights, now)
        if selected is not None and self.cold_targets is not None:
            self.cold_targets.record_choice(selected, now)
        return selected

    def preferred(
        self, usable: list[candidate.Candidate], now: float
    ) -> list[candidate.Candidate]:
        """Return the targets among which one is selected.

        They neither leave nor are in a zone that the request avoids, unless
        there are no others.
        """
        avoided_zones = self.emptied_zones.draw_avoided(now, self.rng)
        if avoided_zones:
            usable = [
                target
                for target in usable
                if target.registration.zone not in avoided_zones
            ] or usable
        staying = [target for target in usable if target.leaving_since is None]
        return staying or usable

    def select(
        self,
        usable: abc.Sequence[candidate.Candidate],
        weights: cost_weights.CostWeights,
        now: float,
    ) -> candidate.Candidate | None:
        """Select one of the usable targets; None if there is none."""
        self.zone_choice.last_reason = ''
        overdue_target = self.most_overdue(usable, now)
        if overdue_target is not None:
            self.zone_choice.last_reason = 'idle target'
            return overdue_target
        home = [
            target for target in usable if target.registration.zone == self.zone
        ]
        if len(home) >= zone_choice.MIN_HOME_TARGETS:
            return self.select_by_zone(home, usable, weights, now)
        self.zone_choice.last_reason = 'few targets at home'
        best = self.lowest_cost(self.sample_by_zone(usable), weights, now)
        if (
            best is not None
            and best.failure_probability(now) >= SUSPECT_FAILURE_PROBABILITY
        ):
            return self.lowest_cost(usable, weights, now)
        return best

    def select_by_zone(
        self,
        home: abc.Sequence[candidate.Candidate],
        usable: abc.Sequence[candidate.Candidate],
        weights: cost_weights.CostWeights,
        now: float,
    ) -> candidate.Candidate | None:
        """Select a target at home, or one of a zone with room if that pays.

        Args:
            home: Usable targets of the local zone.
            usable: Usable targets of all zones.
            weights: Weights of the cost.
            now: Seconds on the monotonic clock.
        """
        sample = self.rng.sample(home, ZONE_SAMPLE_SIZE)
        best = self.lowest_cost(sample, weights, now)
        if best is not None and zone_choice.is_good(best, now):
            return best
        zones = self.zone_choice.open_zones(usable, self.typical_seconds, now)
        neighbours = [
            target for target in usable if target.registration.zone in zones
        ]
        is_suspect = all(
            target.failure_probability(now) >= SUSPECT_FAILURE_PROBABILITY
            for target in sample
        )
        self.zone_choice.last_reason = 'suspects at home'
        if not is_suspect:
            self.zone_choice.last_reason = 'no room at home'
            count = min(ZONE_SAMPLE_SIZE, len(neighbours))
            neighbours = self.rng.sample(neighbours, count)
            home = sample
        best = self.lowest_cost([*home, *neighbours], weights, now)
        if best is not None:
            self.zone_choice.record_choice(best.registration.zone)
        return best

    def most_overdue(
        self,
        targets: abc.Sequence[candidate.Candidate],
        now: float,
    ) -> candidate.Candidate | None:
        """Return the target that is overdue longest, if one is due.

        With this the fleet keeps all targets in use that may be healthy,
        puts few requests at risk and soon detects which have recovered.
        """
        self.rest_factor = find_rest_factor(targets, now)
        zones = {target.registration.zone for target in targets}
        extra_seconds = {
            zone: self.extra_idle_seconds(zone, now) for zone in zones
        }
        due = [
            (overdue, target)
            for target in targets
            if (
                overdue := target.overdue_seconds(now, self.rest_factor)
                - extra_seconds[target.registration.zone]
            )
            > 0
        ]
        if not due:
            return None
        return max(due, key=operator.itemgetter(0))[1]

    def overdue_seconds(self, target: candidate.Candidate, now: float) -> float:
        """Return for how many seconds a request has been due at a target."""
        extra_seconds = self.extra_idle_seconds(target.registration.zone, now)
        return target.overdue_seconds(now, self.rest_factor) - extra_seconds

    def extra_idle_seconds(self, zone: str, now: float) -> float:
        """Return the idle time that targets of a zone are left to its daemons.

        The fewer requests the daemons of another zone have for its targets,
        the shorter it is: they cannot revisit all of them.
        """
        if zone == self.zone or zone not in self.zone_rates:
            return 0
        target_count = sum(
            target.registration.zone == zone
            and not target.registration.is_draining
            for target in self.candidates.values()
        )
        full_rate = max(1, target_count) * FULL_COVERAGE_RATE
        coverage = min(1, self.zone_rates[zone].read(now) / full_rate)
        sufficiency = (coverage - MIN_COVERAGE) / (1 - MIN_COVERAGE)
        return OTHER_ZONE_REVISIT_SECONDS * max(0, sufficiency)

    def record_zone_requests(self, zone: str, count: int, now: float) -> None:
        """Record requests of daemons of a zone to targets of that zone."""
        if zone not in self.zone_rates:
            self.zone_rates[zone] = request_rate.RequestRate(now)
        self.zone_rates[zone].record(count, now)

    def lowest_cost(
        self,
        targets: abc.Iterable[candidate.Candidate],
        weights: cost_weights.CostWeights,
        now: float,
    ) -> candidate.Candidate | None:
        """Return the target with the lowest cost; None if there is none."""
        return min(
            targets,
            key=lambda target: self.cost(target, weights, now),
            default=None,
        )

    def sample_by_zone(
        self,
        usable: abc.Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Sample targets of the local zone and of the other zones."""
        same_zone = [
            target for target in usable if target.registration.zone == self.zone
        ]
        other_zones = [
            target for target in usable if target.registration.zone != self.zone
        ]
        return [
            *self.rng.sample(same_zone, min(ZONE_SAMPLE_SIZE, len(same_zone))),
            *self.rng.sample(
                other_zones, min(ZONE_SAMPLE_SIZE, len(other_zones))
            ),
        ]

    def cost(
        self,
        target: candidate.Candidate,
        weights: cost_weights.CostWeights,
        now: float,
    ) -> float:
        """Return the cost of sending the next request to a target.

        The unit is the latency objective.
        """
        outstanding = target.outstanding(now)
        slots = target.registration.slots
        queued = max(0, outstanding + 1 - slots) / slots
        occupied = min(outstanding, slots) / slots * weights.busy_slot
        slowdown = WARMUP_FACTOR if target.registration.warmup_seconds else 1
        seconds = self.typical_seconds * (queued + occupied) * slowdown
        late_probability = lateness.late_probability(
            self.typical_seconds * (1 + queued) * slowdown,
            weights.objective_seconds,
        )
        is_other_zone = target.registration.zone != self.zone
        is_untried = not target.result_count and not outstanding
        return (
            seconds / weights.objective_seconds
            + target.failure_probability(now) * weights.failure
            + late_probability * weights.late
            + is_other_zone * weights.other_zone
            - is_untried * weights.exploration
            + self.rng.random() * COST_NOISE
        )


def is_in_zones(
    target: candidate.Candidate, zones: abc.Container[str] | None
) -> bool:
    """Return whether a target is in one of some zones; None for all zones."""
    return zones is None or target.registration.zone in zones


def find_rest_factor(
    targets: abc.Sequence[candidate.Candidate], now: float
) -> float:
    """Return how much longer suspects among some targets rest than others."""
    suspect_count = sum(
        target.target_estimator.fault_probability(now)
        > revisit_policy.SUSPECT_FAULT_PROBABILITY
        for target in targets
    )
    trusted_share = 1 - suspect_count / max(1, len(targets))
    return revisit_policy.rest_factor(trusted_share, len(targets))
