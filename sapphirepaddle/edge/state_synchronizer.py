"""Keeps configuration and targets up to date, from the source or from peers."""

import asyncio
import contextlib
import random
import typing
from collections import abc

import orjson

from sapphirepaddle import clock, errors
from sapphirepaddle.directory import (
    directory,
    object_watcher,
    platform_interface,
    revisions,
    source,
    target_list,
)
from sapphirepaddle.edge import (
    change_relay,
    reader_role,
    snapshot_exchange,
    zone_synchronizer,
)
from sapphirepaddle.peers import (
    contact,
    count_exchange,
    digest,
    introduction,
    notices,
)
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

CHECK_INTERVAL_SECONDS: typing.Final = 0.25
"""Interval between checks for missing or outdated state."""
MAX_LOGGED_SECONDS: typing.Final = 999.0
"""Maximum age that is logged; it stands for an outage that was only local."""
MAX_LAG_SECONDS: typing.Final = 0.7
"""Time for which peers may have a newer configuration before it is read without
waiting for the watch: slightly longer than the interval in which watches batch
changes."""
MAX_PENDING_LAG_SECONDS: typing.Final = 0.3
"""The same while a watch call is pending that was made before: it should have
returned the newer configuration at once, and may never be answered."""
NEWER_CONFIGURATION_SECONDS: typing.Final = 0.8
"""Timeout of one read of a configuration that peers have."""
NEWER_CONFIGURATION_READS: typing.Final = 2
"""Number of such reads before a peer is asked. All of them together must end
within the time in which the source counts as stable again."""
OTHER_SNAPSHOT_HOSTS: typing.Final = 2
"""Number of other peers that are asked for a newer configuration if the one
that told of it does not answer."""


class StateSynchronizer:
    """Keeps configuration and targets up to date.

    Attributes:
        settings: Settings of the daemon.
        platform: Access to the platform.
        directory: Configuration and targets to update.
        count_exchange: Provides the fleet and the newest version of peers.
        outage_evidence: Tells when the source returned from an outage.
        configuration_watcher: Watches the configuration.
        target_watcher: Watches the registrations.
        target_list: Applies registrations to the directory.
        reader_role: Decides whether this daemon reads for its zone.
        raw_configuration: The configuration as the source served it.
        raw_targets: Registrations by target as the source served them.
        listed_revision: Revision of the last full list of them.
        zone_synchronizer: Keeps the emptied zones up to date.
        change_relay: Relays changed registrations within the zone.
        snapshot_exchange: Exchange of snapshots with peers.
        behind_since: Since when peers have had a newer configuration, on the
            monotonic clock; None if they have none.
        logger: Log of what was read.
    """

    def __init__(
        self,
        settings: edge.EdgeSettings,
        platform: platform_interface.PlatformInterface,
        target_directory: directory.Directory,
        exchange: count_exchange.CountExchange,
    ) -> None:
        """Initialize without configuration and targets."""
        self.settings = settings
        self.platform = platform
        self.directory = target_directory
        self.count_exchange = exchange
        self.configuration_watcher = object_watcher.ObjectWatcher(
            platform.source,
            platform.configuration_kind,
            self.apply_configuration_entries,
            self.apply_configuration_entries,
        )
        self.target_watcher = object_watcher.ObjectWatcher(
            platform.source,
            platform.target_kind,
            self.apply_all_targets,
            self.handle_target_changes,
        )
        self.configuration_watcher.outage_prober = self.target_watcher
        self.outage_evidence = exchange.fleet.outage_evidence
        self.target_watcher.reader_watch_seconds = (
            object_watcher.READER_WATCH_SECONDS
        )
        self.configuration_watcher.reader_watch_seconds = (
            object_watcher.CONFIGURATION_WATCH_SECONDS
        )
        self.target_watcher.batch_seconds = (
            object_watcher.RELAYED_BATCH_PAUSE_SECONDS
        )
        self.target_watcher.reliance.relay_wait_seconds = random.uniform(
            *object_watcher.RELAY_WAIT_SECONDS
        )
        # The version of a configuration tells whether it is older.
        self.configuration_watcher.reliance.is_stale_list_sound = True
        self.target_watcher.on_answer = self.outage_evidence.record_answer
        self.target_watcher.on_failed = self.outage_evidence.record_failure
        self.target_watcher.on_recovered = self.handle_recovery
        exchange.read_contact_ages = self.contact_ages
        self.target_list = target_list.TargetList(
            target_directory,
            platform.decode_target,
            self.outage_evidence.source_returned_at,
            platform.source.era,
        )
        exchange.read_targets_fingerprint = self.targets_fingerprint
        self.reader_role = reader_role.ReaderRole(
            self.target_watcher,
            self.configuration_watcher,
            exchange,
        )
        self.zone_synchronizer = zone_synchronizer.ZoneSynchronizer(
            platform, target_directory, exchange, self.reader_role
        )
        self.zone_synchronizer.watcher.outage_prober = self.target_watcher
        self.change_relay = change_relay.ChangeRelay(
            self.targets_fingerprint,
            lambda: self.target_watcher.revision,
            self.apply_target_changes,
            self.target_watcher.skip_to,
            lambda body: exchange.transmit(
                body, exchange.fleet.same_zone_hosts()
            ),
        )
        exchange.on_registration_changes = self.change_relay.handle_changes
        self.change_relay.learn_era = platform.source.era.learn_from_peer
        self.target_watcher.on_lost = self.reader_role.handle_loss
        self.raw_configuration: source.Content = {}
        self.raw_targets: dict[str, source.Content] = {}
        self.listed_revision = revisions.NOTHING_READ
        self.snapshot_exchange = snapshot_exchange.SnapshotExchange(
            settings.snapshots,
            self.make_snapshot,
        )
        self.behind_since: float | None = None
        self.logger = logs.get_logger('knowledge')

    def background_coroutines(
        self,
    ) -> tuple[abc.Coroutine[typing.Any, typing.Any, None], ...]:
        """Return the coroutines that run until the daemon stops."""
        return (
            self.configuration_watcher.run(),
            self.target_watcher.run(),
            self.zone_synchronizer.run(),
            self.catch_up(),
        )

    def handle_recovery(self) -> None:
        """Pass on that the source answers again, and log when it returned.

        Other daemons of the zone rely on a reader for the recovery, and the
        other watchers on the target watcher.
        """
        self.reader_role.replace_other_calls()
        if self.reader_role.is_reader():
            self.count_exchange.request_immediate_send()
        returned_at = self.outage_evidence.source_returned_at()
        lost_at = self.target_watcher.unavailable_since
        self.logger.info(
            'outage ended',
            is_local=lost_at is not None and returned_at <= lost_at,
            returned=round(
                min(clock.monotonic() - returned_at, MAX_LOGGED_SECONDS), 2
            ),
        )

    def contact_ages(self) -> contact.ContactAges:
        """Return the ages of the contact with the source."""
        watcher = self.target_watcher
        is_available = watcher.unavailable_since is None
        return contact.to_ages(
            clock.monotonic(),
            watcher.contact_since if is_available else None,
            self.outage_evidence.local.newest,
        )

    def targets_fingerprint(self) -> int:
        """Return the fingerprint of the registrations of this daemon."""
        return self.target_list.fingerprint.combined_hash

    def apply_configuration_entries(self, entries: list[source.Entry]) -> None:
        """Apply the configuration if it is among the entries."""
        for entry in entries:
            if entry.name == self.platform.configuration_name and entry.content:
                self.decode_and_apply(entry.content)

    def decode_and_apply(self, content: source.Content) -> None:
        """Decode a configuration and put it in force."""
        try:
            new_configuration = self.platform.decode_configuration(content)
        except errors.ConfigurationError as error:
            self.logger.error('configuration malformed', reason=error.detail)
            return
        if self.directory.apply_configuration(new_configuration):
            self.raw_configuration = content
            if self.reader_role.is_reader():
                self.count_exchange.request_immediate_send()

    def apply_all_targets(self, entries: list[source.Entry]) -> None:
        """Replace all registrations by a complete list.

        A reader relays the first list of a new era, as differences.
        """
        is_new_era = bool(self.listed_revision) and (
            self.platform.source.era.has_passed(self.listed_revision)
        )
        self.listed_revision = self.target_watcher.revision
        if is_new_era and self.reader_role.is_reader():
            differences = self.target_list.differences(entries)
            warm_targets = self.directory.warm_targets(
                entry.name for entry in differences
            )
            self.change_relay.apply_and_send_era(
                differences, self.listed_revision
            )
            self.count_exchange.cold_exchange.announce(warm_targets)
        self.raw_targets = {}
        self.store_raw_targets(entries)
        self.target_list.apply_all(entries)
        self.reader_role.freshness.record_local(self.targets_fingerprint())

    def apply_target_changes(self, entries: list[source.Entry]) -> None:
        """Apply changed registrations."""
        self.store_raw_targets(entries)
        self.target_list.apply_changes(entries)
        self.reader_role.freshness.record_local(self.targets_fingerprint())

    def handle_target_changes(self, entries: list[source.Entry]) -> None:
        """Apply changes read from the source; a reader relays them."""
        if not self.reader_role.is_reader():
            self.apply_target_changes(entries)
            return
        old_fingerprint = self.targets_fingerprint()
        warm_targets = self.directory.warm_targets(
            entry.name for entry in entries
        )
        self.change_relay.apply_and_send(entries, self.target_watcher.revision)
        self.count_exchange.cold_exchange.announce(warm_targets)
        if self.targets_fingerprint() != old_fingerprint:
            self.count_exchange.request_immediate_send()

    def store_raw_targets(self, entries: list[source.Entry]) -> None:
        """Store the registrations as the source served them."""
        for entry in entries:
            if entry.content is None:
                self.raw_targets.pop(entry.name, None)
            else:
                self.raw_targets[entry.name] = entry.content
        self.count_exchange.digest_receiver.register_names(
            entry.name for entry in entries
        )

    def make_snapshot(self) -> digest.Snapshot:
        """Return a snapshot of configuration, targets and members."""
        fleet = self.count_exchange.fleet
        members = [fleet.local_member]
        members.extend(peer.member for peer in fleet.peers.values())
        return digest.Snapshot(
            configuration=orjson.dumps(self.raw_configuration),
            targets=orjson.dumps(self.raw_targets),
            members=tuple(map(introduction.to_hello, members)),
            targets_revision=self.target_watcher.revision,
            zones=self.zone_synchronizer.emptied_zones(),
            zones_revision=self.zone_synchronizer.revision,
        )

    async def catch_up(self) -> None:
        """Check for missing or outdated state periodically.

        While the source is unavailable, a daemon without state fetches a
        snapshot from a peer, and one whose targets differ from those of a
        reader fetches it from that reader. One whose peers have a newer
        configuration reads it without waiting for the watch.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            readers = self.reader_role.reconcile()
            if not self.directory.is_complete:
                await self.fetch_from_any_peer()
            elif readers and self.target_watcher.unavailable_since is not None:
                await self.fetch_from_reader(readers)
            elif self.is_behind_peers():
                self.behind_since = None
                await self.read_newer_configuration()

    def is_behind_peers(self) -> bool:
        """Return whether the watch has missed a newer configuration."""
        lag_seconds = self.lag_seconds()
        if lag_seconds and self.configuration_watcher.has_waited_since(
            clock.monotonic() - lag_seconds
        ):
            return lag_seconds > MAX_PENDING_LAG_SECONDS
        return lag_seconds > MAX_LAG_SECONDS

    def lag_seconds(self) -> float:
        """Return for how long peers have had a newer configuration."""
        if not self.count_exchange.digest_receiver.knows_newer_version():
            self.behind_since = None
            return 0
        now = clock.monotonic()
        if self.behind_since is None:
            self.behind_since = now
        return now - self.behind_since

    async def fetch_from_any_peer(self) -> None:
        """Fetch a peer's snapshot if the source is unavailable."""
        if self.target_watcher.unavailable_since is None:
            return
        fleet = self.count_exchange.fleet
        hosts = [peer.member.host for peer in fleet.peers.values()]
        hosts.extend(self.settings.seeds)
        other_hosts = [
            host for host in hosts if host != fleet.local_member.host
        ]
        if other_hosts:
            await self.fetch_snapshot(random.choice(other_hosts))

    async def fetch_from_reader(self, readers: list[int]) -> None:
        """Fetch the snapshot of a reader that still has contact.

        Args:
            readers: Hashes of the names of the readers.
        """
        peers = self.count_exchange.fleet.peers
        hosts = [peers[key].member.host for key in readers if key in peers]
        if hosts:
            await self.fetch_snapshot(random.choice(hosts))
        self.reader_role.retry_mismatches()

    async def fetch_snapshot(self, host: str) -> None:
        """Fetch the snapshot of a peer and apply it."""
        try:
            snapshot = await self.snapshot_exchange.fetch(host)
        except errors.PeerError as error:
            self.logger.info(
                'snapshot not fetched', host=host, reason=error.detail
            )
            return
        self.logger.info('snapshot fetched', host=host)
        members = map(introduction.to_member, snapshot.members)
        new_members = [
            member
            for member in members
            if self.count_exchange.fleet.add(member)
        ]
        self.count_exchange.introduction_exchange.announce_to(new_members)
        configuration = orjson.loads(snapshot.configuration or b'{}')
        if configuration:
            self.decode_and_apply(configuration)
        self.zone_synchronizer.handle_state(
            notices.ZoneState(snapshot.zones_revision, snapshot.zones),
            'snapshot',
        )
        self.platform.source.era.learn_from_peer(snapshot.targets_revision)
        self.apply_snapshot_targets(snapshot)

    def apply_snapshot_targets(self, snapshot: digest.Snapshot) -> None:
        """Apply the targets of a peer if they are newer than the local ones.

        The watch continues from their revision. While the source answers,
        only the first targets are taken from a peer; those of an older era
        never are.
        """
        targets = orjson.loads(snapshot.targets or b'{}')
        is_unavailable = self.target_watcher.unavailable_since is not None
        is_newer = snapshot.targets_revision > self.target_watcher.revision
        if not targets:
            return
        if self.directory.has_targets and not (is_unavailable and is_newer):
            return
        if self.platform.source.era.has_passed(snapshot.targets_revision):
            self.logger.info('snapshot of an older era ignored')
            return
        entries = [source.Entry(*pair) for pair in targets.items()]
        self.target_watcher.skip_to(snapshot.targets_revision)
        self.apply_all_targets(entries)

    async def read_newer_configuration(self) -> None:
        """Read a configuration that peers have and the watch missed.

        A read that gets no answer is repeated: a short silence of the source
        may have swallowed it. The snapshot of a peer is fetched if the source
        does not answer or does not have the configuration, or if the target
        watcher found out before that it does not answer.
        """
        self.logger.info(
            'configuration older than that of peers',
            version=self.directory.version,
            newest=self.count_exchange.digest_receiver.newest_version,
        )
        reads = NEWER_CONFIGURATION_READS
        if self.target_watcher.unavailable_since is not None:
            reads = 0
        for _ in range(reads):
            if await self.has_read_configuration():
                break
        if self.count_exchange.digest_receiver.knows_newer_version():
            await self.fetch_newest_snapshot()

    async def has_read_configuration(self) -> bool:
        """Read the configuration; return whether the source answered."""
        try:
            async with asyncio.timeout(NEWER_CONFIGURATION_SECONDS):
                listing = await self.platform.source.list_all(
                    self.platform.configuration_kind,
                    is_stale_allowed=False,
                )
        except (errors.SourceError, TimeoutError) as error:
            self.logger.info('configuration not read', reason=str(error))
            return False
        self.apply_configuration_entries(listing.entries)
        return True

    async def fetch_newest_snapshot(self) -> None:
        """Fetch the snapshot of a peer with the newest configuration.

        The daemon that first told of it may be slow or lost meanwhile, so
        others are asked after a short time.
        """
        receiver = self.count_exchange.digest_receiver
        fleet = self.count_exchange.fleet
        others = [
            host
            for host in fleet.recent_hosts()
            if host != receiver.newest_host
        ]
        sample = random.sample(others, min(OTHER_SNAPSHOT_HOSTS, len(others)))
        for host in (receiver.newest_host, *sample):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(NEWER_CONFIGURATION_SECONDS):
                    await self.fetch_snapshot(host)
            if not self.count_exchange.digest_receiver.knows_newer_version():
                return
