"""Evidence from peers about an outage of the source."""

import math
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.peers import contact

RECENT_REPORT_SECONDS: typing.Final = 1.5
"""Age up to which the report of a peer counts as current; each peer in the
zone reports every second."""

ReadContacts = abc.Callable[[], abc.Iterable[contact.Contact]]


class OutageEvidence:
    """Estimates when the source returned after this daemon lost contact.

    A daemon cannot tell an outage of the source from its own partition, and
    may notice the return of the source later than its peers do. Their reports
    tell both.

    Attributes:
        read_contacts: Returns the last reported contacts of the peers.
        lost_at: Monotonic time at which this daemon last lost contact; None
            before the first loss.
        recovered_at: Monotonic time at which it regained contact; None while
            it has none, and before the first loss.
        first_answers: Monotonic time of the first answer of the source known
            since `lost_at`, by the hash of the peer that received it. The
            answer of a peer that has lost contact since does not count.
    """

    def __init__(self, read_contacts: ReadContacts) -> None:
        """Initialize before the first loss of contact."""
        self.read_contacts = read_contacts
        self.lost_at: float | None = None
        self.recovered_at: float | None = None
        self.first_answers: dict[int, float] = {}

    def record_loss(self) -> None:
        """Record that this daemon lost contact with the source."""
        self.lost_at = clock.monotonic()
        self.recovered_at = None
        self.first_answers.clear()

    def record_recovery(self) -> None:
        """Record that this daemon regained contact with the source."""
        self.recovered_at = clock.monotonic()

    def record_report(
        self, name_hash: int, peer_contact: contact.Contact
    ) -> None:
        """Record the contact that a peer reports."""
        if self.lost_at is None:
            return
        if peer_contact.since is None:
            self.first_answers.pop(name_hash, None)
            return
        first_answer = peer_contact.since
        if first_answer <= self.lost_at:
            first_answer = self.first_answers.get(
                name_hash, peer_contact.answered_at
            )
        if first_answer > self.lost_at:
            self.first_answers[name_hash] = first_answer

    def is_local(self) -> bool:
        """Return whether only this daemon lost contact.

        That is so if most of the peers that reported recently have had
        contact since before this daemon lost it.
        """
        if self.lost_at is None:
            return False
        horizon = clock.monotonic() - RECENT_REPORT_SECONDS
        recent_contacts = [
            peer_contact
            for peer_contact in self.read_contacts()
            if peer_contact.reported_at >= horizon
        ]
        unbroken_count = sum(
            peer_contact.since is not None
            and peer_contact.since <= self.lost_at
            for peer_contact in recent_contacts
        )
        return unbroken_count * 2 > len(recent_contacts)

    def source_returned_at(self) -> float:
        """Return the monotonic time at which the source returned.

        It is -inf if the source was not away for the fleet, and inf if no
        daemon is known to have received an answer since.
        """
        if self.lost_at is None or self.is_local():
            return -math.inf
        answers = list(self.first_answers.values())
        if self.recovered_at is not None:
            answers.append(self.recovered_at)
        return min(answers, default=math.inf)
