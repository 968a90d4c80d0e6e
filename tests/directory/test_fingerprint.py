"""Marks of what the source lists."""

import dataclasses
import unittest

from sapphirepaddle.directory import fingerprint
from tests.routing import test_service_targets


class TestFingerprint(unittest.TestCase):
    """Two daemons that compare."""

    def setUp(self) -> None:
        """Take up two registrations."""
        self.first = test_service_targets.registered('t-1')
        self.second = test_service_targets.registered('t-2')
        self.mark = self.of(self.first, self.second)

    def of(self, *listed) -> int:
        """Return the mark of some registrations."""
        held = fingerprint.Fingerprint()
        for registration in listed:
            held.update(registration)
        return held.combined_hash

    def test_order_does_not_matter(self) -> None:
        self.assertEqual(self.of(self.second, self.first), self.mark)

    def test_the_last_of_a_name_counts(self) -> None:
        drained = dataclasses.replace(self.first, is_draining=True)
        changed = self.of(drained, self.second)
        self.assertNotEqual(changed, self.mark)
        self.assertEqual(self.of(drained, self.first, self.second), self.mark)

    def test_another_start_differs(self) -> None:
        reborn = dataclasses.replace(self.first, incarnation=7)
        self.assertNotEqual(self.of(reborn, self.second), self.mark)

    def test_dropped_ones_do_not_count(self) -> None:
        held = fingerprint.Fingerprint()
        held.update(self.first)
        held.update(self.second)
        held.remove('t-2')
        held.remove('unknown')
        self.assertEqual(held.combined_hash, self.of(self.first))
        held.remove('t-1')
        self.assertEqual(held.combined_hash, 0)
