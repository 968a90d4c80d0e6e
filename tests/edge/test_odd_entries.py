"""Tests of a daemon whose store contains entries of another writer."""

import orjson

from sapphirepaddle.directory import memory_source, source
from sapphirepaddle.edge import daemon, listener
from sapphirepaddle.platform import object_source
from sapphirepaddle.proxy import http_client
from sapphirepaddle.settings import edge
from sapphirepaddle.standins import object_store
from tests.support import edge_daemon_case, odd_entries


class RemoteStoreCase(edge_daemon_case.EdgeDaemonCase):
    """Daemons that read a store over HTTP."""

    async def asyncSetUp(self) -> None:
        """Serve the objects of the memory source."""
        await super().asyncSetUp()
        assert isinstance(self.source, memory_source.MemorySource)
        self.memory_source = self.source
        port = edge_daemon_case.free_port()
        self.listener = listener.Listener(
            edge.Address('127.0.0.1', port),
            object_store.ObjectStoreStandin(self.memory_source),
        )
        await self.listener.open()
        self.addAsyncCleanup(self.listener.shut_down)
        self.source = object_source.ObjectSource(
            http_client.HttpClient('127.0.0.1', port),
        )

    async def add_target(  # type: ignore[override]
        self, name: str, service: str
    ) -> None:
        """Start a target and register it in the store."""
        self.source, remote_source = self.memory_source, self.source
        await super().add_target(name, service)
        self.source = remote_source

    async def write(self, name: str, raw_content: bytes) -> None:
        """Write an entry as another writer does, unchecked."""
        await self.memory_source.apply_change(
            'servers', source.Entry(name, orjson.Fragment(raw_content))
        )

    async def configure(self, content: dict) -> None:
        """Write a configuration to the store."""
        await getattr(self, 'memory_source', self.source).apply_change(
            'config', source.Entry('main', content)
        )


class TestOddEntries(RemoteStoreCase):
    """Odd entries must neither end a daemon nor stop it following others."""

    async def write_all(self) -> None:
        """Write every odd entry."""
        for number, raw_spec in enumerate(odd_entries.odd_specs().values()):
            await self.write(f'odd-{number}', raw_spec)

    async def check_following(self, edge_daemon: daemon.EdgeDaemon) -> None:
        """Check that a target that joins, and one that leaves, are noticed."""
        directory = edge_daemon.components.directory
        await self.add_target('t-2', 'reads')
        await self.wait_until(
            lambda: directory.target_names() == {'t-1', 't-2'}, seconds=10
        )
        await self.memory_source.apply_change(
            'servers', source.Entry('t-1', None)
        )
        await self.wait_until(
            lambda: directory.target_names() == {'t-2'}, seconds=10
        )
        self.assertFalse(self.running_tasks[0][1].done())

    async def test_entries_written_while_running(self) -> None:
        await self.add_target('t-1', 'reads')
        edge_daemon = await self.start_daemon()
        await self.write_all()
        await self.check_following(edge_daemon)

    async def test_entries_present_at_start(self) -> None:
        await self.add_target('t-1', 'reads')
        await self.write_all()
        edge_daemon = await self.start_daemon()
        await self.check_following(edge_daemon)

    async def test_snapshot_for_peers(self) -> None:
        await self.add_target('t-1', 'reads')
        await self.write_all()
        edge_daemon = await self.start_daemon()
        snapshot = edge_daemon.components.synchronizer.make_snapshot()
        self.assertIn('t-1', orjson.loads(snapshot.targets))

    async def test_odd_entry_replaces_a_registration(self) -> None:
        await self.add_target('t-1', 'reads')
        edge_daemon = await self.start_daemon()
        directory = edge_daemon.components.directory
        await self.write('t-1', odd_entries.odd_specs()['port out of range'])
        await self.wait_until(lambda: not directory.target_names(), seconds=10)
