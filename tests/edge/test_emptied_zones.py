"""Tests of zones that operators empty, with daemons and a source in memory."""

import asyncio
import math

from sapphirepaddle import clock
from sapphirepaddle.directory import revisions, source, target_list
from sapphirepaddle.edge import daemon, zone_synchronizer
from sapphirepaddle.peers import notices
from sapphirepaddle.settings import edge
from tests.support import (
    edge_daemon_case,
    platform_objects,
    scripted_target,
)

KIND = 'evacuations'
EMPTY_SECONDS = 1.0


class EmptiedZoneCase(edge_daemon_case.EdgeDaemonCase):
    """A test with a target in each of the zones a and b."""

    bounds = edge.Bounds(stop=3, empty_zone=EMPTY_SECONDS)

    async def asyncSetUp(self) -> None:
        """Start the targets."""
        await super().asyncSetUp()
        await self.add_target('in-a', 'reads', zone='a')
        await self.add_target('in-b', 'reads', zone='b')

    async def write_zone(self, name: str, is_emptied: bool = True) -> None:
        """Empty a zone, or take it back."""
        entry = source.Entry(name, {} if is_emptied else None)
        await self.source.apply_change(KIND, entry)

    def zones_of(self, edge_daemon: daemon.EdgeDaemon) -> frozenset[str]:
        """Return the emptied zones that a daemon knows."""
        return edge_daemon.components.directory.emptied_zones.names()

    async def wait_for_zones(self, *zones: str) -> None:
        """Wait until all daemons know that some zones are emptied."""
        await self.wait_until(
            lambda: all(
                self.zones_of(edge_daemon) == set(zones)
                for edge_daemon in self.daemons
            ),
        )

    async def send_reads(
        self, edge_daemon: daemon.EdgeDaemon, count: int = 12
    ) -> list[int]:
        """Send requests one after the other and return their statuses."""
        return [
            (
                await self.send_raw(
                    edge_daemon,
                    edge_daemon_case.request('/reads/1', f'r{number}'),
                )
            ).status
            for number in range(count)
        ]


class TestOneDaemon(EmptiedZoneCase):
    """A daemon that reads the source itself.

    Requests that reach an emptied zone after the bound break the promise to
    the operators, and requests cut off there are lost to their callers.
    """

    async def test_no_requests_after_the_bound(self) -> None:
        edge_daemon = await self.start_daemon()
        await self.write_zone('a')
        await self.wait_for_zones('a')
        await asyncio.sleep(EMPTY_SECONDS)
        self.targets['in-a'].received.clear()
        self.assertEqual(set(await self.send_reads(edge_daemon)), {200})
        self.assertEqual(self.targets['in-a'].received, [])

    async def test_zone_is_used_again_when_taken_back(self) -> None:
        edge_daemon = await self.start_daemon()
        await self.write_zone('a')
        await self.wait_for_zones('a')
        await self.write_zone('a', is_emptied=False)
        await self.wait_for_zones()
        await asyncio.sleep(EMPTY_SECONDS)
        self.targets['in-a'].received.clear()
        await self.send_reads(edge_daemon)
        self.assertNotEqual(self.targets['in-a'].received, [])

    async def test_requests_are_refused_if_all_zones_are_emptied(self) -> None:
        edge_daemon = await self.start_daemon()
        await self.write_zone('a')
        await self.write_zone('b')
        await self.wait_for_zones('a', 'b')
        await asyncio.sleep(EMPTY_SECONDS)
        self.assertEqual(await self.send_reads(edge_daemon, 2), [503, 503])

    async def test_zone_emptied_before_the_start(self) -> None:
        await self.write_zone('a')
        edge_daemon = await self.start_daemon()
        await self.wait_for_zones('a')
        await self.send_reads(edge_daemon)
        self.assertEqual(self.targets['in-a'].received, [])

    async def test_running_requests_are_answered(self) -> None:
        async def answer_late(
            received: scripted_target.ReceivedRequest,
        ) -> None:
            await asyncio.sleep(0.8)
            received.answer()

        self.targets['in-a'].script = answer_late
        await self.source.apply_change('servers', source.Entry('in-b', None))
        edge_daemon = await self.start_daemon()
        running = asyncio.create_task(self.send_reads(edge_daemon, 1))
        await self.wait_until(lambda: bool(self.targets['in-a'].received))
        await self.write_zone('a')
        self.assertEqual(await running, [200])

    async def test_odd_entries(self) -> None:
        """The content of an entry does not matter, only its name."""
        await self.start_daemon()
        entry = source.Entry('b', {'zone': 7, 'object': ['odd']})
        await self.source.apply_change(KIND, entry)
        await self.write_zone('no such zone')
        await self.wait_for_zones('b', 'no such zone')

    async def test_change_read_after_an_outage_takes_effect_at_once(
        self,
    ) -> None:
        edge_daemon = await self.start_daemon()
        synchronizer = edge_daemon.components.synchronizer.zone_synchronizer
        synchronizer.is_late = lambda: True
        await self.write_zone('a')
        await self.wait_for_zones('a')
        self.assertTrue(
            edge_daemon.components.directory.emptied_zones.is_closed(
                'a', clock.monotonic()
            )
        )


class TestWithoutBound(edge_daemon_case.EdgeDaemonCase):
    """A deployment whose settings state no bound for emptying a zone."""

    async def test_entries_are_not_read(self) -> None:
        """Calls of the source for entries that never exist cost money."""
        edge_daemon = await self.start_daemon()
        synchronizer = edge_daemon.components.synchronizer.zone_synchronizer
        await asyncio.sleep(0.3)
        self.assertFalse(synchronizer.watcher.revision)
        self.assertEqual(synchronizer.watcher.call_started_at, 0)


class TestFleet(EmptiedZoneCase):
    """Four daemons of a zone, of which two read the source for all.

    Daemons that learn nothing from the source, or miss the first message of a
    reader, would send to an emptied zone for as long as their stale calls
    wait.
    """

    async def asyncSetUp(self) -> None:
        """Start the daemons; stale calls see no change from then on."""
        await super().asyncSetUp()
        for number in range(1, 5):
            await self.start_daemon(number)
        await self.wait_until(
            lambda: all(
                edge_daemon.components.fleet.size == len(self.daemons)
                for edge_daemon in self.daemons
            ),
        )
        await self.wait_until(
            lambda: all(
                synchronizer.revision for synchronizer in self.synchronizers()
            ),
        )
        await self.wait_until(lambda: len(self.readers()) == 2)
        self.source.stale_revision = self.source.revision

    def synchronizers(self) -> list[zone_synchronizer.ZoneSynchronizer]:
        """Return the synchronizers of all daemons."""
        return [
            edge_daemon.components.synchronizer.zone_synchronizer
            for edge_daemon in self.daemons
        ]

    def readers(self) -> list[daemon.EdgeDaemon]:
        """Return the daemons that regard themselves as readers."""
        return [
            edge_daemon
            for edge_daemon in self.daemons
            if edge_daemon.components.synchronizer.reader_role.is_reader()
        ]

    async def test_others_learn_from_readers(self) -> None:
        await self.write_zone('a')
        await self.wait_for_zones('a')
        await self.write_zone('a', is_emptied=False)
        await self.wait_for_zones()

    async def test_lost_message_is_repaired_by_digests(self) -> None:
        for synchronizer in self.synchronizers():
            synchronizer.announce = lambda: None
        await self.write_zone('b')
        await self.wait_for_zones('b')

    async def test_daemon_started_while_the_source_is_away(self) -> None:
        await self.write_zone('a')
        await self.wait_for_zones('a')
        self.source.is_unavailable = True
        await self.start_daemon(5)
        await self.wait_for_zones('a')

    async def test_older_state_is_ignored(self) -> None:
        await self.write_zone('a')
        await self.wait_for_zones('a')
        synchronizer = self.daemons[0].components.synchronizer.zone_synchronizer
        synchronizer.handle_message(
            notices.ZoneState(revisions.Revision(0, 1), ())
        )
        self.assertEqual(self.zones_of(self.daemons[0]), {'a'})

    async def test_state_of_an_older_era_is_ignored(self) -> None:
        await self.write_zone('a')
        await self.wait_for_zones('a')
        synchronizer = self.daemons[0].components.synchronizer.zone_synchronizer
        synchronizer.handle_message(
            notices.ZoneState(revisions.Revision(7, 1), ())
        )
        self.assertEqual(self.zones_of(self.daemons[0]), set())
        synchronizer.handle_message(
            notices.ZoneState(
                revisions.Revision(6, 99), (notices.EmptiedZone('a', 0),)
            )
        )
        self.assertEqual(self.zones_of(self.daemons[0]), set())

    async def test_zone_that_a_copy_lacks_is_kept_for_the_grace(self) -> None:
        self.source.served_era = 1
        copy = self.source.number
        await self.write_zone('a')
        await self.wait_for_zones('a')
        await self.source.return_from_copy(copy)
        await self.wait_until(
            lambda: any(not self.zones_of(peer) for peer in self.daemons)
        )
        kept_seconds = clock.monotonic() - self.source.era.returned_at
        self.assertGreaterEqual(
            kept_seconds, target_list.REREGISTRATION_GRACE_SECONDS
        )
        await self.wait_for_zones()

    async def test_age_passes_on(self) -> None:
        """The load moves at the same time at all daemons."""
        await self.write_zone('a')
        await self.wait_for_zones('a')
        now = clock.monotonic()
        ages = [
            edge_daemon.components.directory.emptied_zones.ages(now)['a']
            for edge_daemon in self.daemons
        ]
        self.assertLess(max(ages) - min(ages), 0.5)
        self.assertFalse(math.isinf(max(ages)))


class TestHomes(edge_daemon_case.EdgeDaemonCase):
    """Requests of a route with homes, with targets in two regions."""

    async def test_targets_of_other_regions_get_no_requests(self) -> None:
        content = platform_objects.configuration()
        content['virtualHosts'][0]['routePaths'][0]['allowedRegions'] = ['far']
        await self.configure(content | {'version': '00000002'})
        await self.add_target('in-a', 'reads', zone='a')
        await self.add_target('in-b', 'reads', zone='b')
        edge_daemon = await self.start_daemon()
        edge_daemon.components.directory.regions = {'a': 'near', 'b': 'far'}
        for number in range(6):
            reply = await self.send_raw(
                edge_daemon,
                edge_daemon_case.request('/reads/1', f'r{number}'),
            )
            self.assertEqual(reply.status, 200)
        self.assertEqual(self.targets['in-a'].received, [])
