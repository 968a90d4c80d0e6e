"""Keeps the emptied availability zones up to date, from source or peers."""

import asyncio
import math
import typing

import xxhash

from sapphirepaddle import clock
from sapphirepaddle.directory import (
    directory,
    object_watcher,
    platform_interface,
    revisions,
    source,
    source_era,
    target_list,
)
from sapphirepaddle.edge import reader_role
from sapphirepaddle.peers import count_exchange, notices

FIRST_READER_SECONDS: typing.Final = 2.0
"""Maximum wait of a call on the first reader of a zone. An unanswered call must
time out, and the answer to the next one reach all daemons, within the time in
which the source counts as stable again."""
LATE_SECONDS: typing.Final = 6.0
"""Time after an outage of the source in which a change that is read may have
been accepted long before, so that the load must not move gradually."""
REPLY_INTERVAL_SECONDS: typing.Final = 0.5
"""Interval between replies to a peer that knows other emptied zones, and time
after a change in which peers may still learn of it by the first message."""
MILLISECONDS_PER_SECOND: typing.Final = 1000
MARK_MODULUS: typing.Final = 255


class ZoneSynchronizer:
    """Keeps the emptied zones of the directory up to date.

    The readers of each zone watch the source with fresh calls and tell the
    other daemons about each change. A digest carries a fingerprint of the
    zones that its sender knows; a reader replies to a daemon that knows
    others. The complete state is sent each time, and an older one is ignored.
    A daemon that is no reader reads the source only at its start.

    Attributes:
        directory: Directory whose emptied zones are updated.
        count_exchange: Sends the state of the zones to other daemons.
        reader_role: Decides whether this daemon reads for its zone.
        watcher: Watches the entries that empty zones.
        era: Newest known era of the source.
        kept_zones: Zones that were emptied when the source returned from an
            older copy, which may not have them until operators write again.
        revision: Revision of the source that the emptied zones reflect.
        changed_at: Monotonic time of the last change.
        replied_at: Monotonic time of the last reply, by hash of a peer's name.
    """

    def __init__(
        self,
        platform: platform_interface.PlatformInterface,
        target_directory: directory.Directory,
        exchange: count_exchange.CountExchange,
        role: reader_role.ReaderRole,
    ) -> None:
        """Initialize with no zone emptied."""
        self.directory = target_directory
        self.count_exchange = exchange
        self.reader_role = role
        self.watcher = object_watcher.ObjectWatcher(
            platform.source,
            platform.emptied_zone_kind,
            self.apply_all,
            self.apply_changes,
        )
        self.watcher.reliance.is_led_by_readers = True
        if target_directory.bounds.empty_zone:
            role.add_watcher(
                self.watcher,
                (FIRST_READER_SECONDS, object_watcher.WATCH_SECONDS),
            )
        self.era: source_era.SourceEra = platform.source.era
        self.era.on_return.append(self.keep_zones)
        self.kept_zones: frozenset[str] = frozenset()
        self.revision = revisions.NOTHING_READ
        self.changed_at = -math.inf
        self.replied_at: dict[int, float] = {}
        exchange.read_zones_mark = self.read_mark
        exchange.on_zone_state = self.handle_message
        exchange.digest_receiver.on_zones_mark = self.handle_mark

    async def run(self) -> None:
        """Watch the source if zones can be emptied in this deployment."""
        if self.directory.bounds.empty_zone:
            await self.watcher.run()

    def apply_all(self, entries: list[source.Entry]) -> None:
        """Apply a complete list.

        Zones that it adds were emptied at an unknown time, so their targets
        get no requests at once.
        """
        names = {entry.name for entry in entries}
        self.apply_read(dict.fromkeys(names | self.kept_zones, math.inf))

    def keep_zones(self) -> None:
        """Keep the zones emptied for a grace period after a return."""
        self.kept_zones = self.directory.emptied_zones.names()
        if self.kept_zones:
            asyncio.get_running_loop().call_later(
                target_list.REREGISTRATION_GRACE_SECONDS, self.end_grace
            )

    def end_grace(self) -> None:
        """Read on a reader which zones are emptied without those kept."""
        grace_ends_at = (
            self.era.returned_at + target_list.REREGISTRATION_GRACE_SECONDS
        )
        if clock.monotonic() < grace_ends_at:
            return
        self.kept_zones = frozenset()
        if self.reader_role.is_reader():
            self.watcher.request_list()

    def apply_changes(self, entries: list[source.Entry]) -> None:
        """Apply changed entries; the content of an entry does not matter."""
        age = math.inf if self.is_late() else 0
        zone_ages = self.directory.emptied_zones.ages(clock.monotonic())
        for entry in entries:
            if entry.content is None:
                zone_ages.pop(entry.name, None)
            else:
                zone_ages.setdefault(entry.name, age)
        self.apply_read(zone_ages)

    def is_late(self) -> bool:
        """Return whether the source returned from an outage lately."""
        evidence = self.count_exchange.fleet.outage_evidence
        age = clock.monotonic() - evidence.source_returned_at()
        return age < LATE_SECONDS

    def apply_read(self, zone_ages: dict[str, float]) -> None:
        """Apply what was read from the source; a reader tells the others."""
        if self.watcher.revision < self.revision:
            return
        self.revision = self.watcher.revision
        is_changed = self.directory.apply_emptied_zones(zone_ages, 'source')
        if not is_changed:
            return
        self.changed_at = clock.monotonic()
        if self.reader_role.is_reader():
            self.announce()

    def announce(self) -> None:
        """Send the state to the zone, and to one daemon of each other zone."""
        fleet = self.count_exchange.fleet
        self.count_exchange.transmit(self.state(), fleet.same_zone_hosts())
        self.count_exchange.transmit(
            self.state(is_forwarded=True), fleet.other_zone_hosts()
        )

    def state(self, is_forwarded: bool = False) -> notices.ZoneState:
        """Return the state of the zones as a message."""
        return notices.ZoneState(
            self.revision, self.emptied_zones(), is_forwarded
        )

    def emptied_zones(self) -> tuple[notices.EmptiedZone, ...]:
        """Return the emptied zones with their ages."""
        ages = self.directory.emptied_zones.ages(clock.monotonic())
        max_seconds = notices.MAX_ZONE_AGE_MS / MILLISECONDS_PER_SECOND
        return tuple(
            notices.EmptiedZone(
                name, int(min(age, max_seconds) * MILLISECONDS_PER_SECOND)
            )
            for name, age in sorted(ages.items())
        )

    def handle_message(self, message: notices.ZoneState) -> None:
        """Apply the state that a daemon sent, and forward it if necessary."""
        if message.is_forwarded:
            self.count_exchange.transmit(
                notices.ZoneState(message.revision, message.zones),
                self.count_exchange.fleet.same_zone_hosts(),
            )
        self.handle_state(message, 'peer')

    def handle_state(
        self, message: notices.ZoneState, learned_from: str
    ) -> None:
        """Apply the state of another daemon if it is newer.

        Args:
            message: The state.
            learned_from: How it arrived, to log.
        """
        self.era.learn_from_peer(message.revision)
        if message.revision <= self.revision:
            return
        self.revision = message.revision
        is_changed = self.directory.apply_emptied_zones(
            {
                zone.name: zone.age_ms / MILLISECONDS_PER_SECOND
                for zone in message.zones
            },
            learned_from,
        )
        if is_changed:
            self.changed_at = clock.monotonic()
        if message.revision > self.watcher.revision:
            self.watcher.skip_to(message.revision)

    def read_mark(self) -> int:
        """Return the fingerprint of the emptied zones, 0 to MARK_MODULUS."""
        names = self.directory.emptied_zones.names()
        if not names:
            return 0
        text = '\n'.join(sorted(names))
        return 1 + xxhash.xxh32_intdigest(text.encode()) % MARK_MODULUS

    def handle_mark(self, sender: int, mark: int) -> None:
        """Reply to a daemon that knows other emptied zones than a reader.

        Args:
            sender: Hash of the name of the daemon.
            mark: Fingerprint of the zones that it knows.
        """
        if mark == self.read_mark():
            return
        now = clock.monotonic()
        last_at = max(self.changed_at, self.replied_at.get(sender, -math.inf))
        peer = self.count_exchange.fleet.peers.get(sender)
        if (
            now - last_at < REPLY_INTERVAL_SECONDS
            or peer is None
            or not self.revision
            or not self.reader_role.is_reader()
        ):
            return
        self.replied_at[sender] = now
        self.count_exchange.transmit(self.state(), (peer.member.host,))
