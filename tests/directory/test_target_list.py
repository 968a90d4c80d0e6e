"""Targets whose entries come, change and vanish."""

import unittest
from unittest import mock

from sapphirepaddle import errors
from sapphirepaddle.directory import directory, source, target_list
from sapphirepaddle.platform import registrations
from sapphirepaddle.settings import edge
from tests.support import edge_daemon_case, platform_objects

RETURN = target_list.REREGISTRATION_GRACE_SECONDS


class TestTargetList(unittest.IsolatedAsyncioTestCase):
    """Entries around an outage of the source."""

    async def asyncSetUp(self) -> None:
        """List two targets."""
        self.now = 100.0
        patch = mock.patch.object(
            target_list.clock,
            'monotonic',
            lambda: self.now,
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.back_at: float | None = None
        self.known = directory.Directory('a', edge.Bounds())
        self.list = target_list.TargetList(
            self.known,
            registrations.decode_target,
            lambda: self.back_at,
        )
        self.entries = [
            source.Entry(name, platform_objects.target('reads', 80))
            for name in ('t-1', 't-2')
        ]
        self.list.apply_all(self.entries)

    async def test_removed_entry_is_gone_at_once(self) -> None:
        self.list.apply_changes([source.Entry('t-1', None)])
        self.assertEqual(self.known.target_names(), {'t-2'})

    async def test_lapsed_entry_keeps_its_target_for_a_while(self) -> None:
        self.back_at = 99.9
        self.list.apply_all(self.entries[:1])
        self.assertEqual(self.known.target_names(), {'t-1', 't-2'})
        self.now = self.back_at + RETURN
        self.list.remove_expired()
        self.assertEqual(self.known.target_names(), {'t-1'})

    async def test_entry_that_is_back_keeps_its_target(self) -> None:
        self.back_at = 99.9
        self.list.apply_all(self.entries[:1])
        self.list.apply_changes(self.entries[1:])
        self.now = self.back_at + RETURN
        self.list.remove_expired()
        self.assertEqual(self.known.target_names(), {'t-1', 't-2'})

    async def test_long_after_an_outage_removal_counts_at_once(self) -> None:
        self.back_at = 100 - RETURN - 1
        self.list.apply_changes([source.Entry('t-1', None)])
        self.assertEqual(self.known.target_names(), {'t-2'})


class CutSource(source.Source):
    """A source that one daemon may be cut from.

    Attributes:
        held: The source.
        is_cut: Whether calls fail.
    """

    def __init__(self, held: source.Source) -> None:
        """Start without a cut."""
        self.held = held
        self.is_cut = False

    def check(self) -> None:
        """Fail while cut."""
        if self.is_cut:
            raise errors.SourceError('cut')

    async def list_all(self, kind: str, is_stale_allowed: bool):
        """Return all objects of a kind."""
        self.check()
        return await self.held.list_all(kind, is_stale_allowed)

    async def watch(
        self,
        kind: str,
        revision: int,
        seconds: float,
        is_stale_allowed: bool,
    ):
        """Wait for changes after a revision."""
        self.check()
        reading = await self.held.watch(
            kind,
            revision,
            min(seconds, 0.1),
            is_stale_allowed,
        )
        self.check()
        return reading

    async def put(self, kind: str, entry: source.Entry) -> None:
        """Create or replace an object."""
        await self.held.put(kind, entry)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        await self.held.delete(kind, name)


class TestOwnCut(edge_daemon_case.EdgeDaemonCase):
    """A daemon that alone was cut from the source."""

    async def test_removed_target_is_gone_without_the_grace(self) -> None:
        await self.add_target('t-1', 'reads')
        await self.add_target('t-2', 'reads')
        for number in (2, 3):
            await self.start_daemon(number)
        plain = self.source
        cut = CutSource(plain)
        self.source = cut
        running = await self.start_daemon(1)
        await self.wait_until(lambda: running.components.fleet.size == 3)
        targets = running.components.synchronizer.target_watcher
        cut.is_cut = True
        await self.wait_until(lambda: targets.unavailable_since is not None)
        cut.is_cut = False
        await self.wait_until(lambda: targets.unavailable_since is None)
        known = running.components.directory
        with mock.patch.object(
            known,
            'remove_target',
            wraps=known.remove_target,
        ) as removed:
            await plain.apply_change('servers', source.Entry('t-1', None))
            await self.wait_until(lambda: known.find_target('t-1') is None)
        removed.assert_called_once_with('t-1', 'entry removed')
