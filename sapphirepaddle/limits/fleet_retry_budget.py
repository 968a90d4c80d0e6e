"""Retry budget of one service, shared by the whole fleet of edge daemons."""

import collections
import typing

from sapphirepaddle.settings import edge

WINDOW_SLICES: typing.Final = 10
"""Number of slices in the sliding window."""
LOCAL_SLACK_RATIO: typing.Final = 0.5
"""Fraction of the slack that is split evenly between the daemons."""
POOLED_SLACK_RATIO: typing.Final = 0.5
"""Fraction of the slack that daemons may use based on reported counts.

The rest covers retries that have not been reported yet.
"""
LOCAL_CUTOFF_RATIO: typing.Final = 0.75
"""Fraction of the slack above which daemons stop using their local slack."""
STARTUP_SLACK_RATIO: typing.Final = 1 - LOCAL_CUTOFF_RATIO
"""Fraction of the slack that a daemon assumes in its first window.

It has no counts of the retries before its start.
"""


class WindowSlice:
    """Requests and retries in one slice of the window.

    Attributes:
        index: Number of the slice, counted from the clock's zero.
        requests: Requests of callers.
        retries: Attempts after the first one of a request.
    """

    def __init__(self, index: int) -> None:
        """Initialize with zero counts."""
        self.index = index
        self.requests = 0
        self.retries = 0


class SlidingWindow:
    """Counts of requests and retries over a sliding window.

    Attributes:
        slice_seconds: Length of a slice in seconds.
        slices: Slices with counts, oldest first.
    """

    def __init__(self, window_seconds: float) -> None:
        """Initialize an empty window.

        Args:
            window_seconds: Length of the window in seconds.
        """
        self.slice_seconds = window_seconds / WINDOW_SLICES
        self.slices: collections.deque[WindowSlice] = collections.deque(
            maxlen=WINDOW_SLICES + 1,
        )

    def add(self, now: float, requests: int, retries: int) -> None:
        """Add counts to the slice of the current time."""
        index = int(now / self.slice_seconds)
        if not self.slices or self.slices[-1].index < index:
            self.slices.append(WindowSlice(index))
        self.slices[-1].requests += requests
        self.slices[-1].retries += retries

    def total(self, now: float) -> tuple[int, int]:
        """Return the numbers of requests and retries in the window."""
        oldest_index = int(now / self.slice_seconds) - WINDOW_SLICES
        recent = [
            window_slice
            for window_slice in self.slices
            if window_slice.index >= oldest_index
        ]
        requests = sum(window_slice.requests for window_slice in recent)
        return requests, sum(window_slice.retries for window_slice in recent)


class FleetRetryBudget:
    """Limits retries to a fraction of the requests of a service.

    The budget is a ratio of the requests plus a constant slack. Each daemon
    has a local share of the slack, which is safe to use without any
    communication. While the reports of its peers are recent, a daemon may
    exceed its local share as long as the fleet stays well below the bound,
    and it stops using its local share when the fleet is close to the bound.
    A daemon that has just started does not know the earlier retries. For the
    length of one window it uses only the slack that is left above the local
    cutoff.

    Attributes:
        bounds: Ratio, slack and window.
        started_at: When the daemon started, on the monotonic clock.
        local: Counts of this daemon in the window.
        fleet: Counts of all daemons in the window.
        requests: Requests of this daemon since its start.
        retries: Retries of this daemon since its start.
    """

    def __init__(self, bounds: edge.Bounds, started_at: float) -> None:
        """Initialize with empty windows.

        Args:
            bounds: The bounds that operators rely on.
            started_at: When the daemon started, on the monotonic clock.
        """
        self.bounds = bounds
        self.started_at = started_at
        self.local = SlidingWindow(bounds.repeat_window)
        self.fleet = SlidingWindow(bounds.repeat_window)
        self.requests = 0
        self.retries = 0

    def record_request(self, now: float) -> None:
        """Count a request that this daemon received."""
        self.requests += 1
        self.local.add(now, 1, 0)
        self.fleet.add(now, 1, 0)

    def record_peer_counts(
        self, now: float, requests: int, retries: int
    ) -> None:
        """Count requests and retries that another daemon reported."""
        self.fleet.add(now, requests, retries)

    def try_acquire(
        self, now: float, daemon_count: int, has_recent_reports: bool
    ) -> bool:
        """Count one retry, if the budget allows it.

        Args:
            now: Seconds on the monotonic clock.
            daemon_count: Number of daemons in the fleet.
            has_recent_reports: Whether the reports of the other daemons are
                recent.

        Returns:
            Whether the retry is allowed.
        """
        is_first_window = now - self.started_at < self.bounds.repeat_window
        slack = self.bounds.repeat_slack
        if is_first_window:
            slack *= STARTUP_SLACK_RATIO
        local_slack = slack * LOCAL_SLACK_RATIO / max(1, daemon_count)
        is_allowed = self.is_below(self.local, local_slack, now)
        if has_recent_reports:
            slack_ratio = (
                LOCAL_CUTOFF_RATIO if is_allowed else POOLED_SLACK_RATIO
            )
            is_allowed = self.is_below(self.fleet, slack * slack_ratio, now)
        if is_allowed:
            self.retries += 1
            self.local.add(now, 0, 1)
            self.fleet.add(now, 0, 1)
        return is_allowed

    def is_below(self, window: SlidingWindow, slack: float, now: float) -> bool:
        """Return whether one more retry stays within ratio and slack."""
        requests, retries = window.total(now)
        return retries + 1 <= self.bounds.repeat_ratio * requests + slack
