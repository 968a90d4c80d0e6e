"""Retry budget of one service, shared by the whole fleet of edge daemons."""

import collections
import math
import random
import typing

from sapphirepaddle.settings import edge

WINDOW_SLICES: typing.Final = 10
"""Number of slices in the sliding window."""
LOCAL_SLACK_RATIO: typing.Final = 0.5
"""Fraction of the slack that is split evenly between the daemons, for use
without recent reports."""
SHARED_SLACK_RATIO: typing.Final = 0.75
"""Fraction of the slack up to which the fleet retries, based on reports.

The rest covers daemons without recent reports and delays of the reports.
"""
STARTUP_SLACK_RATIO: typing.Final = 0.25
"""Fraction of the slack that a daemon assumes at the end of its first window.

It has no counts of the retries before its start, and may have been restarted
several times in the window, so the fraction accrues from 0.
"""
UNREPORTED_SECONDS: typing.Final = 1.5
"""Time in which the retries of a daemon may not have reached all others. Below
e times the delay of the reports, shares of what is left would overshoot."""


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

    def total(self, now: float) -> tuple[float, int]:
        """Return the numbers of requests and retries in the window.

        The window begins within the oldest slice. All retries of that slice
        count, but only the part of its requests that is in the window.
        """
        position = now / self.slice_seconds
        oldest_index = int(position) - WINDOW_SLICES
        recent = [
            window_slice
            for window_slice in self.slices
            if window_slice.index >= oldest_index
        ]
        requests: float = sum(window_slice.requests for window_slice in recent)
        if recent and recent[0].index == oldest_index:
            requests -= recent[0].requests * math.modf(position)[0]
        return requests, sum(window_slice.retries for window_slice in recent)


class FleetRetryBudget:
    """Limits retries to a fraction of the requests of a service.

    The budget is a ratio of the requests plus a constant slack. While the
    reports of its peers are recent, a daemon may take its equal share of what
    the fleet has left, for each span in which its own retries may be unknown to
    the others. If all daemons retry at once they use up the budget together
    without exceeding it, and if only a few do, these get a new share with each
    span. Without recent reports, a daemon has its local share of the slack.

    A daemon that has just started does not know the earlier retries. For the
    length of one window it uses only STARTUP_SLACK_RATIO of the slack, which
    accrues in that time.

    Attributes:
        bounds: Ratio, slack and window.
        started_at: When the daemon started, on the monotonic clock.
        local: Counts of this daemon in the window.
        fleet: Counts of all daemons in the window.
        unreported: Counts of this daemon that others may not know.
        share_rounding: Decides whether this daemon uses the fraction of a
            retry in its share.
        requests: Requests of this daemon since its start.
        retries: Retries of this daemon since its start.
    """

    def __init__(
        self,
        bounds: edge.Bounds,
        started_at: float,
        rng: random.Random | None = None,
    ) -> None:
        """Initialize with empty windows.

        Args:
            bounds: The bounds that operators rely on.
            started_at: When the daemon started, on the monotonic clock.
            rng: Random number generator for the fractions of shares.
        """
        self.bounds = bounds
        self.started_at = started_at
        self.local = SlidingWindow(bounds.repeat_window)
        self.fleet = SlidingWindow(bounds.repeat_window)
        self.unreported = SlidingWindow(UNREPORTED_SECONDS)
        self.share_rounding = ShareRounding(rng or random.Random())
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
        slack = self.bounds.repeat_slack
        window_share = (now - self.started_at) / self.bounds.repeat_window
        if window_share < 1:
            slack *= STARTUP_SLACK_RATIO * window_share
        if has_recent_reports:
            is_allowed = self.is_within_share(
                now, daemon_count, slack * SHARED_SLACK_RATIO
            )
        else:
            local_slack = slack * LOCAL_SLACK_RATIO / max(1, daemon_count)
            is_allowed = self.left(self.local, local_slack, now) >= 1
        if is_allowed:
            self.retries += 1
            for window in (self.local, self.fleet, self.unreported):
                window.add(now, 0, 1)
        return is_allowed

    def record_delayed(self, now: float) -> None:
        """Count a retry again that was allowed earlier and is sent now.

        It arrives in other windows than the one in which it was allowed.
        """
        self.retries += 1
        for window in (self.local, self.fleet):
            window.add(now, 0, 1)

    def is_within_share(
        self, now: float, daemon_count: int, slack: float
    ) -> bool:
        """Return whether one more retry stays within this daemon's share.

        The share is one of what was left before the retries of this daemon
        that the others may not know.

        Args:
            now: Seconds on the monotonic clock.
            daemon_count: Number of daemons in the fleet.
            slack: Slack of the fleet.
        """
        left = self.left(self.fleet, slack, now)
        _, unreported = self.unreported.total(now)
        share = (left + unreported) / max(1, daemon_count)
        return left >= 1 and unreported < self.share_rounding.round(now, share)

    def left(self, window: SlidingWindow, slack: float, now: float) -> float:
        """Return how many retries ratio and slack leave in a window."""
        requests, retries = window.total(now)
        return self.bounds.repeat_ratio * requests + slack - retries


class ShareRounding:
    """Rounds shares at random, so that their sum is kept on average.

    The decision is kept for a span: a daemon that tries more often does not
    get more.

    Attributes:
        rng: Random number generator.
        decided_at: When the decision was made, on the monotonic clock.
        threshold: Fraction from which on a share is rounded up.
    """

    def __init__(self, rng: random.Random) -> None:
        """Initialize without a decision."""
        self.rng = rng
        self.decided_at = -math.inf
        self.threshold: float = 0

    def round(self, now: float, share: float) -> int:
        """Return the share as a whole number.

        Args:
            now: Seconds on the monotonic clock.
            share: The share, not negative.
        """
        if now - self.decided_at >= UNREPORTED_SECONDS:
            self.decided_at = now
            self.threshold = 1 - self.rng.random()
        whole = math.floor(share)
        return whole + (share - whole >= self.threshold)
