"""Tests of the contact that daemons report to each other."""

import unittest

from sapphirepaddle.peers import answer_runs, contact, digest


class TestContact(unittest.TestCase):
    """An age that is understated makes an outage look longer than it was."""

    def test_ages_are_received_as_they_were_sent(self) -> None:
        ages = contact.to_ages(100, 90, answer_runs.Run(95, 99))
        self.assertEqual(
            contact.from_ages(100, ages), contact.Contact(90, 95, 99)
        )

    def test_answers_are_not_dated_too_late(self) -> None:
        ages = contact.to_ages(100, 90, answer_runs.Run(95.01, 99.99))
        received = contact.from_ages(100, ages)
        self.assertLessEqual(received.verified_since, 95.01)
        self.assertLessEqual(received.answered_at, 99.99)

    def test_answers_are_reported_while_contact_is_lost(self) -> None:
        ages = contact.to_ages(100, None, answer_runs.Run(95, 99))
        self.assertEqual(
            contact.from_ages(100, ages),
            contact.Contact(None, 95, 99, has_failed=True),
        )

    def test_new_contact_is_not_lost(self) -> None:
        ages = contact.to_ages(100, 100, answer_runs.Run(100, 100))
        self.assertEqual(ages.contact, 1)

    def test_long_ages_are_limited(self) -> None:
        ages = contact.to_ages(1e6, 1, answer_runs.Run(1, 1))
        self.assertEqual(set(ages), {digest.MAX_AGE_TENTHS})

    def test_no_answer_yet(self) -> None:
        ages = contact.to_ages(100, None, None)
        self.assertEqual(ages, contact.LONG_CONTACT._replace(contact=0))
        self.assertFalse(contact.from_ages(100, ages).has_failed)
