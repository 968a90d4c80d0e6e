"""A target in the eyes of one daemon."""

import dataclasses
import math
import random
import typing

from sapphirepaddle.directory import registration
from sapphirepaddle.routing import fault_estimator

MAX_REPORT_AGE_SECONDS: typing.Final = 3.0
"""Age at which another daemon's count of running requests is dropped."""
MISDIRECTED_SECONDS: typing.Final = 5.0
"""Time for which an address that has another owner is not used; its entry
is gone by then."""


@dataclasses.dataclass(slots=True)
class PeerOutstanding:
    """Requests that another daemon has running at a target.

    Attributes:
        count: Their number.
        reported: When it was reported.
    """

    count: int
    reported: float


REVISIT_SECONDS: typing.Final = (1.0, 1.6)
"""Time without requests of any daemon after which a trusted target is due
for one, drawn from this range by each daemon, so that they do not send at
once. Most sound targets are to be in use in every two seconds."""
OTHER_ZONE_REVISIT_SECONDS: typing.Final = 1.5
"""The same besides for targets of other zones, whose daemons see to them and
tell good results only so often."""
TRUSTED_FAULT_PROBABILITY: typing.Final = 0.15
"""Probability of the faulty state up to which a target is trusted."""
SUSPECT_REVISIT_FACTOR: typing.Final = 10.0
"""How many times longer a target rests with a probability of 1 more."""


class Candidate:
    """What a daemon knows of one start of a target.

    Attributes:
        registration: How the target registered.
        joined: When it became known.
        shared: Belief from answers, of all daemons.
        path: Belief in the way there, from own connections only.
        running: Own requests that run there.
        peers: Requests of other daemons that run there, by daemon.
        good: Own answers without failure since the start.
        bad: Own failures since the start.
        results: Results of all daemons.
        used: When a request of any daemon was last known of.
        rest: Time from then until the target is due for one.
        avoided_until: Until when the address is not used.
        idle_limit: How long the target keeps an idle connection; None if
            it did not say.
    """

    def __init__(self, held: registration.Registration, now: float) -> None:
        """Start without evidence."""
        self.registration = held
        self.joined = now
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
        self.keep_alive_seconds: float | None = None

    def outstanding(self, now: float) -> int:
        """Return the requests that run there, of all daemons."""
        horizon = now - MAX_REPORT_AGE_SECONDS
        others = sum(
            held.count
            for held in self.peer_outstanding.values()
            if held.reported > horizon
        )
        return self.local_outstanding + others

    def record_answer(self, is_good: bool, now: float) -> None:
        """Take in an own result that says something of the target."""
        if is_good:
            self.local_good += 1
            self.path_estimator.record_result(is_good, now)
        else:
            self.local_bad += 1
        self.record_result(is_good, now)

    def record_result(self, is_good: bool, now: float) -> None:
        """Take in a result, own or of another daemon."""
        self.result_count += 1
        self.target_estimator.record_result(is_good, now)
        self.record_request(now)

    def record_request(self, now: float) -> None:
        """Take in that a daemon sent a request there."""
        self.last_used_at = now
        self.revisit_seconds = random.uniform(*REVISIT_SECONDS)

    def overdue_seconds(self, now: float, is_far: bool) -> float:
        """Return for how long the target has been due for a request.

        Returns:
            Seconds; at most 0 if it is in use, or rests as it may be faulty.
        """
        doubt = max(
            0,
            self.target_estimator.fault_probability(now)
            - TRUSTED_FAULT_PROBABILITY,
        )
        rest = self.revisit_seconds * (1 + doubt * SUSPECT_REVISIT_FACTOR)
        return (
            now - self.last_used_at - rest - OTHER_ZONE_REVISIT_SECONDS * is_far
        )

    def record_path_fault(self, now: float) -> None:
        """Take in that no answer came, which may lie on the way."""
        self.path_estimator.record_result(is_good=False, now=now)

    def record_misdirected(self, now: float) -> None:
        """Take in that another target has the address."""
        self.avoided_until = now + MISDIRECTED_SECONDS

    def failure_probability(self, now: float) -> float:
        """Return the probability that the next request fails."""
        passing = (1 - self.target_estimator.failure_probability(now)) * (
            1 - self.path_failure_probability(now)
        )
        return 1 - passing

    def path_failure_probability(self, now: float) -> float:
        """Return the probability that the way there is broken."""
        return (
            self.path_estimator.fault_probability(now)
            * fault_estimator.FAULTY_FAILURE_RATIO
        )
