"""Replays a load against the selection of targets, on virtual time."""

import dataclasses
import heapq
import random

from sapphirepaddle.routing import cost_weights, service_targets
from tests.peers import test_coverage
from tests.routing import test_service_targets


@dataclasses.dataclass(slots=True)
class SimulatedTarget:
    """A target that runs a few requests at once and queues a few more.

    Attributes:
        slot_free_at: Times at which its slots are free, earliest first.
        queue_limit: Requests that may wait.
        running_ends: Times at which its requests end.
    """

    slot_free_at: list[float]
    queue_limit: int
    running_ends: list[float] = dataclasses.field(default_factory=list)

    def accept(self, now: float, work_seconds: float) -> float | None:
        """Return when a request ends, or None if the queue is full."""
        self.running_ends = [end for end in self.running_ends if end > now]
        if len(self.running_ends) >= len(self.slot_free_at) + self.queue_limit:
            return None
        start = max(now, heapq.heappop(self.slot_free_at))
        end = start + work_seconds
        heapq.heappush(self.slot_free_at, end)
        self.running_ends.append(end)
        return end


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """A load on one service.

    Attributes:
        seconds: Duration.
        rate: Requests per second.
        target_count: Number of targets, with two slots and eight places each.
        work_seconds: Mean time that a request takes.
        objective_seconds: Latency objective.
        burst_start: Time at which the rate is multiplied.
        burst_end: Time at which it is back.
        burst_factor: Factor of the rate.
    """

    seconds: float = 40
    rate: float = 45
    target_count: int = 11
    work_seconds: float = 0.16
    objective_seconds: float = 0.6
    burst_start: float = 10
    burst_end: float = 20
    burst_factor: float = 2.5

    def rate_at(self, now: float) -> float:
        """Return the rate at a time."""
        if self.burst_start <= now < self.burst_end:
            return self.rate * self.burst_factor
        return self.rate


@dataclasses.dataclass(slots=True)
class Outcome:
    """Number of requests by outcome.

    Attributes:
        in_time: Answers within the objective.
        late: Later answers.
        failed: Failures and refusals.
    """

    in_time: int = 0
    late: int = 0
    failed: int = 0

    @property
    def in_time_share(self) -> float:
        """Return the share of all requests answered within the objective."""
        return self.in_time / (self.in_time + self.late + self.failed)


def replay(load: Load, late_ratio: float, seed: int) -> Outcome:
    """Send a load of orders to targets that fail by turns.

    Args:
        load: The load.
        late_ratio: Cost of a late answer relative to that of a failure.
        seed: Seed of the load and the faults.
    """
    rng = random.Random(seed)
    random.seed(seed)
    names = [f't-{number}' for number in range(load.target_count)]
    faults = test_coverage.Faults(rng, names)
    simulated = {name: SimulatedTarget([0, 0], 8) for name in names}
    targets = service_targets.ServiceTargets('a', random.Random(seed))
    for name in names:
        targets.apply_registration(test_service_targets.registered(name), 0)
    weights = cost_weights.CostWeights(
        objective_seconds=load.objective_seconds,
        failure=5,
        late=5 * late_ratio,
    )
    outcome = Outcome()
    pending: list[tuple[float, float, str, bool]] = []
    now = 0.0
    while now < load.seconds:
        now += rng.expovariate(load.rate_at(now))
        complete(targets, pending, now, load.objective_seconds, outcome)
        chosen = targets.choose((), weights, now)
        assert chosen is not None
        name = chosen.registration.name
        work_seconds = rng.lognormvariate(0, 0.6) * load.work_seconds / 1.2
        end: float | None = now
        is_bad = faults.sample_failure(name, now)
        if not is_bad:
            end = simulated[name].accept(now, work_seconds)
        if end is None:
            outcome.failed += 1
            continue
        chosen.local_outstanding += 1
        chosen.record_request(now)
        heapq.heappush(pending, (end, now, name, is_bad))
    complete(targets, pending, now + 60, load.objective_seconds, outcome)
    return outcome


def complete(
    targets: service_targets.ServiceTargets,
    pending: list[tuple[float, float, str, bool]],
    now: float,
    objective_seconds: float,
    outcome: Outcome,
) -> None:
    """Record the requests that have ended by a time."""
    while pending and pending[0][0] <= now:
        end, started_at, name, is_bad = heapq.heappop(pending)
        target = targets.candidates[name]
        target.local_outstanding -= 1
        target.record_answer(is_good=not is_bad, now=end)
        if is_bad:
            outcome.failed += 1
            continue
        targets.record_latency(end - started_at)
        is_in_time = end - started_at <= objective_seconds
        outcome.in_time += is_in_time
        outcome.late += not is_in_time
