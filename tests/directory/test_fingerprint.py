"""Tests of the hash over the listed registrations."""

import dataclasses
import unittest

from sapphirepaddle.directory import fingerprint
from tests.routing import test_service_targets


class TestFingerprint(unittest.TestCase):
    """Daemons compare hashes to find out that one of them is behind.

    Equal lists must have equal hashes, and changed ones different hashes.
    """

    def setUp(self) -> None:
        """Hash two registrations."""
        self.first = test_service_targets.registered('t-1')
        self.second = test_service_targets.registered('t-2')
        self.combined_hash = self.compute_hash(self.first, self.second)

    def compute_hash(self, *registrations) -> int:
        """Return the hash of a set of registrations."""
        registration_set = fingerprint.Fingerprint()
        for registration in registrations:
            registration_set.update(registration)
        return registration_set.combined_hash

    def test_order_does_not_matter(self) -> None:
        self.assertEqual(
            self.compute_hash(self.second, self.first), self.combined_hash
        )

    def test_last_registration_of_a_name_counts(self) -> None:
        draining = dataclasses.replace(self.first, is_draining=True)
        changed_hash = self.compute_hash(draining, self.second)
        self.assertNotEqual(changed_hash, self.combined_hash)
        self.assertEqual(
            self.compute_hash(draining, self.first, self.second),
            self.combined_hash,
        )

    def test_other_incarnation_differs(self) -> None:
        restarted = dataclasses.replace(self.first, incarnation=7)
        self.assertNotEqual(
            self.compute_hash(restarted, self.second), self.combined_hash
        )

    def test_removed_registrations_do_not_count(self) -> None:
        registration_set = fingerprint.Fingerprint()
        registration_set.update(self.first)
        registration_set.update(self.second)
        registration_set.remove('t-2')
        registration_set.remove('unknown')
        self.assertEqual(
            registration_set.combined_hash, self.compute_hash(self.first)
        )
        registration_set.remove('t-1')
        self.assertEqual(registration_set.combined_hash, 0)
