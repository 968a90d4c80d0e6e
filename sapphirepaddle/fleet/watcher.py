"""Reading of the platform on behalf of the whole fleet.

A few daemons of each zone, chosen by rendezvous hashing over the list of
VMs, watch the platform; the others receive changes from their peers.
"""

import asyncio
import random
import typing
from collections import abc

from sapphirepaddle import clock, errors
from sapphirepaddle.audit import audit_log
from sapphirepaddle.fleet import configuration_sync, platform_contact
from sapphirepaddle.peers import gossip, members
from sapphirepaddle.routing import rendezvous
from sapphirepaddle.settings import entry
from sapphirepaddle.store import (
    change_log,
    object_store,
    snapshots,
    stored_object,
)
from sapphirepaddle.telemetry import logs

PREFIX: typing.Final = 'fleet/'
"""Key prefix of the watched objects."""
FLEET_CALLS_PER_SECOND: typing.Final = 100
"""Calls per second that all daemons together make while the platform is
silent."""

MAX_SILENT_INTERVALS: typing.Final = 4
DOUBT_CHECK_SECONDS: typing.Final = 0.25
"""Interval between checks whether this daemon may be cut off."""
Handler = abc.Callable[[stored_object.StoredObject], None]


class Watcher:
    """Reads the platform if this daemon is one of the watchers.

    While no watcher has contact with the platform, all daemons read it.

    Attributes:
        settings: Intervals and timeouts of calls.
        store: Object store of the platform.
        members: The VMs of the fleet.
        sync: Applies and propagates configuration changes.
        gossip: Propagates the list of VMs.
        platform_contact: Last contact with the platform.
        handlers: Called with objects other than changes, by key.
        last_version: Version of the newest object applied.
        logger: Log of platform outages.
        is_platform_silent: Whether the last call got no answer.
        audit: The audit log; None if there is none.
    """

    def __init__(
        self,
        settings: entry.MembershipSettings,
        store: object_store.ObjectStore,
        fleet_members: members.Members,
        sync: configuration_sync.ConfigurationSync,
        peer_gossip: gossip.Gossip,
        contact: platform_contact.PlatformContact,
    ) -> None:
        """Initialize a watcher and register its gossip handler."""
        self.settings = settings
        self.store = store
        self.members = fleet_members
        self.sync = sync
        self.gossip = peer_gossip
        self.platform_contact = contact
        self.handlers: dict[str, Handler] = {}
        self.last_version = 0
        self.logger = logs.get_logger('platform')
        self.is_platform_silent = False
        self.audit: audit_log.AuditLog | None = None
        peer_gossip.store.handlers[members.TOPIC] = self.handle_vm_item

    def handle_vm_item(self, item: typing.Any) -> None:
        """Apply a change of a VM received by gossip."""
        self.members.apply_item(item, clock.monotonic())

    def is_watcher(self) -> bool:
        """Return whether this daemon watches on behalf of the others."""
        return self.members.local_vm in self.members.get_cached(
            'watchers', self.watchers
        )

    def watchers(self) -> list[str]:
        """Return the names of the VMs that watch for this zone."""
        zone = self.members.local_zone
        return rendezvous.rank(
            f'watch/{zone}',
            self.members.in_zone(zone),
            self.settings.watchers,
        )

    def fallback_seconds(self) -> float:
        """Return the seconds between reads while the platform is silent.

        The time grows with the size of the fleet and has a random part, so
        that the daemons do not overload the platform when it recovers.
        """
        fleet_seconds = len(self.members.all_names()) / FLEET_CALLS_PER_SECOND
        return max(self.settings.list_seconds, fleet_seconds) * (
            1 + random.random()
        )

    def should_read(self) -> bool:
        """Return whether this daemon reads the platform now.

        A daemon that is not a watcher reads it if the platform answered
        neither this daemon nor its peers for `MAX_SILENT_INTERVALS` list
        intervals, or if it may be cut off.
        """
        now = clock.monotonic()
        if self.is_watcher() or self.platform_contact.is_in_doubt(now):
            return True
        age = self.platform_contact.platform_age(now)
        return age > self.settings.list_seconds * MAX_SILENT_INTERVALS

    async def start(self) -> None:
        """Read the list of VMs and all objects once.

        An outage of the platform is recorded, not raised.
        """
        try:
            await self.read_vm_list()
            await self.read_objects()
        except errors.PlatformError as error:
            self.record_silence(error)

    async def poll_vm_list(self) -> None:
        """Read the list of VMs periodically; runs until cancelled."""
        while True:
            if self.should_read():
                await self.call_platform(self.read_vm_list())
            await self.pause()

    async def pause(self) -> None:
        """Wait until the next read of the list of VMs.

        A daemon that may be cut off reads it at once.
        """
        ends_at = clock.monotonic() + self.pause_seconds()
        while True:
            now = clock.monotonic()
            if now >= ends_at or self.platform_contact.must_ask(now):
                return
            await asyncio.sleep(min(DOUBT_CHECK_SECONDS, ends_at - now))

    def pause_seconds(self) -> float:
        """Return the seconds between two reads of the list of VMs."""
        if self.is_watcher() and not self.is_platform_silent:
            return self.settings.list_seconds
        return self.fallback_seconds()

    async def poll_objects(self) -> None:
        """Watch for changed objects repeatedly; runs until cancelled."""
        while True:
            if self.should_read():
                await self.call_platform(self.watch_objects())
            if self.is_platform_silent or not self.is_watcher():
                await asyncio.sleep(self.fallback_seconds())

    async def call_platform(
        self,
        call: abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Await a call; record an outage and pause if it fails."""
        self.platform_contact.record_platform_call(clock.monotonic())
        try:
            await call
        except errors.PlatformError as error:
            self.record_silence(error)
            await asyncio.sleep(self.settings.retry_seconds)

    def record_silence(self, error: errors.PlatformError) -> None:
        """Record a failed call; log and audit the start of an outage."""
        if not self.is_platform_silent:
            self.logger.warning('platform silent', detail=str(error))
            self.audit_event('platform-silent')
        self.is_platform_silent = True

    def record_answer(self) -> None:
        """Record an answer; log and audit the end of an outage."""
        if self.is_platform_silent:
            self.logger.warning('platform answers again')
            self.audit_event('platform-answers')
        self.is_platform_silent = False
        self.platform_contact.record_platform_answer(clock.monotonic())

    def audit_event(self, action: str) -> None:
        """Add an event of the platform to the audit log."""
        if self.audit is not None:
            self.audit.add(action, self.members.local_vm)

    async def read_vm_list(self) -> None:
        """Read the list of VMs and publish the differences.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        listed_vms = await self.store.list_vms()
        self.record_answer()
        for name, member in self.members.diff_with_list(listed_vms).items():
            version = self.gossip.store.next_version(members.TOPIC, name)
            item = members.to_item(name, member, version)
            self.gossip.handle_item(item, self.members.local_vm)

    async def read_objects(self) -> None:
        """Read and apply all objects that are newer than the known ones.

        Reads the snapshot first if changes before them were deleted.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        if not self.sync.current.revision:
            await self.read_snapshot()
        changes = await change_log.load_changes(
            self.store, self.sync.current.revision
        )
        if self.has_gap(changes):
            await self.read_snapshot()
        for key in self.handlers:
            stored = await self.store.read(key)
            if stored is not None:
                self.handlers[key](stored)
        self.record_answer()
        self.apply_objects(changes)

    def has_gap(self, changes: list[stored_object.StoredObject]) -> bool:
        """Return whether the next change was deleted from the log."""
        next_revision = self.sync.current.revision + 1
        return (
            bool(changes)
            and change_log.change_revision(changes[0]) > next_revision
        )

    async def read_snapshot(self) -> None:
        """Read and apply the newest snapshot, if there is one.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        try:
            snapshot = await snapshots.read(self.store)
        except errors.ConfigurationError as error:
            self.logger.error('snapshot not read', detail=str(error))
            return
        if snapshot is not None:
            self.sync.apply_snapshot(snapshot)

    async def watch_objects(self) -> None:
        """Wait for newer objects and apply them.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        if not self.last_version:
            await self.read_objects()
        objects = await self.store.watch(
            PREFIX,
            self.last_version,
            self.settings.watch_seconds,
        )
        self.record_answer()
        self.apply_objects(objects)
        if self.is_behind(objects):
            await self.read_objects()

    def apply_objects(self, objects: list[stored_object.StoredObject]) -> None:
        """Apply objects, given in the order of their versions."""
        for stored in objects:
            self.last_version = max(self.last_version, stored.version)
            handler = self.handlers.get(stored.key)
            if handler is not None:
                handler(stored)
            elif stored.key.startswith(change_log.KEY_PREFIX) and stored.body:
                self.sync.apply_change(stored.body)

    def is_behind(self, objects: list[stored_object.StoredObject]) -> bool:
        """Return whether a change was not applied for lack of an earlier one.

        Args:
            objects: Objects that were passed to `apply_objects`.
        """
        revisions = [
            change_log.change_revision(stored)
            for stored in objects
            if stored.key.startswith(change_log.KEY_PREFIX)
        ]
        return max(revisions, default=0) > self.sync.current.revision
