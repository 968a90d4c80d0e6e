"""Which daemons may send to a cold target, and how often; performs no I/O.

Load pattern: targets, or all targets of an availability zone, return cold
while every daemon sees idle targets and sends to them at the same moment. A
cold target tolerates a few requests per second from all daemons together and
crashes well above.

Every daemon decides alone. The daemons with the highest rendezvous weights for
an incarnation may send to it, each at a minimum interval, so that their sum
stays within the limit without any message between them.
"""

import dataclasses
import math
import typing
from collections import abc

from sapphirepaddle.directory import registration
from sapphirepaddle.routing import rendezvous

WINDOW_SECONDS: typing.Final = 1.0
"""Length of the window in which the requests of all daemons are limited."""
ARRIVAL_JITTER_SECONDS: typing.Final = 0.1
"""Difference of the delays of two requests by which they may arrive closer to
each other than they were sent."""
DISAGREEMENT_FACTOR: typing.Final = 2
"""Factor by which daemons that know different members may outnumber the senders
of a target."""
MAX_CACHED_INTERVALS: typing.Final = 5000
"""Number of cached intervals from which the cache is cleared."""

Member = tuple[str, str]
"""Name and availability zone of a daemon."""


@dataclasses.dataclass(frozen=True, slots=True)
class WarmupLimit:
    """What a cold target of a service tolerates, over all daemons.

    Attributes:
        per_second: Requests per second that it serves while it is cold.
        max_in_window: Upper bound of the requests that arrive in any
            WINDOW_SECONDS.
    """

    per_second: float
    max_in_window: float


def sender_count(limit: WarmupLimit, daemon_count: int) -> int:
    """Return how many of the daemons may send to a cold target."""
    return max(1, min(daemon_count, math.floor(limit.per_second)))


def send_interval(limit: WarmupLimit, senders: int) -> float:
    """Return the seconds between two requests of one sender.

    The rate of all senders together is at most `per_second`. Daemons that know
    different members may rank themselves too high: as long as there are at
    most DISAGREEMENT_FACTOR times as many senders, no window contains more
    than `max_in_window`, even if all of them send at the same moments.
    """
    longest_window = WINDOW_SECONDS + ARRIVAL_JITTER_SECONDS
    sends_per_window = math.floor(
        limit.max_in_window / (senders * DISAGREEMENT_FACTOR)
    )
    return max(
        senders / limit.per_second, longest_window / max(1, sends_per_window)
    )


class WarmupAdmission:
    """Decides how often this daemon may send to a cold target.

    Attributes:
        local_name: Name of this daemon's VM.
        read_members: Returns the known daemons, including this one; empty
            while they are not known.
        read_version: Returns a number that changes with the known daemons.
        intervals: Cached intervals by target, incarnation and limit.
        cached_version: Version of the known daemons of the cached intervals.
    """

    def __init__(
        self,
        local_name: str,
        read_members: abc.Callable[[], abc.Collection[Member]],
        read_version: abc.Callable[[], int],
    ) -> None:
        """Initialize with the access to the known daemons."""
        self.local_name = local_name
        self.read_members = read_members
        self.read_version = read_version
        self.intervals: dict[typing.Hashable, float] = {}
        self.cached_version = -1

    def interval_seconds(
        self, target: registration.Registration, limit: WarmupLimit
    ) -> float:
        """Return the seconds between two requests to a cold target.

        Returns:
            Seconds; infinite if other daemons send to it.
        """
        version = self.read_version()
        is_full = len(self.intervals) >= MAX_CACHED_INTERVALS
        if version != self.cached_version or is_full:
            self.intervals.clear()
            self.cached_version = version
        key = (target.name, target.incarnation, limit)
        interval = self.intervals.get(key)
        if interval is None:
            interval = self.compute_interval(target, limit)
            self.intervals[key] = interval
        return interval

    def compute_interval(
        self, target: registration.Registration, limit: WarmupLimit
    ) -> float:
        """Rank the daemons for a target and return the local interval.

        Daemons of the target's zone are ranked if there are any. A daemon
        that does not know the others sends nothing.
        """
        members = self.read_members()
        names = [name for name, zone in members if zone == target.zone] or [
            name for name, _ in members
        ]
        if not names or limit.per_second <= 0:
            return math.inf
        senders = sender_count(limit, len(names))
        key = f'{target.name} {target.incarnation}'
        if self.local_name not in rendezvous.rank(key, names, senders):
            return math.inf
        return send_interval(limit, senders)
