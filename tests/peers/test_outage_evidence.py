"""Tests of the evidence from all daemons about an outage of the source."""

import math
import unittest
from unittest import mock

from sapphirepaddle import clock
from sapphirepaddle.peers import answer_runs, contact, outage_evidence

STARTED_AT = 50.0
LOST_AT = 100.0


class TestOutageEvidence(unittest.TestCase):
    """A daemon had its last answer at 100 s; its peers report theirs.

    Its next call fails at 101 s.

    A late estimate keeps targets that have left, an early one removes targets
    whose entries only lapsed in the outage.
    """

    def setUp(self) -> None:
        """Start a daemon, answer it until 100 s, and let its call fail."""
        self.now = STARTED_AT
        patch = mock.patch.object(clock, 'monotonic', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.evidence = outage_evidence.OutageEvidence()
        while self.now < LOST_AT:
            self.answer(self.now + 1)
        self.now += 1
        self.evidence.record_failure()

    def answer(self, now: float) -> None:
        """Let the source answer this daemon."""
        self.now = now
        self.evidence.record_answer()

    def report(
        self, now: float, verified_since: float, answered_at: float
    ) -> None:
        """Receive the report of a peer."""
        self.now = now
        self.evidence.record_report(
            contact.Contact(None, verified_since, answered_at)
        )

    def assert_no_outage(self) -> None:
        """Check that removals need no grace period."""
        self.assertEqual(self.evidence.source_returned_at(), -math.inf)

    def test_no_outage_while_the_source_answers(self) -> None:
        self.assert_no_outage()

    def test_nothing_is_known_before_any_answer(self) -> None:
        self.report(105, 60, 99)
        self.assertEqual(self.evidence.source_returned_at(), math.inf)

    def test_own_recovery_without_peers(self) -> None:
        self.answer(105)
        self.assertEqual(self.evidence.source_returned_at(), 105)

    def test_outage_that_no_daemon_noticed(self) -> None:
        # Peers whose calls were pending have a contact without answers.
        for answered_at in (99, 99.5, 100):
            self.report(108, 60, answered_at)
        self.answer(108)
        self.assertEqual(self.evidence.source_returned_at(), 108)

    def test_peers_that_recovered_earlier_date_the_return(self) -> None:
        self.report(106, 104, 105)
        self.report(106, 105, 105)
        self.answer(107)
        self.assertEqual(self.evidence.source_returned_at(), 104)

    def test_answers_before_the_loss_date_nothing(self) -> None:
        self.report(104, 99, 99.5)
        self.assertEqual(self.evidence.source_returned_at(), math.inf)

    def test_outage_is_local_if_a_peer_had_answers(self) -> None:
        self.report(109, 95, 108)
        for _ in range(3):
            self.report(109, 95, 99)
        self.answer(110)
        self.assert_no_outage()

    def test_peers_that_replace_each_other_have_answers(self) -> None:
        for answered_at in range(102, 110, 3):
            self.report(answered_at + 1, answered_at, answered_at)
        self.answer(110)
        self.assert_no_outage()

    def test_late_report_shows_that_there_was_no_outage(self) -> None:
        self.answer(107)
        self.report(108, 60, 107)
        self.assert_no_outage()

    def test_later_loss_of_a_peer_does_not_count(self) -> None:
        self.report(103, 60, 101)
        self.now = 103 + answer_runs.MAX_ANSWER_GAP_SECONDS
        self.evidence.record_failure()
        self.assertEqual(self.evidence.source_returned_at(), math.inf)

    def test_next_outage_starts_anew(self) -> None:
        self.answer(107)
        self.now = 112
        self.evidence.record_failure()
        self.assertEqual(self.evidence.source_returned_at(), math.inf)
        self.answer(114)
        self.assertEqual(self.evidence.source_returned_at(), 114)

    def test_start_in_an_outage(self) -> None:
        self.now = 200
        self.evidence = outage_evidence.OutageEvidence()
        self.now = 201
        self.evidence.record_failure()
        self.answer(201 + answer_runs.MAX_ANSWER_GAP_SECONDS)
        self.assertEqual(self.evidence.source_returned_at(), self.now)


class TestTimeWithoutCalls(unittest.TestCase):
    """A time without answers in which no call failed is no outage.

    After the loss of a reader nobody asks until another daemon takes over, or
    until a call ends that was made long before; a frozen VM does not ask.
    """

    def setUp(self) -> None:
        """Start a daemon and answer it at 100 s."""
        self.now = LOST_AT
        patch = mock.patch.object(clock, 'monotonic', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.evidence = outage_evidence.OutageEvidence()
        self.evidence.record_answer()

    def report(self, peer_contact: contact.Contact, now: float) -> None:
        """Receive the report of a peer."""
        self.now = now
        self.evidence.record_report(peer_contact)

    def answer(self, now: float) -> None:
        """Let the source answer this daemon."""
        self.now = now
        self.evidence.record_answer()

    def assert_returned_at(self, moment: float) -> None:
        """Check when the source is believed to have returned."""
        self.assertEqual(self.evidence.source_returned_at(), moment)

    def test_no_outage_before_the_next_answer(self) -> None:
        self.now = 110
        self.assert_returned_at(-math.inf)

    def test_no_outage_after_the_next_answer(self) -> None:
        self.answer(110)
        self.assert_returned_at(-math.inf)

    def test_several_times_without_calls(self) -> None:
        for moment in range(110, 150, 10):
            self.answer(moment)
        self.assert_returned_at(-math.inf)

    def test_failure_while_the_source_answers(self) -> None:
        self.now = 101
        self.evidence.record_failure()
        self.answer(102)
        self.answer(110)
        self.assert_returned_at(-math.inf)

    def test_outage_before_a_time_without_calls(self) -> None:
        self.now = 102
        self.evidence.record_failure()
        self.answer(105)
        self.answer(115)
        self.assert_returned_at(105)

    def test_failed_call_of_a_peer_shows_an_outage(self) -> None:
        self.report(contact.Contact(None, 60, 99, has_failed=True), 103)
        self.now = 105
        self.assert_returned_at(math.inf)
        self.answer(106)
        self.assert_returned_at(106)

    def test_peer_that_starts_has_made_no_call(self) -> None:
        ages = contact.to_ages(103, None, None)
        self.report(contact.from_ages(103, ages), 103)
        self.answer(106)
        self.assert_returned_at(-math.inf)
