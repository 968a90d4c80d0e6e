"""Evidence from all daemons about an outage of the source."""

import math

from sapphirepaddle import clock
from sapphirepaddle.peers import answer_runs, contact


class OutageEvidence:
    """Tells whether the source was away, and since when it is back.

    A daemon can neither distinguish an outage of the source from its own
    partition, nor notice one while a single call is pending. The times at which
    any daemon had answers tell both.

    Attributes:
        local: Runs of answers to this daemon.
        fleet: Runs of answers to any daemon.
    """

    def __init__(self) -> None:
        """Initialize at the start of the daemon; no outage is known then."""
        self.local = answer_runs.AnswerRuns()
        self.fleet = answer_runs.AnswerRuns()
        self.fleet.record(-math.inf, clock.monotonic())

    def record_answer(self) -> None:
        """Record that the source answered this daemon."""
        now = clock.monotonic()
        self.local.record(now, now)
        self.fleet.record(now, now)

    def record_report(self, peer_contact: contact.Contact) -> None:
        """Record the answers that a peer reports."""
        self.fleet.record(peer_contact.verified_since, peer_contact.answered_at)

    def source_returned_at(self) -> float:
        """Return the monotonic time at which the source returned.

        It is -inf if no outage is known, and inf while no daemon is known to
        have had an answer for MAX_ANSWER_GAP_SECONDS.
        """
        run = self.fleet.runs[-1]
        if clock.monotonic() - run.end > answer_runs.MAX_ANSWER_GAP_SECONDS:
            return math.inf
        return run.start
