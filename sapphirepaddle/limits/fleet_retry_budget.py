"""Budget of repeats of one service over the whole fleet."""

import collections
import typing

from sapphirepaddle.settings import edge

WINDOW_SLICES: typing.Final = 10
"""Parts of the window in which repeats are counted."""
LOCAL_SLACK_RATIO: typing.Final = 0.5
"""Part of the slack that daemons have for themselves, in equal parts."""
POOLED_SLACK_RATIO: typing.Final = 0.5
"""Part of the slack up to which the fleet may use it on what daemons
report; the rest covers what they have not reported yet."""
LOCAL_CUTOFF_RATIO: typing.Final = 0.75
"""Part of the slack beyond which daemons do not use their own parts."""
STARTUP_SLACK_RATIO: typing.Final = 1 - LOCAL_CUTOFF_RATIO
"""Part of the slack that a daemon counts on in its first window."""


class WindowSlice:
    """Requests and repeats in one part of the window.

    Attributes:
        index: Number of the part since the clock's zero.
        requests: Requests of callers.
        repeats: Sends beyond the first of a request.
    """

    def __init__(self, index: int) -> None:
        """Start at zero."""
        self.index = index
        self.requests = 0
        self.repeats = 0


class SlidingWindow:
    """Counts over a sliding window.

    Attributes:
        slice_seconds: Length of a part.
        counts: Parts with counts, oldest first.
    """

    def __init__(self, window: float) -> None:
        """Start empty.

        Args:
            window: Length in seconds.
        """
        self.slice_seconds = window / WINDOW_SLICES
        self.slices: collections.deque[WindowSlice] = collections.deque(
            maxlen=WINDOW_SLICES + 1,
        )

    def add(self, now: float, requests: int, repeats: int) -> None:
        """Add counts."""
        index = int(now / self.slice_seconds)
        if not self.slices or self.slices[-1].index < index:
            self.slices.append(WindowSlice(index))
        self.slices[-1].requests += requests
        self.slices[-1].repeats += repeats

    def total(self, now: float) -> tuple[int, int]:
        """Return requests and repeats in the window."""
        oldest = int(now / self.slice_seconds) - WINDOW_SLICES
        recent = [held for held in self.slices if held.index >= oldest]
        requests = sum(held.requests for held in recent)
        return requests, sum(held.repeats for held in recent)


class FleetRetryBudget:
    """Allows repeats within a share of the requests of a service.

    Each daemon has a part of the budget for itself: it holds without talk.
    While the others are heard it may use more than its part, as long as the
    fleet stays well below the bound; and its part ends where the fleet is
    close to the bound. A daemon that just started does not know what was
    repeated before: for the length of a window it takes what then was left.

    Attributes:
        bounds: Ratio, slack and window.
        started: When the daemon started.
        own: Counts of this daemon.
        fleet: Counts of all daemons.
        requests: Own requests since the start of the daemon.
        repeats: Own repeats since the start of the daemon.
    """

    def __init__(self, bounds: edge.Bounds, started: float) -> None:
        """Start without counts.

        Args:
            bounds: Figures promised to operators.
            started: When the daemon started, on the monotonic clock.
        """
        self.bounds = bounds
        self.started = started
        self.local = SlidingWindow(bounds.repeat_window)
        self.fleet = SlidingWindow(bounds.repeat_window)
        self.requests = 0
        self.repeats = 0

    def record_request(self, now: float) -> None:
        """Count an own request."""
        self.requests += 1
        self.local.add(now, 1, 0)
        self.fleet.add(now, 1, 0)

    def record_peer_counts(
        self, now: float, requests: int, repeats: int
    ) -> None:
        """Count what another daemon reported."""
        self.fleet.add(now, requests, repeats)

    def try_acquire(
        self, now: float, daemons: int, has_recent_reports: bool
    ) -> bool:
        """Take one repeat, if the budget allows it.

        Args:
            now: Seconds on the monotonic clock.
            daemons: Daemons of the fleet.
            is_in_touch: Whether the others' reports are recent.
        """
        is_new = now - self.started < self.bounds.repeat_window
        slack = self.bounds.repeat_slack
        if is_new:
            slack *= STARTUP_SLACK_RATIO
        part = slack * LOCAL_SLACK_RATIO / max(1, daemons)
        allowed = self.is_below(self.local, part, now)
        if has_recent_reports:
            share = LOCAL_CUTOFF_RATIO if allowed else POOLED_SLACK_RATIO
            allowed = self.is_below(self.fleet, slack * share, now)
        if allowed:
            self.repeats += 1
            self.local.add(now, 0, 1)
            self.fleet.add(now, 0, 1)
        return allowed

    def is_below(self, counts: SlidingWindow, slack: float, now: float) -> bool:
        """Tell whether one more repeat stays within ratio and slack."""
        requests, repeats = counts.total(now)
        return repeats + 1 <= self.bounds.repeat_ratio * requests + slack
