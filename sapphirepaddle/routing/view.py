"""What one daemon knows of one target."""

import dataclasses
import typing

from sapphirepaddle.objects import target
from sapphirepaddle.routing import result, tally, verdict
from sapphirepaddle.settings import entry

AVOID_SECONDS: typing.Final = 1.0
MOST_AVOID_SECONDS: typing.Final = 8.0
BAD_IN_A_ROW: typing.Final = 2
LEAST_RETURN_SHARE: typing.Final = 0.05
BUSY_SECONDS: typing.Final = 0.03
LOAD_WEIGHT: typing.Final = 0.3
DRAIN_SECONDS: typing.Final = 10.0


@dataclasses.dataclass(slots=True)
class View:
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
    counts: tally.Window
    window: float
    outstanding: int = 0
    load: float = 0
    unreported: tally.Tally = dataclasses.field(default_factory=tally.Tally)
    in_a_row: int = 0
    avoided_until: float = 0
    avoidances: int = 0
    busy_until: float = 0
    draining_until: float = 0
    is_drain_news: bool = False
    fleet_verdict: verdict.Verdict | None = None
    verdict_at: float = 0

    def record(self, seen: result.Result, now: float) -> None:
        """Take in the result of one attempt."""
        if seen is result.Result.SHED:
            self.window = max(1, self.window / 2)
            self.busy_until = now + BUSY_SECONDS
            return
        slow = int(seen is result.Result.SLOW)
        bad = int(seen.is_bad) - slow
        counts = tally.Tally(1 - bad - slow, bad, slow)
        self.counts.add(now, counts)
        self.unreported.add(counts)
        if seen.is_bad:
            self.record_bad(now)
        else:
            self.record_good()

    def record_good(self) -> None:
        """Take in a good result."""
        self.in_a_row = 0
        self.avoidances = 0
        self.window = min(self.slots, self.window + 1 / self.window)

    def record_bad(self, now: float) -> None:
        """Take in a bad result; avoid the target after several."""
        self.in_a_row += 1
        if self.in_a_row < BAD_IN_A_ROW or now < self.avoided_until:
            return
        seconds = AVOID_SECONDS * 2**self.avoidances
        self.avoided_until = now + min(seconds, MOST_AVOID_SECONDS)
        self.avoidances += 1

    def note_load(self, reported: float) -> None:
        """Take in the load that an answer reported."""
        self.load += LOAD_WEIGHT * (reported - self.load)

    def note_draining(self, now: float) -> None:
        """Take in the target's own signal that it drains."""
        if now >= self.draining_until:
            self.is_drain_news = True
        self.draining_until = now + DRAIN_SECONDS

    def is_avoided(self, now: float) -> bool:
        """Tell whether this daemon alone avoids the target."""
        return now < self.avoided_until

    def is_ejected(self) -> bool:
        """Tell whether the fleet ejected the target."""
        held = self.fleet_verdict
        ejected = verdict.Standing.EJECTED
        return held is not None and held.standing is ejected

    def return_share(self, now: float, settings: entry.Routing) -> float:
        """Return the share of its work that a returning target gets."""
        held = self.fleet_verdict
        returning = verdict.Standing.RETURNING
        if held is None or held.standing is not returning:
            return 1
        grown = (now - self.verdict_at) / settings.return_seconds
        return min(1, max(LEAST_RETURN_SHARE, grown))

    def has_room(self, now: float) -> bool:
        """Tell whether this daemon may send one more request now."""
        allowed = 1 if self.avoidances else int(self.window)
        return self.outstanding < allowed and now >= self.busy_until

    def badness(self, now: float) -> float:
        """Return the order of evidence against the target."""
        return self.counts.sum(now).share + self.avoidances
