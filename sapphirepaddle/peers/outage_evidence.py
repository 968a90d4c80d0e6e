"""Evidence from all daemons about an outage of the source."""

import math

from sapphirepaddle import clock
from sapphirepaddle.peers import answer_runs, contact


class OutageEvidence:
    """Tells whether the source was away, and since when it is back.

    A daemon can neither distinguish an outage of the source from its own
    partition, nor notice one while a single call is pending. The times at which
    any daemon had answers tell both. A time without answers is an outage only
    if a call failed in it: after the loss of a reader nobody asks for a while.

    Attributes:
        local: Runs of answers to this daemon.
        fleet: Runs of answers to any daemon.
        failures: Runs of failed calls of any daemon, as far as known.
    """

    def __init__(self) -> None:
        """Initialize at the start of the daemon; no outage is known then."""
        self.local = answer_runs.AnswerRuns()
        self.fleet = answer_runs.AnswerRuns()
        self.failures = answer_runs.AnswerRuns()
        self.fleet.record(-math.inf, clock.monotonic())

    def record_answer(self) -> None:
        """Record that the source answered this daemon."""
        now = clock.monotonic()
        self.local.record(now, now)
        self.fleet.record(now, now)

    def record_failure(self) -> None:
        """Record that a call of this daemon failed."""
        now = clock.monotonic()
        self.failures.record(now, now)

    def record_report(self, peer_contact: contact.Contact) -> None:
        """Record the answers that a peer reports, or that its calls fail."""
        self.fleet.record(peer_contact.verified_since, peer_contact.answered_at)
        if peer_contact.has_failed:
            self.record_failure()

    def source_returned_at(self) -> float:
        """Return the monotonic time at which the source returned.

        It is -inf if no outage is known. It is inf while no daemon is known to
        have had an answer for MAX_ANSWER_GAP_SECONDS although calls were made.
        """
        now = clock.monotonic()
        *earlier_runs, newest = self.fleet.runs
        is_silent = now - newest.end > answer_runs.MAX_ANSWER_GAP_SECONDS
        if is_silent and self.has_failure(newest.end, now):
            return math.inf
        for earlier, later in zip(
            reversed(earlier_runs), reversed(self.fleet.runs), strict=False
        ):
            if self.has_failure(earlier.end, later.start):
                return later.start
        return self.fleet.runs[0].start

    def has_failure(self, start: float, end: float) -> bool:
        """Return whether a call is known to have failed in a time.

        Args:
            start: Monotonic time at which it starts, exclusive.
            end: Monotonic time at which it ends, inclusive.
        """
        return any(
            run.end > start and run.start <= end for run in self.failures.runs
        )
