"""Reading configuration and targets, from the source or from peers."""

import asyncio
import random
import typing

import orjson

from sapphirepaddle import clock, errors
from sapphirepaddle.directory import (
    directory,
    follower,
    platform_port,
    source,
    target_list,
)
from sapphirepaddle.edge import reading, snapshots
from sapphirepaddle.peers import digest, introduction, count_exchange
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs

CHECK_SECONDS: typing.Final = 0.25
"""Pause between looks at what is missing."""
TENTHS: typing.Final = 10
"""Tenths of a second in a second."""
LAG_SECONDS: typing.Final = 0.7
"""Time for which peers may have a newer configuration before it is read
apart from the watch: a little more than watches gather changes."""


class Knowledge:
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
        settings: edge.Edge,
        port: platform_port.PlatformPort,
        known: directory.Directory,
        pooled: count_exchange.CountExchange,
    ) -> None:
        """Start without knowledge."""
        self.settings = settings
        self.port = port
        self.directory = known
        self.pooling = pooled
        self.configurations = follower.Follower(
            port.source,
            port.configuration_kind,
            self.take_configuration,
            self.take_configuration,
        )
        self.targets = follower.Follower(
            port.source,
            port.target_kind,
            self.take_all_targets,
            self.take_targets,
        )
        self.configurations.leader = self.targets
        pooled.read_contact_age = self.contact_age
        self.target_list = target_list.TargetList(
            known,
            port.decode_target,
            self.returned,
        )
        pooled.read_targets_fingerprint = self.targets_mark
        self.reading = reading.Reading(
            self.targets,
            self.configurations,
            pooled,
        )
        self.raw_configuration: source.Content = {}
        self.raw_targets: dict[str, source.Content] = {}
        self.snapshots = snapshots.Snapshots(
            settings.snapshots,
            self.make_snapshot,
        )
        self.behind_since: float | None = None
        self.logger = logs.get('knowledge')

    def returned(self) -> float | None:
        """Return when the source answered again after an outage, or None.

        If others had contact all the while, this daemon alone was cut off:
        no entry lapsed for that.
        """
        if not self.pooling.fleet.is_outage_shared():
            return None
        return self.targets.back_at

    def contact_age(self) -> int:
        """Return the tenths of a second since the source answered again."""
        if self.targets.lost_at is not None:
            return 0
        if self.targets.back_at is None:
            return digest.LONG_AGO
        age = (clock.monotonic() - self.targets.back_at) * TENTHS
        return min(int(age), digest.LONG_AGO)

    def targets_mark(self) -> int:
        """Return the fingerprint of the registrations known here."""
        return self.target_list.fingerprint.total

    def take_configuration(self, entries: list[source.Entry]) -> None:
        """Take up the configuration if it is among the entries."""
        for entry in entries:
            if entry.name == self.port.configuration_name and entry.content:
                self.put_in_force(entry.content)

    def put_in_force(self, content: source.Content) -> None:
        """Decode a configuration and put it in force."""
        try:
            newer = self.port.decode_configuration(content)
        except errors.ConfigurationError as error:
            self.logger.error('configuration malformed', reason=error.detail)
            return
        if self.directory.put_in_force(newer):
            self.raw_configuration = content
            if self.reading.is_reader():
                self.pooling.request_immediate_send()

    def take_all_targets(self, entries: list[source.Entry]) -> None:
        """Take up the whole list of registrations."""
        self.raw_targets = {}
        self.note_targets(entries)
        self.target_list.take_all(entries)

    def take_targets(self, entries: list[source.Entry]) -> None:
        """Take up changed registrations."""
        self.note_targets(entries)
        before = self.targets_mark()
        self.target_list.take_changes(entries)
        if self.targets_mark() != before and self.reading.is_reader():
            self.pooling.request_immediate_send()

    def note_targets(self, entries: list[source.Entry]) -> None:
        """Keep the registrations as they were served."""
        for entry in entries:
            if entry.content is None:
                self.raw_targets.pop(entry.name, None)
            else:
                self.raw_targets[entry.name] = entry.content
        self.pooling.digest_receiver.register_names(
            entry.name for entry in entries
        )

    def make_snapshot(self) -> digest.Snapshot:
        """Return what this daemon knows."""
        fleet = self.pooling.fleet
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
            await asyncio.sleep(CHECK_SECONDS)
            self.reading.review()
            if not self.directory.is_complete:
                await self.ask_peers()
            elif self.lag() > LAG_SECONDS:
                self.behind_since = None
                await self.read_newer()

    def lag(self) -> float:
        """Return for how long peers have had a newer configuration."""
        if (
            self.pooling.digest_receiver.newest_version
            <= self.directory.version
        ):
            self.behind_since = None
            return 0
        now = clock.monotonic()
        if self.behind_since is None:
            self.behind_since = now
        return now - self.behind_since

    async def ask_peers(self) -> None:
        """Take up the snapshot of a peer while the source is silent."""
        if self.targets.lost_at is None:
            return
        fleet = self.pooling.fleet
        hosts = [held.member.host for held in fleet.peers.values()]
        hosts.extend(self.settings.seeds)
        others = [host for host in hosts if host != fleet.local_member.host]
        if others:
            await self.fetch(random.choice(others))

    async def fetch(self, host: str) -> None:
        """Take up the snapshot of a peer."""
        try:
            held = await self.snapshots.fetch(host)
        except errors.PeerError as error:
            self.logger.info('no snapshot', host=host, reason=error.detail)
            return
        self.logger.info('snapshot', host=host)
        members = map(introduction.to_member, held.members)
        learnt = [held for held in members if self.pooling.fleet.add(held)]
        self.pooling.introduction_exchange.announce_to(learnt)
        configuration = orjson.loads(held.configuration or b'{}')
        if configuration:
            self.put_in_force(configuration)
        targets = orjson.loads(held.targets or b'{}')
        if targets and not self.directory.has_targets:
            entries = [source.Entry(*pair) for pair in targets.items()]
            self.take_all_targets(entries)

    async def read_newer(self) -> None:
        """Read a configuration that peers have and the watch missed."""
        self.logger.info(
            'behind peers',
            version=self.directory.version,
            newest=self.pooling.digest_receiver.newest_version,
        )
        try:
            found = await self.port.source.list_all(
                self.port.configuration_kind,
                is_stale_allowed=False,
            )
        except errors.SourceError as error:
            self.logger.info('source silent', reason=error.detail)
            await self.fetch(self.pooling.digest_receiver.newest_host)
            return
        self.take_configuration(found.entries)
