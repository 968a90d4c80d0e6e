"""Tests of the readers of the source and of daemons that follow them."""

import asyncio
from unittest import mock

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.directory import object_watcher, source
from sapphirepaddle.edge import daemon, reader_role
from sapphirepaddle.peers import answer_runs, count_exchange
from tests.support import edge_daemon_case, platform_objects

REPORT_DELAY_SECONDS = 1
"""Most by which reports of answers may be dated too late."""


class TestReaderRole(edge_daemon_case.EdgeDaemonCase):
    """Four daemons of a zone whose stale calls see no change.

    A daemon that is no reader learns of a change only if it compares its
    fingerprint with the readers'; a lost reader has to be replaced.
    """

    async def asyncSetUp(self) -> None:
        """Start the daemons and wait until two of them are readers."""
        await super().asyncSetUp()
        self.first = await self.add_target('t-1', 'reads')
        for number in range(1, 5):
            await self.start_daemon(number)
        await self.wait_until(
            lambda: all(
                edge_daemon.components.fleet.size == len(self.daemons)
                and len(self.readers()) == 2
                for edge_daemon in self.daemons
            ),
        )
        await self.end_calls()
        self.source.stale_revision = self.source.revision

    async def end_calls(self) -> None:
        """End the watch calls made before the roles were known.

        A change answers them; the calls made after it follow the roles.
        """
        revision = self.source.revision
        await self.add_target('t-2', 'reads')
        await self.configure(platform_objects.configuration(2))
        watchers = [
            obj_watcher
            for peer in self.daemons
            for obj_watcher in peer.components.synchronizer.reader_role.watchers
        ]
        await self.wait_until(
            lambda: all(
                watcher.revision > revision
                and watcher.watch_timeout is not None
                for watcher in watchers
            ),
        )

    def readers(self) -> list[daemon.EdgeDaemon]:
        """Return the daemons that regard themselves as readers."""
        return [
            edge_daemon
            for edge_daemon in self.daemons
            if edge_daemon.components.synchronizer.reader_role.is_reader()
        ]

    async def drain(self) -> None:
        """Change the registration of the target to draining."""
        entry = platform_objects.target(
            'reads', self.first.port, state='draining'
        )
        await self.source.apply_change('servers', source.Entry('t-1', entry))

    async def wait_until_all_drain(self) -> None:
        """Wait until the target drains in the state of all daemons."""
        await self.wait_until(
            lambda: all(
                edge_daemon.components.directory.find_target(
                    't-1'
                ).registration.is_draining
                for edge_daemon in self.daemons
            ),
        )

    async def test_other_daemons_follow_readers(self) -> None:
        await self.drain()
        await self.wait_until_all_drain()

    async def test_missed_changes_are_read(self) -> None:
        for edge_daemon in self.daemons:
            exchange = edge_daemon.components.count_exchange
            exchange.on_registration_changes = count_exchange.ignore_changes
        await self.drain()
        await self.wait_until_all_drain()

    async def test_change_that_was_missed_for_good_is_repaired(self) -> None:
        # No watch brings a change that the revision already covers.
        follower = next(
            peer for peer in self.daemons if peer not in self.readers()
        )
        synchronizer = follower.components.synchronizer
        synchronizer.apply_target_changes([source.Entry('t-1', None)])
        await self.wait_until(
            lambda: (
                follower.components.directory.find_target('t-1') is not None
            ),
            seconds=20,
        )

    async def test_readers_relay_changes(self) -> None:
        # Without relayed changes the others would wait for an hour.
        self.enterContext(
            mock.patch.object(reader_role, 'MAX_MISMATCH_SECONDS', 3600)
        )
        await self.drain()
        await self.wait_until_all_drain()
        readers = self.readers()
        followers = [peer for peer in self.daemons if peer not in readers]
        for follower in followers:
            synchronizer = follower.components.synchronizer
            self.assertGreater(synchronizer.change_relay.relayed_count, 0)

    async def test_second_reader_detects_outages_as_the_first_one(
        self,
    ) -> None:
        first, second = sorted(
            (peer.components.synchronizer for peer in self.readers()),
            key=lambda synchronizer: synchronizer.reader_role.local_hash,
            reverse=True,
        )
        self.assertEqual(
            [
                synchronizer.target_watcher.reader_watch_seconds
                for synchronizer in (first, second)
            ],
            [
                object_watcher.READER_WATCH_SECONDS,
                object_watcher.SECOND_READER_WATCH_SECONDS,
            ],
        )
        first.target_watcher.unavailable_since = clock.monotonic()
        first.count_exchange.request_immediate_send()
        await self.wait_until(
            lambda: (
                second.target_watcher.reader_watch_seconds
                == object_watcher.READER_WATCH_SECONDS
            ),
            seconds=10,
        )

    async def test_lost_readers_are_replaced(self) -> None:
        readers = self.readers()
        for number, edge_daemon in reversed(list(enumerate(self.daemons))):
            if edge_daemon in readers:
                self.running_tasks[number][1].cancel()
                self.daemons.pop(number)
                await edge_daemon.close_sockets()
        await self.drain()
        await self.wait_until_all_drain()

    async def test_reader_without_source_is_replaced(self) -> None:
        reader = self.readers()[0]
        fleets = [edge_daemon.components.fleet for edge_daemon in self.daemons]
        reader.components.synchronizer.target_watcher.unavailable_since = 1
        reader.components.count_exchange.request_immediate_send()
        reader_hash = reader.components.count_exchange.hub_selector.local_hash
        await self.wait_until(
            lambda: all(
                reader_hash not in fleet.reader_hashes()
                for fleet in fleets
                if fleet is not reader.components.fleet
            ),
        )

    async def test_calls_unanswered_in_an_outage_are_replaced(self) -> None:
        # Only a new call shows that the source answers again.
        for number in range(5, 8):
            await self.start_daemon(number)
        self.source.stale_revision = None
        self.source.is_silent = True
        self.enterContext(
            mock.patch.object(object_watcher, 'WATCH_SECONDS', 3600)
        )
        await self.add_target('t-3', 'reads')
        await self.wait_until(
            lambda: self.source.unanswered_calls >= len(self.daemons)
        )
        self.source.stale_revision = self.source.revision
        self.source.is_silent = False
        await self.drain()
        await self.wait_until_all_drain()

    async def test_configuration_after_a_silence_that_swallowed_its_watches(
        self,
    ) -> None:
        # Withdrawn keys worked on: no watch of the targets noticed the silence.
        self.source.silent_kind = 'config'
        for edge_daemon in self.daemons:
            synchronizer = edge_daemon.components.synchronizer
            synchronizer.configuration_watcher.replace_call()
        await self.wait_until(
            lambda: self.source.unanswered_calls == len(self.daemons)
        )
        self.source.silent_kind = ''
        await self.configure(platform_objects.configuration(3))
        await self.wait_until(
            lambda: all(
                edge_daemon.components.directory.version == 3
                for edge_daemon in self.daemons
            ),
            seconds=10,
        )

    async def swallow_reads_of_newer_configuration(self) -> None:
        """Let the readers get a configuration and the reads of others hang."""
        self.swallows_reads = True
        swallowed: list[str] = []
        list_all = self.source.list_all

        async def list_or_hang(
            kind: str, is_stale_allowed: bool
        ) -> source.ReadResult:
            if kind == 'config' and self.swallows_reads:
                swallowed.append(kind)
                await asyncio.sleep(3600)
            return await list_all(kind, is_stale_allowed)

        self.enterContext(
            mock.patch.object(self.source, 'list_all', list_or_hang)
        )
        await self.configure(platform_objects.configuration(3))
        await self.wait_until(lambda: bool(self.daemons_at_version(3)))
        others = len(self.daemons) - len(self.daemons_at_version(3))
        self.assertGreater(others, 0)
        await self.wait_until(lambda: len(swallowed) >= others)

    def daemons_at_version(self, version: int) -> list[daemon.EdgeDaemon]:
        """Return the daemons that have a version of the configuration."""
        return [
            edge_daemon
            for edge_daemon in self.daemons
            if edge_daemon.components.directory.version == version
        ]

    async def test_configuration_after_a_silence_that_swallowed_its_reads(
        self,
    ) -> None:
        # Daemons behind their peers waited for the read, then for a snapshot.
        for edge_daemon in self.daemons:
            exchange = edge_daemon.components.synchronizer.snapshot_exchange
            exchange.fetch = mock.AsyncMock(
                side_effect=errors.PeerError(codes.PEER_MALFORMED, 'slow')
            )
        await self.swallow_reads_of_newer_configuration()
        self.swallows_reads = False
        await self.wait_until(
            lambda: len(self.daemons_at_version(3)) == len(self.daemons)
        )

    async def test_configuration_of_a_peer_while_the_source_is_silent(
        self,
    ) -> None:
        # Reads that get no answer must not keep a daemon from asking a peer.
        await self.swallow_reads_of_newer_configuration()
        await self.wait_until(
            lambda: len(self.daemons_at_version(3)) == len(self.daemons)
        )

    async def test_targets_that_lapsed_in_an_unnoticed_outage_are_kept(
        self,
    ) -> None:
        # Watches that are open all the while notice no outage.
        for number in range(5, 9):
            await self.start_daemon(number)
        self.source.stale_revision = None
        await self.add_target('t-3', 'reads')
        await self.wait_until(self.are_watches_open)
        self.source.is_silent = True
        await self.wait_until(self.has_source_been_away)
        kept_entry = self.source.objects['servers']['t-1']
        removals = self.spy_on_removals()
        self.source.is_silent = False
        for name in list(self.source.objects['servers']):
            await self.source.apply_change('servers', source.Entry(name, None))
        await self.source.apply_change(
            'servers', source.Entry('t-1', kept_entry)
        )
        await self.wait_until(
            lambda: all(
                edge_daemon.components.directory.target_names() == {'t-1'}
                for edge_daemon in self.daemons
            ),
        )
        removed = [
            call.args for removal in removals for call in removal.mock_calls
        ]
        self.assertNotIn('t-1', [name for name, _ in removed], removed)

    def spy_on_removals(self) -> list[mock.Mock]:
        """Return the mocks that record removals of targets by each daemon."""
        directories = [
            edge_daemon.components.directory for edge_daemon in self.daemons
        ]
        return [
            self.enterContext(
                mock.patch.object(
                    daemon_directory,
                    'remove_target',
                    wraps=daemon_directory.remove_target,
                )
            )
            for daemon_directory in directories
        ]

    def are_watches_open(self) -> bool:
        """Return whether all daemons wait for changes after the last one."""
        watchers = [
            edge_daemon.components.synchronizer.target_watcher
            for edge_daemon in self.daemons
        ]
        return all(
            watcher.revision == self.source.revision
            and watcher.watch_timeout is not None
            for watcher in watchers
        )

    def has_source_been_away(self) -> bool:
        """Return whether no daemon had an answer for a long time."""
        answered_at = max(
            edge_daemon.components.synchronizer.outage_evidence.local.newest.end
            for edge_daemon in self.daemons
        )
        silent_seconds = clock.monotonic() - answered_at - REPORT_DELAY_SECONDS
        return silent_seconds > answer_runs.MAX_ANSWER_GAP_SECONDS

    async def test_configuration_comes_into_force(self) -> None:
        await self.configure(platform_objects.configuration(3))
        await self.wait_until(
            lambda: all(
                edge_daemon.components.directory.version == 3
                for edge_daemon in self.daemons
            ),
        )

    async def test_matching_fingerprints_need_no_fresh_calls(self) -> None:
        await self.drain()
        await self.wait_until_all_drain()
        non_readers = [
            edge_daemon
            for edge_daemon in self.daemons
            if edge_daemon not in self.readers()
        ]
        for edge_daemon in non_readers:
            reader_role = edge_daemon.components.synchronizer.reader_role
            self.assertEqual(reader_role.readers_ahead(), [])


class TestMembership(edge_daemon_case.EdgeDaemonCase):
    """A daemon must stay in the member list, without needless writes.

    After a lost entry, new daemons would not find it; a restart with the same
    name and host leaves the entry valid.
    """

    async def test_restart_keeps_entry(self) -> None:
        first = await self.start_daemon(1)
        entries = self.source.objects[first.components.platform.member_kind]
        await self.wait_until(lambda: 'vm-1' in entries)
        revision = self.source.revision
        self.running_tasks[0][1].cancel()
        await self.daemons.pop().close_sockets()
        restarted = await self.start_daemon(1)
        membership = restarted.components.membership
        await self.wait_until(lambda: membership.is_registered)
        self.assertEqual(self.source.revision, revision)

    async def test_lost_entry_is_rewritten(self) -> None:
        edge_daemon = await self.start_daemon(1)
        kind = edge_daemon.components.platform.member_kind
        entries = self.source.objects[kind]
        await self.wait_until(lambda: 'vm-1' in entries)
        await self.source.apply_change(kind, source.Entry('vm-1', None))
        await edge_daemon.components.membership.ensure_registered()
        self.assertIn('vm-1', entries)

    async def test_daemons_that_start_together_find_each_other(self) -> None:
        """No answer that may be stale ever names them.

        Each of them granted the whole quota, as it knew of no other.
        """
        self.source.stale_revision = self.source.revision
        await asyncio.gather(*(self.start_daemon(number) for number in (5, 6)))
        kind = self.daemons[0].components.platform.member_kind
        await self.wait_until(
            lambda: len(self.source.objects.get(kind, ())) == 2
        )
        await self.wait_until(
            lambda: all(
                edge_daemon.components.fleet.size == 2
                for edge_daemon in self.daemons
            ),
            seconds=20,
        )

    async def test_registration_reads_one_fresh_list(self) -> None:
        """The list after the write is the only fresh one; it is billed."""
        edge_daemon = await self.start_daemon(1)
        membership = edge_daemon.components.membership
        kind = edge_daemon.components.platform.member_kind
        await self.wait_until(lambda: bool(self.source.objects.get(kind)))
        await self.source.apply_change(kind, source.Entry('vm-1', None))
        membership.is_created = False
        with mock.patch.object(
            self.source, 'list_all', wraps=self.source.list_all
        ) as list_all:
            self.assertTrue(await membership.register())
        self.assertEqual(
            [call.args for call in list_all.mock_calls],
            [(kind, False)],
        )
        self.assertIn('vm-1', self.source.objects[kind])

    async def test_members_are_read_while_writes_fail(self) -> None:
        first = await self.start_daemon(1)
        kind = first.components.platform.member_kind
        await self.wait_until(lambda: bool(self.source.objects.get(kind)))
        with mock.patch.object(
            self.source, 'create', side_effect=errors.SourceError('refused')
        ):
            second = await self.start_daemon(2)
            await self.wait_until(lambda: second.components.fleet.size == 2)

    async def test_entry_of_another_host_is_replaced(self) -> None:
        edge_daemon = await self.start_daemon(1)
        membership = edge_daemon.components.membership
        kind = edge_daemon.components.platform.member_kind
        await self.wait_until(lambda: bool(self.source.objects.get(kind)))
        entry = membership.local_entry()
        former = source.Entry('vm-1', entry.content | {'host': '127.0.0.9'})
        await self.source.apply_change(kind, former)
        self.assertTrue(await membership.register())
        self.assertEqual(self.source.objects[kind]['vm-1'], entry.content)


class TestRestart(edge_daemon_case.EdgeDaemonCase):
    """A daemon that starts must not use what was withdrawn before.

    Answers that may be stale still contain it, and the store may fall silent
    right after the first lists were read.
    """

    async def test_left_target_and_withdrawn_key_stay_unused(self) -> None:
        await self.add_target('t-1', 'reads')
        await self.add_target('t-2', 'reads')
        self.source.stale_revision = self.source.revision
        await self.source.apply_change('servers', source.Entry('t-1', None))
        accounts = platform_objects.configuration()['tenants'][:1]
        await self.configure(
            platform_objects.configuration(2, tenants=accounts)
        )
        self.enterContext(
            mock.patch.object(
                self.source, 'watch', side_effect=self.leave_unanswered
            )
        )
        edge_daemon = await self.start_daemon(1)
        directory = edge_daemon.components.directory
        self.assertEqual(directory.target_names(), {'t-2'})
        self.assertEqual(
            [*directory.configuration.account_by_key],
            [platform_objects.FIRST_KEY],
        )

    async def leave_unanswered(self, *_args: object, **_kw: object) -> None:
        """Never answer a watch."""
        await self.source.leave_unanswered(0)
