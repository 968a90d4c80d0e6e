"""Tests of the evidence from peers about an outage of the source."""

import math
import unittest
from unittest import mock

from sapphirepaddle import clock
from sapphirepaddle.peers import contact, outage_evidence

LOST_AT = 100.0


class TestOutageEvidence(unittest.TestCase):
    """A daemon lost contact at 100 s; its peers report their contacts.

    A late estimate keeps targets that have left, an early one removes targets
    whose entries only lapsed in the outage.
    """

    def setUp(self) -> None:
        """Lose contact with the source."""
        self.now = LOST_AT
        patch = mock.patch.object(clock, 'monotonic', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.contacts: dict[int, contact.Contact] = {}
        self.evidence = outage_evidence.OutageEvidence(self.contacts.values)
        self.evidence.record_loss()

    def report(
        self, peer: int, now: float, since: float | None, answered_at: float
    ) -> None:
        """Receive the report of a peer."""
        self.now = now
        self.contacts[peer] = contact.Contact(now, since, answered_at)
        self.evidence.record_report(peer, self.contacts[peer])

    def test_nothing_is_known_before_any_answer(self) -> None:
        self.report(1, 101, None, 99)
        self.assertEqual(self.evidence.source_returned_at(), math.inf)

    def test_own_recovery_without_peers(self) -> None:
        self.now = 105
        self.evidence.record_recovery()
        self.assertEqual(self.evidence.source_returned_at(), 105)

    def test_peers_that_recovered_earlier_date_the_return(self) -> None:
        self.report(1, 106, 104, 105)
        self.report(2, 106, 103, 105)
        self.now = 107
        self.evidence.record_recovery()
        self.assertEqual(self.evidence.source_returned_at(), 103)

    def test_recovery_before_the_loss_dates_nothing(self) -> None:
        self.report(1, 101, 99, 99.5)
        self.report(2, 101, None, 99.5)
        self.assertEqual(self.evidence.source_returned_at(), math.inf)

    def test_outage_is_local_if_most_peers_had_contact(self) -> None:
        for peer in (1, 2):
            self.report(peer, 101, 50, 90)
        self.report(3, 101, None, 90)
        self.assertEqual(self.evidence.source_returned_at(), -math.inf)

    def test_one_peer_with_an_answer_suffices(self) -> None:
        for now in (102, 110):
            self.report(1, now, 50, now - 1)
            for peer in (2, 3, 4):
                self.report(peer, now, None, 90)
        self.assertEqual(self.evidence.source_returned_at(), 101)

    def test_answer_before_the_loss_of_a_peer_does_not_count(self) -> None:
        for peer in (2, 3):
            self.report(peer, 101, None, 99)
        self.report(1, 101, 50, 100.5)
        self.report(1, 103, None, 101)
        self.assertEqual(self.evidence.source_returned_at(), math.inf)

    def test_short_loss_of_a_peer_between_reports(self) -> None:
        self.report(1, 101, 50, 100.5)
        self.report(1, 103, 102.8, 102.9)
        self.assertEqual(self.evidence.source_returned_at(), 102.8)

    def test_next_loss_starts_anew(self) -> None:
        self.report(1, 103, 102, 102)
        self.evidence.record_recovery()
        self.now = 110
        self.evidence.record_loss()
        self.assertEqual(self.evidence.source_returned_at(), math.inf)

    def test_silent_peers_do_not_make_an_outage_local(self) -> None:
        self.report(1, 101, 50, 90)
        self.now = 101 + outage_evidence.RECENT_REPORT_SECONDS + 0.1
        self.assertEqual(self.evidence.source_returned_at(), math.inf)
