"""Tests of a fleet of two daemons that loses the one that reads most."""

from unittest import mock

from sapphirepaddle import clock
from sapphirepaddle.directory import source
from sapphirepaddle.edge import daemon, reader_role
from sapphirepaddle.peers import answer_runs, fleet
from tests.support import edge_daemon_case

LONG_SECONDS = 3600


class TestLostReader(edge_daemon_case.EdgeDaemonCase):
    """The loss of a reader must not pass for an outage of the source.

    The other daemon kept targets whose entries were removed soon afterwards,
    and requests reached them seconds after they had left. All watches last for
    an hour, so that no answer comes by chance.
    """

    async def asyncSetUp(self) -> None:
        """Start two daemons and wait until both know their ranks."""
        await super().asyncSetUp()
        for name in ('FIRST_READER_SECONDS', 'SECOND_READER_SECONDS'):
            self.enterContext(
                mock.patch.object(
                    reader_role, name, (LONG_SECONDS, LONG_SECONDS)
                )
            )
        await self.add_target('t-1', 'reads')
        for number in (1, 2):
            await self.start_daemon(number)
        await self.wait_until(
            lambda: (
                [self.role(peer).was_first for peer in self.daemons].count(True)
                == 1
                and all(self.role(peer).was_reader for peer in self.daemons)
            )
        )
        self.first, self.second = sorted(
            self.daemons, key=lambda peer: not self.role(peer).was_first
        )
        await self.add_target('t-2', 'reads')
        await self.wait_until(
            lambda: all(self.has_open_watch(peer) for peer in self.daemons)
        )

    def role(self, peer: daemon.EdgeDaemon) -> reader_role.ReaderRole:
        """Return the role of a daemon."""
        return peer.components.synchronizer.reader_role

    def has_open_watch(self, peer: daemon.EdgeDaemon) -> bool:
        """Return whether a daemon waits for changes after the last one."""
        watcher = peer.components.synchronizer.target_watcher
        return (
            watcher.revision == self.source.revision
            and watcher.watch_timeout is not None
            and not watcher.refresh_requested.is_set()
        )

    def last_answer_at(self) -> float:
        """Return the time of the last answer to the second daemon."""
        evidence = self.second.components.fleet.outage_evidence
        return evidence.local.runs[-1].end

    async def test_target_removed_after_the_loss_is_not_kept(self) -> None:
        self.enterContext(
            mock.patch.object(fleet, 'MAX_READER_SILENCE_SECONDS', LONG_SECONDS)
        )
        self.running_tasks[self.daemons.index(self.first)][1].cancel()
        await self.first.close_sockets()
        await self.wait_until(
            lambda: (
                clock.monotonic() - self.last_answer_at()
                > answer_runs.MAX_ANSWER_GAP_SECONDS
            )
        )
        directory = self.second.components.directory
        remove_target = self.enterContext(
            mock.patch.object(
                directory, 'remove_target', wraps=directory.remove_target
            )
        )
        await self.source.apply_change('servers', source.Entry('t-1', None))
        await self.wait_until(lambda: directory.find_target('t-1') is None)
        remove_target.assert_called_once_with('t-1', 'entry removed')

    async def test_successor_of_a_partitioned_reader_asks_at_once(self) -> None:
        # The failed calls of the reader would otherwise date an outage.
        lost_at = clock.monotonic()
        synchronizer = self.first.components.synchronizer
        synchronizer.target_watcher.unavailable_since = lost_at
        synchronizer.reader_role.handle_loss()
        await self.wait_until(lambda: self.last_answer_at() > lost_at)
