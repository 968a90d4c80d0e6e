"""Pooling of counts between daemons."""

import asyncio
import dataclasses
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import directory
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import (
    bundling,
    changes,
    datagrams,
    digest,
    fleet,
    greeting,
    heard,
    uplink,
    uptake,
)
from sapphirepaddle.routing import candidate

GATHER_SECONDS: typing.Final = 0.05
"""Time in which changes are gathered for the daemons of the own zone."""
FAR_GATHER_SECONDS: typing.Final = 0.2
"""The same for other zones, where bytes are dear, if it is pressing; a bad
result goes at once."""
FAR_QUIET_SECONDS: typing.Final = 1.5
"""The same if nothing is pressing: good results and admissions of accounts
that are far from their quota."""
BEAT_SECONDS: typing.Final = 1.0
"""Longest silence towards the own zone."""
FAR_BEAT_SECONDS: typing.Final = 2.0
"""Longest silence towards other zones."""


class Pooling:
    """Tells other daemons the own counts and takes up theirs.

    Attributes:
        directory: Targets and budgets.
        quotas: Quota of client accounts.
        fleet: The other daemons.
        datagrams: The socket.
        near: Changes for the own zone.
        far: Changes for other zones.
        uplink: The way to a large zone.
        bundling: Digests that this daemon sends on as a hub.
        greeting: Introduces this daemon.
        uptake: Takes up what the others tell.
        is_leaving: Whether this daemon stops.
        read_contact_age: Returns the own age of contact with the source.
        read_targets_mark: Returns the fingerprint of the own registrations.
    """

    def __init__(
        self,
        known: directory.Directory,
        limits: account_quotas.AccountQuotas,
        others: fleet.Fleet,
    ) -> None:
        """Start without changes."""
        self.directory = known
        self.quotas = limits
        self.fleet = others
        self.datagrams: datagrams.Datagrams | None = None
        self.near = changes.Changes()
        self.far = changes.Changes()
        self.uplink = uplink.Uplink(digest.hash_name(others.own.name))
        self.bundling = bundling.Bundling()
        self.greeting = greeting.Greeting(others, self.transmit)
        self.uptake = uptake.Uptake(known, limits, others)
        self.is_leaving = False
        self.read_contact_age: abc.Callable[[], int] = never_lost
        self.read_targets_mark: abc.Callable[[], int] = nothing_known

    def note_start(self, held: candidate.Candidate) -> None:
        """Take in that a request was sent to a target.

        Other zones learn it with the result: they rarely send there.
        """
        self.near.targets[held.registration.name] = None
        self.near.services[held.registration.service] = None

    def note_end(self, held: candidate.Candidate, is_bad: bool) -> None:
        """Take in the end of a request at a target."""
        name = held.registration.name
        service = held.registration.service
        for changed in (self.near, self.far):
            changed.targets[name] = None
            changed.services[service] = None
            changed.is_urgent = changed.is_urgent or is_bad

    def note_account(self, name: str) -> None:
        """Take in an admission of an account.

        Other zones must hear of it soon if all zones together may have used
        up the burst before they hear of each other.
        """
        self.near.accounts[name] = None
        self.far.accounts[name] = None
        zones = self.fleet.zone_count()
        if self.quotas.buckets[name].used_share() * (zones + 1) > 1:
            self.far.is_pressing = True

    def note_repeat(self, service: str) -> None:
        """Take in a repeat, which the whole fleet has a budget for."""
        self.near.services[service] = None
        self.far.services[service] = None
        self.far.is_pressing = True

    def note_news(self) -> None:
        """Take in that the own zone waits for what this daemon has read."""
        self.near.is_urgent = True

    async def run(self) -> None:
        """Send what changed, for good."""
        while True:
            await asyncio.sleep(GATHER_SECONDS)
            self.send_due(clock.monotonic())

    def send_due(self, now: float) -> None:
        """Send the datagrams that are due."""
        if self.near.is_due(now, GATHER_SECONDS, BEAT_SECONDS):
            self.send_near(now)
        gather = FAR_QUIET_SECONDS
        if self.far.is_pressing:
            gather = FAR_GATHER_SECONDS
        if self.far.is_due(now, gather, FAR_BEAT_SECONDS):
            hosts = self.fleet.hosts_of_other_zones()
            self.send(self.far, hosts, now, is_forwarded=True)
        self.send_bundles()

    def send_near(self, now: float) -> None:
        """Tell the own zone what changed, by a hub if it is large.

        A bad result, and that this daemon leaves, go to all directly.
        """
        hosts = self.fleet.hosts_of_zone()
        is_direct = (
            len(hosts) <= uplink.MOST_DIRECT
            or self.near.is_urgent
            or self.is_leaving
            or not self.uplink.check(self.near, now)
        )
        if is_direct:
            self.send(self.near, hosts, now)
            return
        hub = self.uplink.choose(self.fleet.zone_keys())
        if hub == self.uplink.key:
            self.near.sent = now
            self.bundling.add(self.compose(self.near))
            return
        self.uplink.note_sent(self.near, now)
        host = self.fleet.peers[hub].member.host
        self.send(self.near, (host,), now, is_forwarded=True)

    def send_bundles(self) -> None:
        """Send on what others gave to this daemon as a hub."""
        for body in self.bundling.take():
            self.transmit(body, self.fleet.hosts_of_zone())

    def send(
        self,
        changed: changes.Changes,
        hosts: abc.Sequence[str],
        now: float,
        is_forwarded: bool = False,
    ) -> None:
        """Send what changed to some daemons."""
        changed.sent = now
        changed.is_urgent = False
        changed.is_pressing = False
        self.transmit(self.compose(changed, is_forwarded), hosts)

    def transmit(self, body: digest.Body, hosts: abc.Sequence[str]) -> None:
        """Send a datagram to some daemons."""
        if self.datagrams is not None:
            self.datagrams.send(body, hosts)

    def compose(
        self,
        changed: changes.Changes,
        is_forwarded: bool = False,
    ) -> digest.Digest:
        """Return a digest of what changed, which is taken out."""
        return digest.Digest(
            sender=digest.hash_name(self.fleet.own.name),
            start=self.fleet.own.incarnation % uptake.START_MODULUS,
            is_forwarded=is_forwarded,
            is_leaving=self.is_leaving,
            version=self.directory.version,
            contact_age=self.read_contact_age(),
            targets_mark=self.read_targets_mark(),
            targets=tuple(self.take_targets(changed.targets)),
            accounts=tuple(self.take_accounts(changed.accounts)),
            services=tuple(self.take_services(changed.services)),
        )

    def take_targets(
        self, names: changes.Keys
    ) -> abc.Iterator[digest.TargetCount]:
        """Take the counts of changed targets."""
        for name in changes.take_first(names):
            held = self.directory.find(name)
            if held is not None:
                yield digest.TargetCount(
                    digest.hash_name(name),
                    held.local_good % heard.COUNT_MODULUS,
                    held.local_bad % heard.COUNT_MODULUS,
                    held.local_outstanding,
                )

    def take_accounts(
        self,
        names: changes.Keys,
    ) -> abc.Iterator[digest.AccountCount]:
        """Take the counts of changed accounts."""
        for name in changes.take_first(names):
            admitted = self.quotas.buckets[name].admitted
            yield digest.AccountCount(
                digest.hash_name(name),
                admitted % heard.COUNT_MODULUS,
            )

    def take_services(
        self,
        names: changes.Keys,
    ) -> abc.Iterator[digest.ServiceCount]:
        """Take the counts of changed services."""
        for name in changes.take_first(names):
            held = self.directory.budget(name)
            yield digest.ServiceCount(
                digest.hash_name(name),
                held.requests % heard.COUNT_MODULUS,
                held.repeats % heard.COUNT_MODULUS,
            )

    def receive(self, body: digest.Body, host: str) -> None:
        """Take up a datagram."""
        if isinstance(body, digest.Hello):
            self.greeting.receive(body)
            return
        if isinstance(body, digest.Bundle):
            for held in body.digests:
                self.take_up(held, host)
            return
        if body.is_forwarded:
            self.hand_on(body)
        self.take_up(body, host)

    def take_up(self, body: digest.Digest, host: str) -> None:
        """Take up a digest, unless it is an own one that came back."""
        if body.sender == self.uplink.key:
            self.uplink.note_echo()
        else:
            self.uptake.take_up(body, host)

    def hand_on(self, body: digest.Digest) -> None:
        """Hand a digest on in the own zone."""
        final = dataclasses.replace(body, is_forwarded=False)
        hosts = self.fleet.hosts_of_zone()
        if len(hosts) > uplink.MOST_DIRECT:
            self.bundling.add(final)
        else:
            self.transmit(final, hosts)


def nothing_known() -> int:
    """Return the fingerprint of no registrations."""
    return 0


def never_lost() -> int:
    """Return the age of a contact that never was lost."""
    return digest.LONG_AGO
