"""Tests of daemons that are partitioned from the source only."""

from sapphirepaddle.directory import memory_source, source
from sapphirepaddle.edge import daemon
from tests.support import edge_daemon_case, platform_objects


class PartitionCase(edge_daemon_case.EdgeDaemonCase):
    """A fleet of which some daemons lose the path to the source.

    Their calls get no answer. They hear from the other daemons.
    """

    async def start_fleet(self, zones: str) -> None:
        """Start a daemon in each of some zones, and wait until all are known.

        Args:
            zones: One character for each daemon.
        """
        self.served = await self.add_target('t-1', 'reads')
        for number, zone in enumerate(zones, 1):
            await self.start_daemon(number, zone)
        await self.wait_until(
            lambda: all(
                edge_daemon.components.fleet.size == len(self.daemons)
                for edge_daemon in self.daemons
            )
        )

    def partition(self, edge_daemon: daemon.EdgeDaemon) -> None:
        """Let all calls of a daemon to the source go unanswered from now on."""
        silent_source = memory_source.MemorySource()
        silent_source.is_silent = True
        role = edge_daemon.components.synchronizer.reader_role
        for watcher in role.watchers:
            watcher.source = silent_source
            watcher.replace_call()

    async def drain(self) -> None:
        """Change the registration of the first target to draining."""
        entry = platform_objects.target(
            'reads', self.served.port, state='draining'
        )
        await self.source.apply_change('servers', source.Entry('t-1', entry))

    def knows_draining(self, edge_daemon: daemon.EdgeDaemon) -> bool:
        """Return whether a daemon knows that the first target drains."""
        target = edge_daemon.components.directory.find_target('t-1')
        return target is None or target.registration.is_draining


class TestDaemonAloneInItsZone(PartitionCase):
    """A daemon that hears from no reader of its zone asks one of another.

    It used a target that had left until it reached the source again.
    """

    async def test_left_target(self) -> None:
        await self.start_fleet('abb')
        alone = self.daemons[0]
        self.partition(alone)
        await self.drain()
        await self.wait_until(lambda: self.knows_draining(alone), seconds=20)
