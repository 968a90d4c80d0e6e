"""What one daemon knows of one target."""

import dataclasses
import typing

from sapphirepaddle.objects import target
from sapphirepaddle.routing import result, result_counts, ejection_state
from sapphirepaddle.settings import entry

AVOID_SECONDS: typing.Final = 1.0
MAX_AVOID_SECONDS: typing.Final = 8.0
MIN_CONSECUTIVE_BAD: typing.Final = 2
MIN_RETURN_RATIO: typing.Final = 0.05
SHED_BACKOFF_SECONDS: typing.Final = 0.03
LOAD_SMOOTHING_RATIO: typing.Final = 0.3
DRAIN_SIGNAL_SECONDS: typing.Final = 10.0


@dataclasses.dataclass(slots=True)
class TargetView:
    """One target in the eyes of one daemon.

    Attributes:
        target: The configured target.
        slots: Requests that it runs at a time.
        window: Requests that this daemon may have outstanding.
        outstanding: Requests that this daemon has outstanding.
        load: Reported requests in the target, smoothed.
        counts: Results over the sliding window.
        unreported: Results not yet reported to the judge.
        in_a_row: Bad results in a row.
        avoided_until: End of this daemon's own avoidance.
        avoidances: Avoidances in a row.
        busy_until: End of a pause after shedding.
        draining_until: End of the target's own drain signal.
        is_drain_news: Whether the signal was not yet spread.
        fleet_verdict: The fleet's verdict, if there was one.
        verdict_at: When it was heard.
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
    consecutive_bad: int = 0
    avoided_until: float = 0
    consecutive_avoidances: int = 0
    shed_backoff_until: float = 0
    draining_until: float = 0
    is_drain_unpublished: bool = False
    fleet_state: ejection_state.EjectionState | None = None
    fleet_state_at: float = 0

    def record_result(self, seen: result.Result, now: float) -> None:
        """Take in the result of one attempt."""
        if seen is result.Result.SHED:
            self.concurrency_limit = max(1, self.concurrency_limit / 2)
            self.shed_backoff_until = now + SHED_BACKOFF_SECONDS
            return
        slow = int(seen is result.Result.SLOW)
        bad = int(seen.is_bad) - slow
        counts = result_counts.ResultCounts(1 - bad - slow, bad, slow)
        self.counts.add(now, counts)
        self.unreported.add(counts)
        if seen.is_bad:
            self.record_bad(now)
        else:
            self.record_good()

    def record_good(self) -> None:
        """Take in a good result."""
        self.consecutive_bad = 0
        self.consecutive_avoidances = 0
        self.concurrency_limit = min(
            self.slots, self.concurrency_limit + 1 / self.concurrency_limit
        )

    def record_bad(self, now: float) -> None:
        """Take in a bad result; avoid the target after several."""
        self.consecutive_bad += 1
        if (
            self.consecutive_bad < MIN_CONSECUTIVE_BAD
            or now < self.avoided_until
        ):
            return
        seconds = AVOID_SECONDS * 2**self.consecutive_avoidances
        self.avoided_until = now + min(seconds, MAX_AVOID_SECONDS)
        self.consecutive_avoidances += 1

    def record_load(self, reported: float) -> None:
        """Take in the load that an answer reported."""
        self.reported_load += LOAD_SMOOTHING_RATIO * (
            reported - self.reported_load
        )

    def record_draining(self, now: float) -> None:
        """Take in the target's own signal that it drains."""
        if now >= self.draining_until:
            self.is_drain_unpublished = True
        self.draining_until = now + DRAIN_SIGNAL_SECONDS

    def is_avoided(self, now: float) -> bool:
        """Tell whether this daemon alone avoids the target."""
        return now < self.avoided_until

    def is_ejected(self) -> bool:
        """Tell whether the fleet ejected the target."""
        held = self.fleet_state
        ejected = ejection_state.Standing.EJECTED
        return held is not None and held.standing is ejected

    def return_share(
        self, now: float, settings: entry.RoutingSettings
    ) -> float:
        """Return the share of its work that a returning target gets."""
        held = self.fleet_state
        returning = ejection_state.Standing.RETURNING
        if held is None or held.standing is not returning:
            return 1
        grown = (now - self.fleet_state_at) / settings.return_seconds
        return min(1, max(MIN_RETURN_RATIO, grown))

    def has_capacity(self, now: float) -> bool:
        """Tell whether this daemon may send one more request now."""
        allowed = (
            1 if self.consecutive_avoidances else int(self.concurrency_limit)
        )
        return self.outstanding < allowed and now >= self.shed_backoff_until

    def fault_score(self, now: float) -> float:
        """Return the order of evidence against the target."""
        return self.counts.sum(now).suspect_share + self.consecutive_avoidances
