"""Tests of a store that returns from an older copy."""

import asyncio

from sapphirepaddle.directory import directory, source
from tests.support import edge_daemon_case, platform_objects, store_case

FIRST_TENANT = {'name': 'first', 'apiKeys': [platform_objects.FIRST_KEY]}
SECOND_TENANT = {'name': 'second', 'apiKeys': [platform_objects.SECOND_KEY]}


class TestReturnedStore(store_case.StoreCase):
    """The store loses what it acknowledged and gives its numbers out again.

    Its number has passed the one that the daemons know before they call
    again, so that no call is refused for a history that is gone.
    """

    async def asyncSetUp(self) -> None:
        """Start four daemons of one zone and two of another."""
        await super().asyncSetUp()
        await self.add_target('t-1', 'reads')
        for number, zone in enumerate('aaaabb', 1):
            await self.start_daemon(number, zone)
        await self.wait_until(
            lambda: all(
                edge_daemon.components.fleet.size == len(self.daemons)
                for edge_daemon in self.daemons
            )
        )

    def directories(self) -> list[directory.Directory]:
        """Return the directories of all daemons."""
        return [
            edge_daemon.components.directory for edge_daemon in self.daemons
        ]

    async def wait_for_version(self, version: int) -> None:
        """Wait until a version is in force on all daemons."""
        await self.wait_until(
            lambda: {held.version for held in self.directories()} == {version},
            seconds=20,
        )

    async def wait_for_eras(self) -> None:
        """Wait until all daemons know the era of the store."""
        await self.wait_until(
            lambda: all(
                edge_daemon.components.platform.source.era.number
                == self.source.served_era
                for edge_daemon in self.daemons
            ),
            seconds=20,
        )

    async def test_key_taken_away_after_a_return(self) -> None:
        # The key was served on until the next change of the configuration.
        copy = self.source.number
        await self.write_filler(5)
        await self.configure(platform_objects.configuration(2))
        await self.wait_for_version(2)
        await self.source.return_from_copy(copy)
        await self.configure(platform_objects.configuration(2))
        await self.configure(
            platform_objects.configuration(3, tenants=[FIRST_TENANT])
        )
        await self.write_filler(9)
        await self.wait_for_version(3)
        replies = [
            await self.send_raw(
                edge_daemon,
                edge_daemon_case.request(
                    '/reads/1', key=platform_objects.SECOND_KEY
                ),
            )
            for edge_daemon in self.daemons
        ]
        self.assertEqual({reply.status for reply in replies}, {401})

    async def test_target_registered_after_a_return(self) -> None:
        copy = self.source.number
        await self.write_filler(9)
        await self.add_target('t-2', 'reads')
        await self.wait_until(
            lambda: all(held.find_target('t-2') for held in self.directories())
        )
        await self.source.return_from_copy(copy)
        await self.add_target('t-3', 'reads')
        await self.write_filler(19)
        await self.wait_until(
            lambda: all(
                held.target_names() == {'t-1', 't-3'}
                for held in self.directories()
            ),
            seconds=20,
        )

    async def test_older_configuration_of_a_copy_is_not_put_in_force(
        self,
    ) -> None:
        copy = self.source.number
        await self.configure(
            platform_objects.configuration(2, tenants=[FIRST_TENANT])
        )
        await self.wait_for_version(2)
        await self.source.return_from_copy(copy)
        await self.write_filler(3)
        await self.wait_for_eras()
        await asyncio.sleep(3)
        self.assertEqual({held.version for held in self.directories()}, {2})

    async def test_daemon_that_starts_on_a_copy_learns_from_peers(self) -> None:
        # It read the source over and over, which did not have the version.
        copy = self.source.number
        await self.configure(platform_objects.configuration(2))
        await self.wait_for_version(2)
        await self.source.return_from_copy(copy)
        await self.start_daemon(7, 'b')
        await self.wait_for_version(2)

    async def test_lost_member_entry_is_written_again(self) -> None:
        # It was looked for only every 20 s.
        copy = self.source.number
        await self.start_daemon(7, 'b')
        name = self.daemons[-1].components.fleet.local_member.name
        kind = self.daemons[-1].components.platform.member_kind
        await self.wait_until(lambda: name in self.source.objects[kind])
        await asyncio.sleep(5)
        await self.source.return_from_copy(copy)
        await self.write_filler(1)
        await self.wait_for_eras()
        await self.wait_until(
            lambda: name in self.source.objects[kind], seconds=15
        )

    async def test_readers_list_for_the_others(self) -> None:
        copy = self.source.number
        await self.write_filler(3)
        await self.add_target('t-2', 'reads')
        await self.wait_until(
            lambda: all(held.find_target('t-2') for held in self.directories())
        )
        await asyncio.sleep(2)
        fresh_calls = self.source.fresh_calls
        await self.source.return_from_copy(copy)
        await self.source.apply_change(
            'servers',
            source.Entry('t-2', platform_objects.target('reads', 1, born=2)),
        )
        await self.wait_for_eras()
        await self.wait_until(
            lambda: all(
                edge_daemon.components.synchronizer.target_watcher.revision.era
                == self.source.served_era
                for edge_daemon in self.daemons
            ),
            seconds=20,
        )
        followers = [
            edge_daemon
            for edge_daemon in self.daemons
            if not edge_daemon.components.synchronizer.reader_role.is_reader()
        ]
        self.assertTrue(followers)
        self.assertTrue(
            all(
                edge_daemon.components.synchronizer.change_relay.relayed_count
                for edge_daemon in followers
            )
        )
        self.assertGreater(self.source.fresh_calls, fresh_calls)
