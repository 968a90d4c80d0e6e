"""Tests of the settings of the entry daemon."""

import unittest

from sapphirepaddle.settings import entry


class TestMembershipSettings(unittest.TestCase):
    """A watch that a silent platform swallowed must not hide changes.

    It must time out before the daemon counts as isolated.
    """

    def test_watch_ends_before_isolation(self) -> None:
        settings = entry.MembershipSettings()
        self.assertLess(settings.watch_seconds, settings.isolation_seconds)
