"""A target in the eyes of one daemon."""

import dataclasses
import math
import random
import typing

from sapphirepaddle.directory import registration
from sapphirepaddle.routing import belief

REPORT_SECONDS: typing.Final = 3.0
"""Age at which another daemon's count of running requests is dropped."""
MISDIRECTED_SECONDS: typing.Final = 5.0
"""Time for which an address that has another owner is not used; its entry
is gone by then."""


@dataclasses.dataclass(slots=True)
class Outstanding:
    """Requests that another daemon has running at a target.

    Attributes:
        count: Their number.
        reported: When it was reported.
    """

    count: int
    reported: float


REST_SECONDS: typing.Final = (1.0, 1.6)
"""Time without requests of any daemon after which a trusted target is due
for one, drawn from this range by each daemon, so that they do not send at
once. Most sound targets are to be in use in every two seconds."""
FAR_REST_SECONDS: typing.Final = 1.5
"""The same besides for targets of other zones, whose daemons see to them and
tell good results only so often."""
TRUSTED: typing.Final = 0.15
"""Probability of the faulty state up to which a target is trusted."""
RELUCTANCE: typing.Final = 10.0
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
        self.shared = belief.Belief()
        self.path = belief.Belief(belief.CUT_SHARE)
        self.running = 0
        self.peers: dict[int, Outstanding] = {}
        self.good = 0
        self.bad = 0
        self.results = 0
        self.used = now
        self.rest = random.uniform(*REST_SECONDS)
        self.avoided_until = -math.inf
        self.idle_limit: float | None = None

    def outstanding(self, now: float) -> int:
        """Return the requests that run there, of all daemons."""
        horizon = now - REPORT_SECONDS
        others = sum(
            held.count
            for held in self.peers.values()
            if held.reported > horizon
        )
        return self.running + others

    def note_answer(self, is_good: bool, now: float) -> None:
        """Take in an own result that says something of the target."""
        if is_good:
            self.good += 1
            self.path.note(is_good, now)
        else:
            self.bad += 1
        self.note_shared(is_good, now)

    def note_shared(self, is_good: bool, now: float) -> None:
        """Take in a result, own or of another daemon."""
        self.results += 1
        self.shared.note(is_good, now)
        self.note_used(now)

    def note_used(self, now: float) -> None:
        """Take in that a daemon sent a request there."""
        self.used = now
        self.rest = random.uniform(*REST_SECONDS)

    def overdue(self, now: float, is_far: bool) -> float:
        """Return for how long the target has been due for a request.

        Returns:
            Seconds; at most 0 if it is in use, or rests as it may be faulty.
        """
        doubt = max(0, self.shared.at(now) - TRUSTED)
        rest = self.rest * (1 + doubt * RELUCTANCE)
        return now - self.used - rest - FAR_REST_SECONDS * is_far

    def note_path_fault(self, now: float) -> None:
        """Take in that no answer came, which may lie on the way."""
        self.path.note(is_good=False, now=now)

    def note_misdirected(self, now: float) -> None:
        """Take in that another target has the address."""
        self.avoided_until = now + MISDIRECTED_SECONDS

    def failure(self, now: float) -> float:
        """Return the probability that the next request fails."""
        passing = (1 - self.shared.failure(now)) * (1 - self.path_risk(now))
        return 1 - passing

    def path_risk(self, now: float) -> float:
        """Return the probability that the way there is broken."""
        return self.path.at(now) * belief.FAULTY_FAILS
