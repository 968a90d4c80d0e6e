"""Evidence about a target, by which an edge daemon selects targets."""

import dataclasses
import math
import random
import typing

from sapphirepaddle.directory import registration
from sapphirepaddle.routing import fault_estimator, revisit_policy

MAX_REPORT_AGE_SECONDS: typing.Final = 3.0
"""Age from which another daemon's count of outstanding requests is ignored."""
MAX_WARMUP_SECONDS: typing.Final = 300.0
"""Longest time for which a statement keeps a target cold."""
MISDIRECTED_SECONDS: typing.Final = 5.0
"""Time for which an address that belongs to another target is not used; the
outdated registration has expired by then."""


@dataclasses.dataclass(slots=True)
class PeerOutstanding:
    """Requests that another daemon has outstanding at a target.

    Attributes:
        count: Number of outstanding requests.
        reported_at: Time of the report, in seconds of the monotonic clock.
    """

    count: int
    reported_at: float


REVISIT_SECONDS: typing.Final = (1.0, 1.6)
"""Range of the idle time after which a trusted target is due for a request.

Each daemon draws from this range, so that not all of them send at the same
time. The upper end keeps most healthy targets in use in every two seconds."""


class Candidate:
    """Evidence about one incarnation of a target.

    Times are in seconds of the monotonic clock.

    Attributes:
        registration: Registration of the target.
        joined_at: Time at which this daemon learned of the incarnation.
        target_estimator: Fault estimate from the results of all daemons.
        path_estimator: Fault estimate of the network path from this daemon,
            from its own connections only.
        local_outstanding: Outstanding requests of this daemon.
        peer_outstanding: Outstanding requests of other daemons, by daemon.
        local_good: Good results of this daemon for this incarnation.
        local_bad: Failures of this daemon for this incarnation.
        result_count: Number of results of all daemons.
        last_used_at: Time of the last known request of any daemon.
        revisit_seconds: Idle time after which a request is due.
        avoided_until: Time until which the target is not used: its address
            belongs to another one, or it asked for a pause.
        leaving_since: Time since which the target is known to shut down; None
            if it is not.
        keep_alive_seconds: Time for which the target keeps an idle
            connection; None if the target did not state it.
        cold_until: Time until which the target is cold after its start.
        cold_sent_at: Time at which this daemon last chose it while it was
            cold.
    """

    def __init__(
        self, target_registration: registration.Registration, now: float
    ) -> None:
        """Initialize a candidate without evidence."""
        self.registration = target_registration
        self.joined_at = now
        self.target_estimator = fault_estimator.FaultEstimator()
        self.path_estimator = fault_estimator.FaultEstimator(
            fault_estimator.PRIOR_PATH_FAULT_RATIO
        )
        self.local_outstanding = 0
        self.peer_outstanding: dict[int, PeerOutstanding] = {}
        self.local_good = 0
        self.local_bad = 0
        self.result_count = 0
        self.last_used_at = now
        self.revisit_seconds = random.uniform(*REVISIT_SECONDS)
        self.avoided_until = -math.inf
        self.leaving_since: float | None = None
        self.keep_alive_seconds: float | None = None
        self.cold_until = -math.inf
        self.cold_sent_at = -math.inf

    def outstanding(self, now: float) -> int:
        """Return the number of outstanding requests of all daemons."""
        oldest_report = now - MAX_REPORT_AGE_SECONDS
        peer_count = sum(
            report.count
            for report in self.peer_outstanding.values()
            if report.reported_at > oldest_report
        )
        return self.local_outstanding + peer_count

    def record_answer(self, is_good: bool, now: float) -> None:
        """Record a result of this daemon that is evidence about the target."""
        if is_good:
            self.local_good += 1
            self.path_estimator.record_result(is_good, now)
        else:
            self.local_bad += 1
        self.record_result(is_good, now)

    def record_result(self, is_good: bool, now: float) -> None:
        """Record a result of this daemon or of another one."""
        self.result_count += 1
        self.target_estimator.record_result(is_good, now)
        self.record_request(now)

    def record_request(self, now: float) -> None:
        """Record that a daemon sent a request and restart the idle time."""
        self.last_used_at = now
        self.revisit_seconds = random.uniform(*REVISIT_SECONDS)

    def overdue_seconds(self, now: float, rest_factor: float) -> float:
        """Return the time for which a request has been due.

        Args:
            now: Monotonic time.
            rest_factor: Relative increase of the revisit time by the fault
                probability.

        Returns:
            Seconds; at most 0 while none is due, because the target was used
            recently or its fault probability lengthens the revisit time.
        """
        delay = revisit_policy.revisit_delay(
            self.revisit_seconds,
            self.target_estimator.fault_probability(now),
            rest_factor,
        )
        return now - self.last_used_at - delay

    def record_path_fault(self, now: float) -> None:
        """Record a missing answer, possibly caused by the network path."""
        self.path_estimator.record_result(is_good=False, now=now)

    def record_misdirected(self, now: float) -> None:
        """Record that the address now belongs to another target."""
        self.avoided_until = now + MISDIRECTED_SECONDS

    def record_pause(self, seconds: float, now: float) -> None:
        """Record that the target wants no requests for some seconds."""
        self.avoided_until = max(self.avoided_until, now + seconds)

    def record_warmup(self, seconds: float, now: float) -> None:
        """Record for how long the target stays cold; 0 if it is warm."""
        limited_seconds = min(seconds, MAX_WARMUP_SECONDS)
        self.cold_until = now + limited_seconds if seconds else -math.inf

    def failure_probability(self, now: float) -> float:
        """Return the probability that the next request fails."""
        success_probability = (
            1 - self.target_estimator.failure_probability(now)
        ) * (1 - self.path_failure_probability(now))
        return 1 - success_probability

    def path_failure_probability(self, now: float) -> float:
        """Return the probability that the path fails the next request."""
        return (
            self.path_estimator.fault_probability(now)
            * fault_estimator.FAULTY_FAILURE_RATIO
        )
