"""Tests of daemons that hear neither the platform nor their peers."""

import asyncio
import unittest
from unittest import mock

from sapphirepaddle import clock
from sapphirepaddle.fleet import platform_contact, watcher
from sapphirepaddle.peers import members
from sapphirepaddle.settings import entry

ISOLATION_SECONDS = 3
LOST_AT = 103


class TestLostPeer(unittest.IsolatedAsyncioTestCase):
    """The loss of the peer that asks must not pass for a partition.

    The other daemon of a fleet of two refused all keys for seconds, although
    the platform would have answered it.
    """

    def setUp(self) -> None:
        """Let the only peer report until 100 s, and be silent then."""
        self.now = 100.0
        patch = mock.patch.object(clock, 'monotonic', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        fleet_members = members.Members('vm1', 'a')
        fleet_members.replace(
            {
                'vm2': members.MemberEntry(
                    zone='a', address='127.0.0.2', port=1, state='live'
                )
            }
        )
        self.contact = platform_contact.PlatformContact(
            fleet_members, ISOLATION_SECONDS, 90
        )
        self.contact.record_heartbeat('vm2', 0, self.now)

    def test_daemon_that_has_not_asked_is_not_partitioned(self) -> None:
        self.now = LOST_AT + 5
        self.assertFalse(self.contact.is_partitioned(self.now))
        self.assertTrue(self.contact.must_ask(self.now))

    def test_answer_excludes_a_partition(self) -> None:
        self.now = LOST_AT + 0.1
        self.contact.record_platform_call(self.now)
        self.contact.record_platform_answer(self.now)
        self.assertFalse(self.contact.is_partitioned(self.now + 1))
        self.assertFalse(self.contact.must_ask(self.now + 1))

    def test_unanswered_call_shows_a_partition(self) -> None:
        self.now = LOST_AT + 0.1
        self.contact.record_platform_call(self.now)
        self.now += platform_contact.ANSWER_SECONDS + 0.1
        self.assertTrue(self.contact.is_partitioned(self.now))
        self.assertFalse(self.contact.must_ask(self.now))

    def test_call_before_the_loss_shows_a_partition_at_once(self) -> None:
        self.contact.record_platform_call(101)
        self.assertTrue(self.contact.is_partitioned(LOST_AT + 0.1))

    async def test_daemon_in_doubt_asks_at_once(self) -> None:
        reader = mock.Mock(
            spec=watcher.Watcher,
            platform_contact=self.contact,
            settings=entry.MembershipSettings(),
        )
        reader.pause_seconds.return_value = 3600
        pause = asyncio.create_task(watcher.Watcher.pause(reader))
        await asyncio.sleep(0.1)
        self.assertFalse(pause.done())
        self.now = LOST_AT + 0.1
        async with asyncio.timeout(10):
            await pause
        reader.is_watcher.return_value = False
        self.assertTrue(watcher.Watcher.should_read(reader))
