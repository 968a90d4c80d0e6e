"""Reading configuration and targets, from the source or from peers."""

import asyncio
import random
import typing

import orjson

from sapphirepaddle import clock, errors
from sapphirepaddle.directory import (
    directory,
    object_watcher,
    platform_interface,
    source,
    target_list,
)
from sapphirepaddle.edge import reader_role, snapshot_exchange
from sapphirepaddle.peers import digest, introduction, count_exchange
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

CHECK_INTERVAL_SECONDS: typing.Final = 0.25
"""Pause between looks at what is missing."""
TENTHS_PER_SECOND: typing.Final = 10
"""Tenths of a second in a second."""
MAX_LAG_SECONDS: typing.Final = 0.7
"""Time for which peers may have a newer configuration before it is read
apart from the watch: a little more than watches gather changes."""


class StateSynchronizer:
    """Keeps configuration and targets up to date.

    Attributes:
        settings: Settings of the daemon.
        port: The platform.
        directory: What is kept.
        pooling: Tells what peers have in force.
        configurations: Follows the configuration.
        targets: Follows the registrations.
        reading: Whether this daemon reads for its zone.
        raw_configuration: The configuration as the source served it.
        raw_targets: Registrations as the source served them.
        snapshots: Exchange of snapshots with peers.
        behind_since: Since when peers have a newer configuration.
        logger: Log of what was read.
    """

    def __init__(
        self,
        settings: edge.EdgeSettings,
        port: platform_interface.PlatformInterface,
        known: directory.Directory,
        pooled: count_exchange.CountExchange,
    ) -> None:
        """Start without knowledge."""
        self.settings = settings
        self.platform = port
        self.directory = known
        self.count_exchange = pooled
        self.configuration_watcher = object_watcher.ObjectWatcher(
            port.source,
            port.configuration_kind,
            self.apply_configuration_entries,
            self.apply_configuration_entries,
        )
        self.target_watcher = object_watcher.ObjectWatcher(
            port.source,
            port.target_kind,
            self.apply_all_targets,
            self.apply_target_changes,
        )
        self.configuration_watcher.outage_prober = self.target_watcher
        pooled.read_contact_age = self.contact_age_tenths
        self.target_list = target_list.TargetList(
            known,
            port.decode_target,
            self.source_recovered_at,
        )
        pooled.read_targets_fingerprint = self.targets_fingerprint
        self.reader_role = reader_role.ReaderRole(
            self.target_watcher,
            self.configuration_watcher,
            pooled,
        )
        self.raw_configuration: source.Content = {}
        self.raw_targets: dict[str, source.Content] = {}
        self.snapshot_exchange = snapshot_exchange.SnapshotExchange(
            settings.snapshots,
            self.make_snapshot,
        )
        self.behind_since: float | None = None
        self.logger = logs.get_logger('knowledge')

    def source_recovered_at(self) -> float | None:
        """Return when the source answered again after an outage, or None.

        If others had contact all the while, this daemon alone was cut off:
        no entry lapsed for that.
        """
        if not self.count_exchange.fleet.is_outage_shared():
            return None
        return self.target_watcher.recovered_at

    def contact_age_tenths(self) -> int:
        """Return the tenths of a second since the source answered again."""
        if self.target_watcher.unavailable_since is not None:
            return 0
        if self.target_watcher.recovered_at is None:
            return digest.LONG_AGO
        age = (
            clock.monotonic() - self.target_watcher.recovered_at
        ) * TENTHS_PER_SECOND
        return min(int(age), digest.LONG_AGO)

    def targets_fingerprint(self) -> int:
        """Return the fingerprint of the registrations known here."""
        return self.target_list.fingerprint.combined_hash

    def apply_configuration_entries(self, entries: list[source.Entry]) -> None:
        """Take up the configuration if it is among the entries."""
        for entry in entries:
            if entry.name == self.platform.configuration_name and entry.content:
                self.decode_and_apply(entry.content)

    def decode_and_apply(self, content: source.Content) -> None:
        """Decode a configuration and put it in force."""
        try:
            newer = self.platform.decode_configuration(content)
        except errors.ConfigurationError as error:
            self.logger.error('configuration malformed', reason=error.detail)
            return
        if self.directory.apply_configuration(newer):
            self.raw_configuration = content
            if self.reader_role.is_reader():
                self.count_exchange.request_immediate_send()

    def apply_all_targets(self, entries: list[source.Entry]) -> None:
        """Take up the whole list of registrations."""
        self.raw_targets = {}
        self.store_raw_targets(entries)
        self.target_list.apply_all(entries)

    def apply_target_changes(self, entries: list[source.Entry]) -> None:
        """Take up changed registrations."""
        self.store_raw_targets(entries)
        before = self.targets_fingerprint()
        self.target_list.apply_changes(entries)
        if (
            self.targets_fingerprint() != before
            and self.reader_role.is_reader()
        ):
            self.count_exchange.request_immediate_send()

    def store_raw_targets(self, entries: list[source.Entry]) -> None:
        """Keep the registrations as they were served."""
        for entry in entries:
            if entry.content is None:
                self.raw_targets.pop(entry.name, None)
            else:
                self.raw_targets[entry.name] = entry.content
        self.count_exchange.digest_receiver.register_names(
            entry.name for entry in entries
        )

    def make_snapshot(self) -> digest.Snapshot:
        """Return what this daemon knows."""
        fleet = self.count_exchange.fleet
        members = [fleet.local_member]
        members.extend(held.member for held in fleet.peers.values())
        return digest.Snapshot(
            configuration=orjson.dumps(self.raw_configuration),
            targets=orjson.dumps(self.raw_targets),
            members=tuple(map(introduction.to_hello, members)),
        )

    async def catch_up(self) -> None:
        """Close gaps that watches leave, for good.

        A daemon that has nothing asks peers while the source is silent;
        one whose peers are ahead reads the configuration by itself.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.reader_role.reconcile()
            if not self.directory.is_complete:
                await self.fetch_from_any_peer()
            elif self.lag_seconds() > MAX_LAG_SECONDS:
                self.behind_since = None
                await self.read_newer_configuration()

    def lag_seconds(self) -> float:
        """Return for how long peers have had a newer configuration."""
        if (
            self.count_exchange.digest_receiver.newest_version
            <= self.directory.version
        ):
            self.behind_since = None
            return 0
        now = clock.monotonic()
        if self.behind_since is None:
            self.behind_since = now
        return now - self.behind_since

    async def fetch_from_any_peer(self) -> None:
        """Take up the snapshot of a peer while the source is silent."""
        if self.target_watcher.unavailable_since is None:
            return
        fleet = self.count_exchange.fleet
        hosts = [held.member.host for held in fleet.peers.values()]
        hosts.extend(self.settings.seeds)
        others = [host for host in hosts if host != fleet.local_member.host]
        if others:
            await self.fetch_snapshot(random.choice(others))

    async def fetch_snapshot(self, host: str) -> None:
        """Take up the snapshot of a peer."""
        try:
            held = await self.snapshot_exchange.fetch(host)
        except errors.PeerError as error:
            self.logger.info('no snapshot', host=host, reason=error.detail)
            return
        self.logger.info('snapshot', host=host)
        members = map(introduction.to_member, held.members)
        learnt = [
            held for held in members if self.count_exchange.fleet.add(held)
        ]
        self.count_exchange.introduction_exchange.announce_to(learnt)
        configuration = orjson.loads(held.configuration or b'{}')
        if configuration:
            self.decode_and_apply(configuration)
        targets = orjson.loads(held.targets or b'{}')
        if targets and not self.directory.has_targets:
            entries = [source.Entry(*pair) for pair in targets.items()]
            self.apply_all_targets(entries)

    async def read_newer_configuration(self) -> None:
        """Read a configuration that peers have and the watch missed."""
        self.logger.info(
            'behind peers',
            version=self.directory.version,
            newest=self.count_exchange.digest_receiver.newest_version,
        )
        try:
            found = await self.platform.source.list_all(
                self.platform.configuration_kind,
                is_stale_allowed=False,
            )
        except errors.SourceError as error:
            self.logger.info('source silent', reason=error.detail)
            await self.fetch_snapshot(
                self.count_exchange.digest_receiver.newest_host
            )
            return
        self.apply_configuration_entries(found.entries)
