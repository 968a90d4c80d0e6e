"""Watching the platform for the whole fleet.

A few daemons of each zone, chosen by rendezvous hashing over the list of
VMs, watch the platform; the others get what changes from their peers.
"""

import asyncio
import random
import typing
from collections import abc

from sapphirepaddle import clock, errors
from sapphirepaddle.audit import audit_log
from sapphirepaddle.fleet import configuration_sync, platform_contact
from sapphirepaddle.peers import gossip, members
from sapphirepaddle.store import (
    change_log,
    snapshots,
    object_store,
    stored_object,
)
from sapphirepaddle.routing import rendezvous
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import logs

PREFIX: typing.Final = 'fleet/'
FLEET_CALLS_A_SECOND: typing.Final = 100
"""Calls that all daemons together make while nobody hears the platform."""

MAX_SILENT_INTERVALS: typing.Final = 4
Handler = abc.Callable[[stored_object.StoredObject], None]


class Watcher:
    """Reads the platform, in turn with the other daemons.

    Attributes:
        settings: Times of calls.
        store: The platform.
        known: The VMs of the fleet.
        sync: Spreads changes.
        gossip: Spreads the list of VMs.
        freshness: Contact with the platform.
        handlers: Called with objects other than changes, by key.
        since: Version of the newest object seen.
        logger: Log of the platform's silence.
        silent: Whether the platform was silent at the last call.
        audit: The audit trail, if there is one.
    """

    def __init__(
        self,
        settings: entry.MembershipSettings,
        objects: object_store.ObjectStore,
        known: members.Members,
        sync: configuration_sync.ConfigurationSync,
        spread: gossip.Gossip,
        contact: platform_contact.PlatformContact,
    ) -> None:
        """Store the parts."""
        self.settings = settings
        self.store = objects
        self.members = known
        self.sync = sync
        self.gossip = spread
        self.platform_contact = contact
        self.handlers: dict[str, Handler] = {}
        self.last_version = 0
        self.logger = logs.get_logger('platform')
        self.is_platform_silent = False
        self.audit: audit_log.AuditLog | None = None
        spread.store.handlers[members.TOPIC] = self.handle_vm_item

    def handle_vm_item(self, item: typing.Any) -> None:
        """Take up news on a VM."""
        self.members.apply_item(item, clock.monotonic())

    def is_watcher(self) -> bool:
        """Tell whether this daemon watches for the others."""
        return self.members.local_vm in self.members.get_cached(
            'watchers', self.watchers
        )

    def watchers(self) -> list[str]:
        """Return the daemons that watch for this zone."""
        zone = self.members.local_zone
        return rendezvous.rank(
            f'watch/{zone}',
            self.members.in_zone(zone),
            self.settings.watchers,
        )

    def fallback_seconds(self) -> float:
        """Return the time between own reads while nobody watches.

        It grows with the fleet, so that an outage does not end in a storm
        of calls.
        """
        share = len(self.members.all_names()) / FLEET_CALLS_A_SECOND
        return max(self.settings.list_seconds, share) * (1 + random.random())

    def should_read(self) -> bool:
        """Tell whether this daemon reads the platform now."""
        if self.is_watcher():
            return True
        age = self.platform_contact.platform_age(clock.monotonic())
        return age > self.settings.list_seconds * MAX_SILENT_INTERVALS

    async def start(self) -> None:
        """Read everything once, if the platform answers."""
        try:
            await self.read_vm_list()
            await self.read_objects()
        except errors.PlatformError as error:
            self.record_silence(error)

    async def poll_vm_list(self) -> None:
        """Read the list of VMs again and again while needed."""
        while True:
            if self.should_read():
                await self.call_platform(self.read_vm_list())
            await asyncio.sleep(self.pause_seconds())

    def pause_seconds(self) -> float:
        """Return the pause between two reads of the list."""
        if self.is_watcher() and not self.is_platform_silent:
            return self.settings.list_seconds
        return self.fallback_seconds()

    async def poll_objects(self) -> None:
        """Wait for changed objects again and again while needed."""
        while True:
            if self.should_read():
                await self.call_platform(self.watch_objects())
            if self.is_platform_silent or not self.is_watcher():
                await asyncio.sleep(self.fallback_seconds())

    async def call_platform(
        self,
        call: abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Make a call that may meet silence."""
        try:
            await call
        except errors.PlatformError as error:
            self.record_silence(error)
            await asyncio.sleep(self.settings.retry_seconds)

    def record_silence(self, error: errors.PlatformError) -> None:
        """Log the start of the platform's silence."""
        if not self.is_platform_silent:
            self.logger.warning('platform silent', detail=str(error))
            self.audit_event('platform-silent')
        self.is_platform_silent = True

    def record_answer(self) -> None:
        """Note an answer and log the end of a silence."""
        if self.is_platform_silent:
            self.logger.warning('platform answers again')
            self.audit_event('platform-answers')
        self.is_platform_silent = False
        self.platform_contact.record_platform_answer(clock.monotonic())

    def audit_event(self, action: str) -> None:
        """Add what happened to the platform to the audit trail."""
        if self.audit is not None:
            self.audit.add(action, self.members.local_vm)

    async def read_vm_list(self) -> None:
        """Read the list of VMs and spread what changed.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        listed = await self.store.list_vms()
        self.record_answer()
        for name, changed in self.members.diff_with_list(listed).items():
            version = self.gossip.store.next_version(members.TOPIC, name)
            item = members.to_item(name, changed, version)
            self.gossip.handle_item(item, self.members.local_vm)

    async def read_objects(self) -> None:
        """Read all objects of the fleet that are newer than known.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        if not self.sync.current.revision:
            await self.read_snapshot()
        found = await change_log.load_changes(
            self.store, self.sync.current.revision
        )
        if self.has_gap(found):
            await self.read_snapshot()
        for key in self.handlers:
            held = await self.store.read(key)
            if held is not None:
                self.handlers[key](held)
        self.record_answer()
        self.apply_objects(found)

    def has_gap(self, found: list[stored_object.StoredObject]) -> bool:
        """Tell whether the next change was deleted from the log."""
        following = self.sync.current.revision + 1
        return bool(found) and change_log.change_revision(found[0]) > following

    async def read_snapshot(self) -> None:
        """Take up the newest snapshot, if there is one.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        try:
            newer = await snapshots.read(self.store)
        except errors.ConfigurationError as error:
            self.logger.error('snapshot not read', detail=str(error))
            return
        if newer is not None:
            self.sync.apply_snapshot(newer)

    async def watch_objects(self) -> None:
        """Wait for newer objects and take them up.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        if not self.last_version:
            await self.read_objects()
        found = await self.store.watch(
            PREFIX,
            self.last_version,
            self.settings.watch_seconds,
        )
        self.record_answer()
        self.apply_objects(found)
        if self.is_behind(found):
            await self.read_objects()

    def apply_objects(self, found: list[stored_object.StoredObject]) -> None:
        """Take up objects in the order of their versions."""
        for held in found:
            self.last_version = max(self.last_version, held.version)
            handler = self.handlers.get(held.key)
            if handler is not None:
                handler(held)
            elif held.key.startswith(change_log.KEY_PREFIX) and held.body:
                self.sync.apply_change(held.body)

    def is_behind(self, found: list[stored_object.StoredObject]) -> bool:
        """Tell whether a change was skipped."""
        revisions = [
            change_log.change_revision(held)
            for held in found
            if held.key.startswith(change_log.KEY_PREFIX)
        ]
        return max(revisions, default=0) > self.sync.current.revision
