"""Tests of comparing targets with those of readers."""

import unittest
from unittest import mock

from sapphirepaddle import clock
from sapphirepaddle.edge import target_freshness

READER = 7
OTHER_READER = 8


class TestTargetFreshness(unittest.TestCase):
    """States that a daemon had before are older, and others are missing."""

    def setUp(self) -> None:
        """Let the clock stand still, and know the targets 1."""
        self.now = 100.0
        self.enterContext(
            mock.patch.object(clock, 'monotonic', lambda: self.now)
        )
        self.freshness = target_freshness.TargetFreshness()
        self.freshness.record_local(1)
        self.freshness.compare({READER: 1})

    def test_equal_targets_are_known(self) -> None:
        self.now += 5
        self.freshness.compare({READER: 1})
        self.assertEqual(self.freshness.age_seconds(), 0)
        self.assertEqual(self.freshness.missing_seconds(), 0)

    def test_reader_that_is_behind_has_nothing_new(self) -> None:
        self.freshness.record_local(2)
        self.freshness.record_local(3)
        self.now += 1
        self.freshness.compare({READER: 2})
        self.assertEqual(self.freshness.unmatched_seconds(READER), 0)

    def test_changes_in_quick_succession_do_not_reset_what_is_missing(
        self,
    ) -> None:
        for fingerprint in range(10, 20):
            self.now += 0.5
            self.freshness.compare({READER: fingerprint})
        self.assertEqual(self.freshness.missing_seconds(), 4.5)
        self.assertEqual(self.freshness.age_seconds(), 5)

    def test_one_reader_with_known_targets_suffices(self) -> None:
        self.freshness.compare({READER: 1, OTHER_READER: 9})
        self.now += 3
        self.freshness.compare({READER: 1, OTHER_READER: 9})
        self.assertEqual(self.freshness.unmatched_seconds(OTHER_READER), 3)
        self.assertEqual(self.freshness.missing_seconds(), 0)

    def test_change_that_restores_an_earlier_state_is_missing(self) -> None:
        # The target came and went, and its removal was missed.
        self.freshness.record_local(2)
        self.freshness.compare({READER: 2})
        self.freshness.compare({READER: 1})
        self.now += 1
        self.assertEqual(self.freshness.unmatched_seconds(READER), 1)

    def test_earlier_state_is_missing_after_some_time(self) -> None:
        self.freshness.record_local(2)
        self.now += 3
        self.freshness.compare({READER: 1})
        self.now += 1
        self.assertEqual(self.freshness.unmatched_seconds(READER), 1)

    def test_reader_without_targets_shows_nothing(self) -> None:
        self.freshness.compare({READER: 0})
        self.now += 4
        self.assertEqual(self.freshness.unmatched_seconds(READER), 0)
        self.assertEqual(self.freshness.age_seconds(), 4)
