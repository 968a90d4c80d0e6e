"""Readers of the source, and daemons that rely on them."""

from sapphirepaddle.directory import source
from sapphirepaddle.edge import daemon
from tests.support import edge_daemon_case, platform_objects


class TestReading(edge_daemon_case.EdgeDaemonCase):
    """Four daemons of a zone, while late calls see no change."""

    async def asyncSetUp(self) -> None:
        """Start the daemons."""
        await super().asyncSetUp()
        self.first = await self.add_target('t-1', 'reads')
        for number in range(1, 5):
            await self.start_daemon(number)
        await self.wait_until(
            lambda: all(
                held.components.fleet.size == len(self.daemons)
                and len(self.readers()) == 2
                for held in self.daemons
            ),
        )
        await self.end_calls()
        self.source.stale_revision = self.source.revision

    async def end_calls(self) -> None:
        """End the calls of before the roles were known, by a change."""
        revision = self.source.revision
        await self.add_target('t-2', 'reads')
        await self.configure(platform_objects.configuration(2))
        followers = [
            follower
            for held in self.daemons
            for follower in held.components.synchronizer.reader_role.watchers
        ]
        await self.wait_until(
            lambda: all(
                held.revision > revision and held.watch_timeout is not None
                for held in followers
            ),
        )

    def readers(self) -> list[daemon.EdgeDaemon]:
        """Return the daemons that count themselves as readers."""
        return [
            held
            for held in self.daemons
            if held.components.synchronizer.reader_role.is_reader()
        ]

    async def drain(self) -> None:
        """Let the target drain."""
        entry = platform_objects.target(
            'reads', self.first.port, state='draining'
        )
        await self.source.apply_change('servers', source.Entry('t-1', entry))

    async def until_all_know(self) -> None:
        """Wait until all daemons know that it drains."""
        await self.wait_until(
            lambda: all(
                held.components.directory.find_target(
                    't-1'
                ).registration.is_draining
                for held in self.daemons
            ),
        )

    async def test_readers_are_followed(self) -> None:
        await self.drain()
        await self.until_all_know()

    async def test_lost_readers_are_replaced(self) -> None:
        readers = self.readers()
        for number, running in reversed(list(enumerate(self.daemons))):
            if running in readers:
                self.running_tasks[number][1].cancel()
                self.daemons.pop(number)
                await running.close_sockets()
        await self.drain()
        await self.until_all_know()

    async def test_a_reader_cut_from_the_source_is_replaced(self) -> None:
        reader = self.readers()[0]
        fleets = [held.components.fleet for held in self.daemons]
        reader.components.synchronizer.target_watcher.unavailable_since = 1
        reader.components.count_exchange.request_immediate_send()
        key = reader.components.count_exchange.hub_selector.local_hash
        await self.wait_until(
            lambda: all(
                key not in held.reader_hashes()
                for held in fleets
                if held is not reader.components.fleet
            ),
        )

    async def test_configuration_comes_into_force(self) -> None:
        await self.configure(platform_objects.configuration(3))
        await self.wait_until(
            lambda: all(
                held.components.directory.version == 3 for held in self.daemons
            ),
        )

    async def test_agreement_costs_no_fresh_calls(self) -> None:
        await self.drain()
        await self.until_all_know()
        others = [held for held in self.daemons if held not in self.readers()]
        for held in others:
            reading = held.components.synchronizer.reader_role
            self.assertEqual(reading.readers_ahead(), [])


class TestMembership(edge_daemon_case.EdgeDaemonCase):
    """The entry of a daemon."""

    async def test_a_restart_leaves_the_entry(self) -> None:
        first = await self.start_daemon(1)
        listed = self.source.objects[first.components.platform.member_kind]
        await self.wait_until(lambda: 'vm-1' in listed)
        before = self.source.revision
        self.running_tasks[0][1].cancel()
        await self.daemons.pop().close_sockets()
        again = await self.start_daemon(1)
        membership = again.components.membership
        await self.wait_until(lambda: membership.is_registered)
        self.assertEqual(self.source.revision, before)

    async def test_a_lost_entry_is_written_again(self) -> None:
        running = await self.start_daemon(1)
        kind = running.components.platform.member_kind
        listed = self.source.objects[kind]
        await self.wait_until(lambda: 'vm-1' in listed)
        await self.source.apply_change(kind, source.Entry('vm-1', None))
        await running.components.membership.ensure_registered()
        self.assertIn('vm-1', listed)
