"""Evidence and load of one target in an entry daemon."""

import dataclasses
import typing

from sapphirepaddle.objects import target
from sapphirepaddle.routing import ejection_state, result, result_counts
from sapphirepaddle.settings import entry

AVOID_SECONDS: typing.Final = 1.0
"""Length of the first avoidance; each consecutive one is twice as long."""
MAX_AVOID_SECONDS: typing.Final = 8.0
MIN_CONSECUTIVE_SUSPECT: typing.Final = 2
"""Consecutive suspect results after which this daemon avoids a target."""
MIN_RETURN_RATIO: typing.Final = 0.05
"""Share of its requests that a target gets when its return starts."""
SHED_BACKOFF_SECONDS: typing.Final = 0.03
LOAD_SMOOTHING_RATIO: typing.Final = 0.3
"""Weight of one reported load in the moving average."""
DRAIN_SIGNAL_SECONDS: typing.Final = 10.0
"""Time for which a drain signal holds; a later signal extends it."""


@dataclasses.dataclass(slots=True)
class TargetView:
    """One daemon's view of one target.

    Times are in seconds of the monotonic clock.

    Attributes:
        target: The configured target.
        slots: Requests that the target runs concurrently.
        counts: Results over the sliding window.
        concurrency_limit: Requests that this daemon may have outstanding.
        outstanding: Requests that this daemon has outstanding.
        reported_load: Load reported by the target in requests, smoothed.
        unreported: Results not yet reported to the outlier detector.
        consecutive_suspect: Suspect results since the last good one.
        avoided_until: Time until which this daemon alone avoids the target.
        consecutive_avoidances: Avoidances since the last good result.
        shed_backoff_until: End of the backoff after load shedding.
        draining_until: Time until which the target's drain signal holds.
        is_drain_unpublished: Whether the drain signal was not yet published
            to the fleet.
        fleet_state: Ejection state of the fleet; None if there is none.
        fleet_state_at: Time at which this daemon received it.
    """

    target: target.Target
    slots: int
    counts: result_counts.SlidingWindow
    concurrency_limit: float
    outstanding: int = 0
    reported_load: float = 0
    unreported: result_counts.ResultCounts = dataclasses.field(
        default_factory=result_counts.ResultCounts
    )
    consecutive_suspect: int = 0
    avoided_until: float = 0
    consecutive_avoidances: int = 0
    shed_backoff_until: float = 0
    draining_until: float = 0
    is_drain_unpublished: bool = False
    fleet_state: ejection_state.EjectionState | None = None
    fleet_state_at: float = 0

    def record_result(self, attempt_result: result.Result, now: float) -> None:
        """Record the result of one attempt.

        Shedding halves the concurrency limit and is not counted as a result.
        """
        if attempt_result is result.Result.SHED:
            self.concurrency_limit = max(1, self.concurrency_limit / 2)
            self.shed_backoff_until = now + SHED_BACKOFF_SECONDS
            return
        slow_count = int(attempt_result is result.Result.SLOW)
        bad_count = int(attempt_result.is_suspect) - slow_count
        counts = result_counts.ResultCounts(
            1 - bad_count - slow_count, bad_count, slow_count
        )
        self.counts.add(now, counts)
        self.unreported.add(counts)
        if attempt_result.is_suspect:
            self.record_suspect(now)
        else:
            self.record_good()

    def record_good(self) -> None:
        """Record a good result and raise the concurrency limit."""
        self.consecutive_suspect = 0
        self.consecutive_avoidances = 0
        self.concurrency_limit = min(
            self.slots, self.concurrency_limit + 1 / self.concurrency_limit
        )

    def record_suspect(self, now: float) -> None:
        """Record a suspect result; avoid the target after several of them."""
        self.consecutive_suspect += 1
        if (
            self.consecutive_suspect < MIN_CONSECUTIVE_SUSPECT
            or now < self.avoided_until
        ):
            return
        seconds = AVOID_SECONDS * 2**self.consecutive_avoidances
        self.avoided_until = now + min(seconds, MAX_AVOID_SECONDS)
        self.consecutive_avoidances += 1

    def record_load(self, reported: float) -> None:
        """Record the load that an answer reported, in requests."""
        self.reported_load += LOAD_SMOOTHING_RATIO * (
            reported - self.reported_load
        )

    def record_draining(self, now: float) -> None:
        """Record the signal of the target that it is draining."""
        if now >= self.draining_until:
            self.is_drain_unpublished = True
        self.draining_until = now + DRAIN_SIGNAL_SECONDS

    def is_avoided(self, now: float) -> bool:
        """Return whether this daemon avoids the target by itself."""
        return now < self.avoided_until

    def is_ejected(self) -> bool:
        """Return whether the fleet ejected the target."""
        state = self.fleet_state
        ejected = ejection_state.Standing.EJECTED
        return state is not None and state.standing is ejected

    def return_share(
        self, now: float, settings: entry.RoutingSettings
    ) -> float:
        """Return the share of its requests that a target gets.

        The share is 1 unless the target is returning, when it grows
        linearly over `return_seconds`.
        """
        state = self.fleet_state
        returning = ejection_state.Standing.RETURNING
        if state is None or state.standing is not returning:
            return 1
        elapsed_share = (now - self.fleet_state_at) / settings.return_seconds
        return min(1, max(MIN_RETURN_RATIO, elapsed_share))

    def has_capacity(self, now: float) -> bool:
        """Return whether this daemon may send one more request now.

        A target that was avoided gets one request at a time until its next
        good result.
        """
        limit = (
            1 if self.consecutive_avoidances else int(self.concurrency_limit)
        )
        return self.outstanding < limit and now >= self.shed_backoff_until

    def fault_score(self, now: float) -> float:
        """Return the strength of the evidence that the target is faulty."""
        return self.counts.sum(now).suspect_share + self.consecutive_avoidances
