"""The edge daemons of the fleet as known to one of them."""

import math
import random
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import member
from sapphirepaddle.peers import (
    contact,
    digest,
    hub_selector,
    outage_evidence,
)
from sapphirepaddle.telemetry import logs

IN_TOUCH_TIMEOUT_SECONDS: typing.Final = 4.0
"""Silence after which a daemon counts as unreachable; it reports every one
or two seconds."""
ISOLATION_TIMEOUT_SECONDS: typing.Final = 1.5
"""Silence of all daemons after which this one counts as isolated; each peer
in its zone reports every second."""
READERS_PER_ZONE: typing.Final = 2
"""Daemons in a zone that read the source on behalf of the others."""
MAX_READER_SILENCE_SECONDS: typing.Final = 1.3
"""Silence after which a daemon does not count as a reader; it reports every
second, possibly delayed by a hub."""
HUB_REPORT_SECONDS: typing.Final = 0.6
"""Time within which an admission of another daemon is reported in a fleet with
hubs: daemons batch reports for up to 0.2 s for other zones, hubs batch them
twice again, and VMs may be busy."""
LEAVING: typing.Final = 'leaving'
"""Reason for the removal of a daemon that shuts down."""
REMOVAL_TIMEOUT_SECONDS: typing.Final = 45.0
"""Silence after which a daemon is removed from the fleet."""


class Peer:
    """Another daemon of the fleet.

    Attributes:
        member: The member as it introduced itself.
        last_received_at: Monotonic time of its last message.
        contact: Its contact with the source.
        targets_fingerprint: Fingerprint of the registrations it knows.
    """

    def __init__(self, fleet_member: member.Member, now: float) -> None:
        """Initialize a daemon whose introduction arrived at `now`."""
        self.member = fleet_member
        self.last_received_at = now
        self.contact = contact.Contact(
            since=now, verified_since=-math.inf, answered_at=-math.inf
        )
        self.targets_fingerprint = 0


class Fleet:
    """The known daemons of the fleet.

    Attributes:
        local_member: This daemon.
        peers: The other daemons by the hash of their names.
        last_received_at: Monotonic time of the last message from any daemon.
        elapsed_fleet_seconds: Fleet time as last computed; see
            elapsed_fleet_time().
        local_time_counted_at: Monotonic time up to which this daemon's own
            part is included in it.
        outage_evidence: Evidence from all daemons about outages of the source.
        known_zones: Availability zone of each daemon that was ever known, by
            name, without those that shut down.
        membership_version: Number that grows when known_zones changes.
        zone_size: Number of daemons of this zone in known_zones.
        zone_size_version: Membership version that zone_size reflects.
        rng: Random number generator for the choice of peers.
        logger: Logs daemons that join and leave.
    """

    def __init__(self, local_member: member.Member) -> None:
        """Initialize a fleet that consists of this daemon only."""
        self.local_member = local_member
        self.peers: dict[int, Peer] = {}
        self.last_received_at = clock.monotonic()
        self.elapsed_fleet_seconds: float = 0
        self.local_time_counted_at = self.last_received_at
        self.outage_evidence = outage_evidence.OutageEvidence()
        self.known_zones = {local_member.name: local_member.zone}
        self.membership_version = 0
        self.zone_size = 1
        self.zone_size_version = 0
        self.rng = random.Random()
        self.logger = logs.get_logger('fleet')

    def add(self, fleet_member: member.Member) -> bool:
        """Add a daemon, or replace it by a newer incarnation.

        Returns:
            Whether the daemon or this incarnation of it was unknown.
        """
        name_hash = digest.hash_name(fleet_member.name)
        peer = self.peers.get(name_hash)
        if fleet_member.name == self.local_member.name:
            return False
        if (
            peer is not None
            and peer.member.incarnation >= fleet_member.incarnation
        ):
            return False
        self.peers[name_hash] = Peer(fleet_member, clock.monotonic())
        if self.known_zones.get(fleet_member.name) != fleet_member.zone:
            self.known_zones[fleet_member.name] = fleet_member.zone
            self.membership_version += 1
        self.logger.info(
            'member joined',
            member=fleet_member.name,
            zone=fleet_member.zone,
            incarnation=fleet_member.incarnation,
            members=len(self.peers) + 1,
        )
        return True

    def remove(self, name_hash: int, reason: str) -> None:
        """Remove a daemon if it is known, and log the reason."""
        peer = self.peers.pop(name_hash, None)
        if peer is not None:
            if reason == LEAVING:
                self.known_zones.pop(peer.member.name, None)
                self.membership_version += 1
            self.logger.info(
                'member left',
                member=peer.member.name,
                reason=reason,
                members=len(self.peers) + 1,
            )

    def record_message(
        self,
        name_hash: int,
        ages: contact.ContactAges = contact.LONG_CONTACT,
        targets_fingerprint: int = 0,
    ) -> None:
        """Record that a message of a daemon was received.

        Args:
            name_hash: Hash of the daemon's name.
            ages: Ages of its contact with the source.
            targets_fingerprint: Fingerprint of the registrations it knows.
        """
        self.last_received_at = clock.monotonic()
        peer = self.peers.get(name_hash)
        if peer is not None:
            silence = self.last_received_at - peer.last_received_at
            if silence <= IN_TOUCH_TIMEOUT_SECONDS:
                self.elapsed_fleet_seconds += silence / self.size
            peer.last_received_at = self.last_received_at
            peer.contact = contact.from_ages(self.last_received_at, ages)
            self.outage_evidence.record_report(peer.contact)
            peer.targets_fingerprint = targets_fingerprint

    def remove_silent(self) -> None:
        """Remove daemons that were silent for REMOVAL_TIMEOUT_SECONDS."""
        horizon = clock.monotonic() - REMOVAL_TIMEOUT_SECONDS
        silent_hashes = [
            name_hash
            for name_hash, peer in self.peers.items()
            if peer.last_received_at < horizon
        ]
        for name_hash in silent_hashes:
            self.remove(name_hash, 'silent')

    @property
    def size(self) -> int:
        """Number of known daemons, including this one."""
        return len(self.peers) + 1

    def elapsed_fleet_time(self) -> float:
        """Return the fleet time: the mean of the daemons' reported seconds.

        This daemon contributes its own running time, each other daemon the
        time up to its last report. A share of a rate that is granted by
        fleet time therefore stops as soon as the reports stop, without a
        timeout. A silence longer than IN_TOUCH_TIMEOUT_SECONDS adds nothing
        when the daemon reports again.
        """
        now = clock.monotonic()
        self.elapsed_fleet_seconds += (
            now - self.local_time_counted_at
        ) / self.size
        self.local_time_counted_at = now
        return self.elapsed_fleet_seconds

    def in_touch_ratio(self) -> float:
        """Return the share of the fleet in contact, from 1 / size to 1.

        An isolated daemon counts only itself.
        """
        now = clock.monotonic()
        if now - self.last_received_at > ISOLATION_TIMEOUT_SECONDS:
            return 1 / self.size
        horizon = now - IN_TOUCH_TIMEOUT_SECONDS
        recent_count = sum(
            peer.last_received_at >= horizon for peer in self.peers.values()
        )
        return (recent_count + 1) / self.size

    def reader_hashes(self) -> list[int]:
        """Return the hashes of the daemons that read the source.

        They are the READERS_PER_ZONE daemons with the highest hashes in this
        zone among this daemon and those that reported recently and have
        contact with the source.
        """
        horizon = clock.monotonic() - MAX_READER_SILENCE_SECONDS
        hashes = [
            name_hash
            for name_hash, peer in self.peers.items()
            if peer.member.zone == self.local_member.zone
            and peer.last_received_at >= horizon
            and peer.contact.since is not None
        ]
        hashes.append(digest.hash_name(self.local_member.name))
        return sorted(hashes)[-READERS_PER_ZONE:]

    def other_zone_readers(self) -> list[int]:
        """Return the hashes of two daemons of other zones with contact.

        They report less often than those of this zone.
        """
        horizon = clock.monotonic() - IN_TOUCH_TIMEOUT_SECONDS
        hashes = [
            name_hash
            for name_hash, peer in self.peers.items()
            if peer.member.zone != self.local_member.zone
            and peer.last_received_at >= horizon
            and peer.contact.since is not None
        ]
        return sorted(hashes)[-READERS_PER_ZONE:]

    def recent_hosts(self) -> list[str]:
        """Return the hosts of this zone's daemons that reported recently.

        Without any, those of all zones are returned.
        """
        horizon = clock.monotonic() - MAX_READER_SILENCE_SECONDS
        recent = [
            peer.member
            for peer in self.peers.values()
            if peer.last_received_at >= horizon
        ]
        local = [
            member.host
            for member in recent
            if member.zone == self.local_member.zone
        ]
        return local or [member.host for member in recent]

    def same_zone_hosts(self) -> list[str]:
        """Return the hosts of the other daemons in the same zone."""
        return [
            peer.member.host
            for peer in self.peers.values()
            if peer.member.zone == self.local_member.zone
        ]

    def zone_count(self) -> int:
        """Return the number of zones with at least one daemon."""
        zones = {peer.member.zone for peer in self.peers.values()}
        return len(zones | {self.local_member.zone})

    def local_zone_size(self) -> int:
        """Return the number of known daemons of this zone, this one included.

        Daemons that are silent count, those that shut down do not.
        """
        if self.zone_size_version != self.membership_version:
            self.zone_size_version = self.membership_version
            self.zone_size = sum(
                zone == self.local_member.zone
                for zone in self.known_zones.values()
            )
        return self.zone_size

    def report_delay_seconds(self) -> float:
        """Return the time within which other daemons report admissions.

        It is 0 in a zone that is small enough for daemons to report to each
        other directly.
        """
        is_direct = self.local_zone_size() <= hub_selector.MAX_DIRECT_PEERS + 1
        return 0 if is_direct else HUB_REPORT_SECONDS

    def same_zone_hashes(self) -> list[int]:
        """Return the hashes of all daemons in the same zone, this one first."""
        hashes = [
            name_hash
            for name_hash, peer in self.peers.items()
            if peer.member.zone == self.local_member.zone
        ]
        return [digest.hash_name(self.local_member.name), *hashes]

    def other_zone_hosts(self) -> list[str]:
        """Return the host of one random daemon in each other zone.

        Daemons that reported recently are preferred.
        """
        by_zone: dict[str, list[Peer]] = {}
        for peer in self.peers.values():
            if peer.member.zone != self.local_member.zone:
                by_zone.setdefault(peer.member.zone, []).append(peer)
        return [
            self.choose_peer(peers).member.host for peers in by_zone.values()
        ]

    def choose_peer(self, peers: abc.Sequence[Peer]) -> Peer:
        """Choose a random peer, preferably one that reported recently.

        In a zone with more than MAX_DIRECT_PEERS daemons a hub is chosen,
        unless no hub reported recently.
        """
        horizon = clock.monotonic() - IN_TOUCH_TIMEOUT_SECONDS
        recent_peers = [
            peer for peer in peers if peer.last_received_at >= horizon
        ]
        if len(peers) > hub_selector.MAX_DIRECT_PEERS:
            hub_count = hub_selector.hub_count(len(peers))
            hubs = sorted(peers, key=peer_hash)[:hub_count]
            recent_hubs = [
                peer for peer in hubs if peer.last_received_at >= horizon
            ]
            return self.rng.choice(recent_hubs or recent_peers or peers)
        return self.rng.choice(recent_peers or peers)


def peer_hash(peer: Peer) -> int:
    """Return the hash of the name of a peer."""
    return digest.hash_name(peer.member.name)
