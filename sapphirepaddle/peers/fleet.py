"""The daemons of the fleet as one of them knows them."""

import random
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import member
from sapphirepaddle.peers import digest, hub_selector
from sapphirepaddle.telemetry import logs

IN_TOUCH_TIMEOUT_SECONDS: typing.Final = 4.0
"""Silence after which a daemon counts as out of touch; it reports every
second or two."""
ISOLATION_TIMEOUT_SECONDS: typing.Final = 1.5
"""Silence of all daemons after which this one counts as cut off: each of
its zone reports every second."""
MAX_SHARED_OUTAGE_AGE_TENTHS: typing.Final = 100
"""Age of a regained contact, in tenths of a second, up to which it belongs
to the same outage."""
READERS_PER_ZONE: typing.Final = 2
"""Daemons of a zone that read the source for the others."""
MAX_READER_SILENCE_SECONDS: typing.Final = 1.3
"""Silence after which a daemon does not count as a reader: it reports every
second, and its word may pass a hub."""
REMOVAL_TIMEOUT_SECONDS: typing.Final = 45.0
"""Silence after which a daemon counts as gone."""


class Peer:
    """One other daemon.

    Attributes:
        member: How it introduced itself.
        heard: When something of it was heard last.
        contact_age: Tenths of a second since it had the source back.
        targets_mark: Fingerprint of the registrations that it knows.
    """

    def __init__(self, held: member.Member, now: float) -> None:
        """Start as heard."""
        self.member = held
        self.last_heard_at = now
        self.contact_age = digest.LONG_AGO
        self.targets_fingerprint = 0


class Fleet:
    """Other daemons by the hash of their names.

    Attributes:
        own: This daemon.
        peers: The others.
        heard: When anything was heard last.
        covered: Fleet time up to the last count; see elapsed().
        counted: When the own part of it was counted last.
        chance: Source of randomness.
        logger: Log of who joins and leaves.
    """

    def __init__(self, own: member.Member) -> None:
        """Start alone."""
        self.local_member = own
        self.peers: dict[int, Peer] = {}
        self.last_heard_at = clock.monotonic()
        self.elapsed_fleet_seconds: float = 0
        self.local_time_counted_at = self.last_heard_at
        self.rng = random.Random()
        self.logger = logs.get_logger('fleet')

    def add(self, held: member.Member) -> bool:
        """Take up a daemon.

        Returns:
            Whether it, or this start of it, was unknown.
        """
        key = digest.hash_name(held.name)
        known = self.peers.get(key)
        if held.name == self.local_member.name:
            return False
        if known is not None and known.member.incarnation >= held.incarnation:
            return False
        self.peers[key] = Peer(held, clock.monotonic())
        self.logger.info(
            'member joined',
            member=held.name,
            zone=held.zone,
            incarnation=held.incarnation,
            members=len(self.peers) + 1,
        )
        return True

    def remove(self, key: int, reason: str) -> None:
        """Drop a daemon that left."""
        known = self.peers.pop(key, None)
        if known is not None:
            self.logger.info(
                'member left',
                member=known.member.name,
                reason=reason,
                members=len(self.peers) + 1,
            )

    def record_contact(
        self,
        key: int,
        contact_age: int = digest.LONG_AGO,
        targets_mark: int = 0,
    ) -> None:
        """Take in that something of a daemon was heard."""
        self.last_heard_at = clock.monotonic()
        known = self.peers.get(key)
        if known is not None:
            silence = self.last_heard_at - known.last_heard_at
            if silence <= IN_TOUCH_TIMEOUT_SECONDS:
                self.elapsed_fleet_seconds += silence / self.size
            known.last_heard_at = self.last_heard_at
            known.contact_age = contact_age
            known.targets_fingerprint = targets_mark

    def forget_silent(self) -> None:
        """Drop the daemons that were silent for long."""
        horizon = clock.monotonic() - REMOVAL_TIMEOUT_SECONDS
        silent = [
            key
            for key, held in self.peers.items()
            if held.last_heard_at < horizon
        ]
        for key in silent:
            self.remove(key, 'silent')

    @property
    def size(self) -> int:
        """Return the number of daemons, this one included."""
        return len(self.peers) + 1

    def elapsed_fleet_time(self) -> float:
        """Return the fleet time: seconds that all daemons account for.

        Each daemon adds its part: this one its own time, another one the
        time up to its last report. So a part of a rate that is given out
        by this time stops at once with the reports, without a time-out;
        what a daemon reports after a long silence adds nothing.
        """
        now = clock.monotonic()
        self.elapsed_fleet_seconds += (
            now - self.local_time_counted_at
        ) / self.size
        self.local_time_counted_at = now
        return self.elapsed_fleet_seconds

    def in_touch_ratio(self) -> float:
        """Return the part of the fleet that was heard lately."""
        now = clock.monotonic()
        if now - self.last_heard_at > ISOLATION_TIMEOUT_SECONDS:
            return 1 / self.size
        horizon = now - IN_TOUCH_TIMEOUT_SECONDS
        heard = sum(
            held.last_heard_at >= horizon for held in self.peers.values()
        )
        return (heard + 1) / self.size

    def is_outage_shared(self) -> bool:
        """Tell whether most daemons that are heard lost the source lately.

        If not, this daemon alone was cut from it. It is assumed to be
        shared while nobody is heard.
        """
        horizon = clock.monotonic() - ISOLATION_TIMEOUT_SECONDS
        ages = [
            held.contact_age
            for held in self.peers.values()
            if held.last_heard_at >= horizon
        ]
        lost = sum(age < MAX_SHARED_OUTAGE_AGE_TENTHS for age in ages)
        return lost * 2 >= len(ages)

    def reader_hashes(self) -> list[int]:
        """Return the hashes of the daemons that read the source.

        They are the last of the own zone by hash, this one included, that
        were heard lately and have contact with the source.
        """
        horizon = clock.monotonic() - MAX_READER_SILENCE_SECONDS
        keys = [
            key
            for key, held in self.peers.items()
            if held.member.zone == self.local_member.zone
            and held.last_heard_at >= horizon
            and held.contact_age
        ]
        keys.append(digest.hash_name(self.local_member.name))
        return sorted(keys)[-READERS_PER_ZONE:]

    def same_zone_hosts(self) -> list[str]:
        """Return the hosts of the other daemons of the own zone."""
        return [
            held.member.host
            for held in self.peers.values()
            if held.member.zone == self.local_member.zone
        ]

    def zone_count(self) -> int:
        """Return the number of zones with a daemon."""
        zones = {held.member.zone for held in self.peers.values()}
        return len(zones | {self.local_member.zone})

    def same_zone_hashes(self) -> list[int]:
        """Return the hashes of all daemons of the own zone."""
        keys = [
            key
            for key, held in self.peers.items()
            if held.member.zone == self.local_member.zone
        ]
        return [digest.hash_name(self.local_member.name), *keys]

    def other_zone_hosts(self) -> list[str]:
        """Return the host of one daemon of each other zone.

        One that was heard lately is preferred.
        """
        by_zone: dict[str, list[Peer]] = {}
        for held in self.peers.values():
            if held.member.zone != self.local_member.zone:
                by_zone.setdefault(held.member.zone, []).append(held)
        return [self.draw(peers).member.host for peers in by_zone.values()]

    def draw(self, peers: abc.Sequence[Peer]) -> Peer:
        """Draw a daemon, one that was heard lately if there is one.

        In a large zone only hubs are drawn, unless none was heard.
        """
        horizon = clock.monotonic() - IN_TOUCH_TIMEOUT_SECONDS
        heard = [held for held in peers if held.last_heard_at >= horizon]
        if len(peers) > hub_selector.MAX_DIRECT_PEERS:
            ordered = sorted(peers, key=key_of)[: hub_selector.HUBS_PER_ZONE]
            hubs = [held for held in ordered if held.last_heard_at >= horizon]
            return self.rng.choice(hubs or heard or peers)
        return self.rng.choice(heard or peers)


def key_of(held: Peer) -> int:
    """Return the hash by which a daemon is known."""
    return digest.hash_name(held.member.name)
