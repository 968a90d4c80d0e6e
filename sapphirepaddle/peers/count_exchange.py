"""Pooling of counts between daemons."""

import asyncio
import dataclasses
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import directory
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import (
    digest_bundler,
    unsent_changes,
    datagrams,
    digest,
    fleet,
    introduction_exchange,
    peer_totals,
    hub_selector,
    digest_receiver,
)
from sapphirepaddle.routing import candidate

SAME_ZONE_BATCH_SECONDS: typing.Final = 0.05
"""Time in which changes are gathered for the daemons of the own zone."""
OTHER_ZONE_SHORT_BATCH_SECONDS: typing.Final = 0.2
"""The same for other zones, where bytes are dear, if it is pressing; a bad
result goes at once."""
OTHER_ZONE_BATCH_SECONDS: typing.Final = 1.5
"""The same if nothing is pressing: good results and admissions of accounts
that are far from their quota."""
SAME_ZONE_HEARTBEAT_SECONDS: typing.Final = 1.0
"""Longest silence towards the own zone."""
OTHER_ZONE_HEARTBEAT_SECONDS: typing.Final = 2.0
"""Longest silence towards other zones."""


class CountExchange:
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
        self.datagrams: datagrams.DatagramEndpoint | None = None
        self.same_zone_changes = unsent_changes.UnsentChanges()
        self.other_zone_changes = unsent_changes.UnsentChanges()
        self.hub_selector = hub_selector.HubSelector(
            digest.hash_name(others.local_member.name)
        )
        self.digest_bundler = digest_bundler.DigestBundler()
        self.introduction_exchange = introduction_exchange.IntroductionExchange(
            others, self.transmit
        )
        self.digest_receiver = digest_receiver.DigestReceiver(
            known, limits, others
        )
        self.is_leaving = False
        self.read_contact_age: abc.Callable[[], int] = never_lost_age
        self.read_targets_fingerprint: abc.Callable[[], int] = empty_fingerprint

    def record_send_start(self, held: candidate.Candidate) -> None:
        """Take in that a request was sent to a target.

        Other zones learn it with the result: they rarely send there.
        """
        self.same_zone_changes.targets[held.registration.name] = None
        self.same_zone_changes.services[held.registration.service] = None

    def record_send_end(self, held: candidate.Candidate, is_bad: bool) -> None:
        """Take in the end of a request at a target."""
        name = held.registration.name
        service = held.registration.service
        for changed in (self.same_zone_changes, self.other_zone_changes):
            changed.targets[name] = None
            changed.services[service] = None
            changed.must_send_immediately = (
                changed.must_send_immediately or is_bad
            )

    def record_admission(self, name: str) -> None:
        """Take in an admission of an account.

        Other zones must hear of it soon if all zones together may have used
        up the burst before they hear of each other.
        """
        self.same_zone_changes.accounts[name] = None
        self.other_zone_changes.accounts[name] = None
        zones = self.fleet.zone_count()
        if self.quotas.buckets[name].used_share() * (zones + 1) > 1:
            self.other_zone_changes.use_short_interval = True

    def record_retry(self, service: str) -> None:
        """Take in a repeat, which the whole fleet has a budget for."""
        self.same_zone_changes.services[service] = None
        self.other_zone_changes.services[service] = None
        self.other_zone_changes.use_short_interval = True

    def request_immediate_send(self) -> None:
        """Take in that the own zone waits for what this daemon has read."""
        self.same_zone_changes.must_send_immediately = True

    async def run(self) -> None:
        """Send what changed, for good."""
        while True:
            await asyncio.sleep(SAME_ZONE_BATCH_SECONDS)
            self.send_due(clock.monotonic())

    def send_due(self, now: float) -> None:
        """Send the datagrams that are due."""
        if self.same_zone_changes.is_due(
            now, SAME_ZONE_BATCH_SECONDS, SAME_ZONE_HEARTBEAT_SECONDS
        ):
            self.send_to_same_zone(now)
        gather = OTHER_ZONE_BATCH_SECONDS
        if self.other_zone_changes.use_short_interval:
            gather = OTHER_ZONE_SHORT_BATCH_SECONDS
        if self.other_zone_changes.is_due(
            now, gather, OTHER_ZONE_HEARTBEAT_SECONDS
        ):
            hosts = self.fleet.other_zone_hosts()
            self.send_changes(
                self.other_zone_changes, hosts, now, is_forwarded=True
            )
        self.send_bundles()

    def send_to_same_zone(self, now: float) -> None:
        """Tell the own zone what changed, by a hub if it is large.

        A bad result, and that this daemon leaves, go to all directly.
        """
        hosts = self.fleet.same_zone_hosts()
        is_direct = (
            len(hosts) <= hub_selector.MAX_DIRECT_PEERS
            or self.same_zone_changes.must_send_immediately
            or self.is_leaving
            or not self.hub_selector.check_hub(self.same_zone_changes, now)
        )
        if is_direct:
            self.send_changes(self.same_zone_changes, hosts, now)
            return
        hub = self.hub_selector.choose(self.fleet.same_zone_hashes())
        if hub == self.hub_selector.local_hash:
            self.same_zone_changes.sent = now
            self.digest_bundler.add(self.build_digest(self.same_zone_changes))
            return
        self.hub_selector.record_sent(self.same_zone_changes, now)
        host = self.fleet.peers[hub].member.host
        self.send_changes(
            self.same_zone_changes, (host,), now, is_forwarded=True
        )

    def send_bundles(self) -> None:
        """Send on what others gave to this daemon as a hub."""
        for body in self.digest_bundler.drain_bundles():
            self.transmit(body, self.fleet.same_zone_hosts())

    def send_changes(
        self,
        changed: unsent_changes.UnsentChanges,
        hosts: abc.Sequence[str],
        now: float,
        is_forwarded: bool = False,
    ) -> None:
        """Send what changed to some daemons."""
        changed.sent = now
        changed.must_send_immediately = False
        changed.use_short_interval = False
        self.transmit(self.build_digest(changed, is_forwarded), hosts)

    def transmit(self, body: digest.Body, hosts: abc.Sequence[str]) -> None:
        """Send a datagram to some daemons."""
        if self.datagrams is not None:
            self.datagrams.send(body, hosts)

    def build_digest(
        self,
        changed: unsent_changes.UnsentChanges,
        is_forwarded: bool = False,
    ) -> digest.Digest:
        """Return a digest of what changed, which is taken out."""
        return digest.Digest(
            sender=digest.hash_name(self.fleet.local_member.name),
            start=self.fleet.local_member.incarnation
            % digest_receiver.INCARNATION_MODULUS,
            is_forwarded=is_forwarded,
            is_leaving=self.is_leaving,
            version=self.directory.version,
            contact_age=self.read_contact_age(),
            targets_mark=self.read_targets_fingerprint(),
            targets=tuple(self.drain_target_counts(changed.targets)),
            accounts=tuple(self.drain_account_counts(changed.accounts)),
            services=tuple(self.drain_service_counts(changed.services)),
        )

    def drain_target_counts(
        self, names: unsent_changes.OrderedNames
    ) -> abc.Iterator[digest.TargetCount]:
        """Take the counts of changed targets."""
        for name in unsent_changes.pop_first(names):
            held = self.directory.find_target(name)
            if held is not None:
                yield digest.TargetCount(
                    digest.hash_name(name),
                    held.local_good % peer_totals.COUNT_MODULUS,
                    held.local_bad % peer_totals.COUNT_MODULUS,
                    held.local_outstanding,
                )

    def drain_account_counts(
        self,
        names: unsent_changes.OrderedNames,
    ) -> abc.Iterator[digest.AccountCount]:
        """Take the counts of changed accounts."""
        for name in unsent_changes.pop_first(names):
            admitted = self.quotas.buckets[name].admitted
            yield digest.AccountCount(
                digest.hash_name(name),
                admitted % peer_totals.COUNT_MODULUS,
            )

    def drain_service_counts(
        self,
        names: unsent_changes.OrderedNames,
    ) -> abc.Iterator[digest.ServiceCount]:
        """Take the counts of changed services."""
        for name in unsent_changes.pop_first(names):
            held = self.directory.retry_budget(name)
            yield digest.ServiceCount(
                digest.hash_name(name),
                held.requests % peer_totals.COUNT_MODULUS,
                held.retries % peer_totals.COUNT_MODULUS,
            )

    def handle_datagram(self, body: digest.Body, host: str) -> None:
        """Take up a datagram."""
        if isinstance(body, digest.Hello):
            self.introduction_exchange.handle_hello(body)
            return
        if isinstance(body, digest.Bundle):
            for held in body.digests:
                self.handle_digest(held, host)
            return
        if body.is_forwarded:
            self.forward_digest(body)
        self.handle_digest(body, host)

    def handle_digest(self, body: digest.Digest, host: str) -> None:
        """Take up a digest, unless it is an own one that came back."""
        if body.sender == self.hub_selector.local_hash:
            self.hub_selector.record_echo()
        else:
            self.digest_receiver.handle_digest(body, host)

    def forward_digest(self, body: digest.Digest) -> None:
        """Hand a digest on in the own zone."""
        final = dataclasses.replace(body, is_forwarded=False)
        hosts = self.fleet.same_zone_hosts()
        if len(hosts) > hub_selector.MAX_DIRECT_PEERS:
            self.digest_bundler.add(final)
        else:
            self.transmit(final, hosts)


def empty_fingerprint() -> int:
    """Return the fingerprint of no registrations."""
    return 0


def never_lost_age() -> int:
    """Return the age of a contact that never was lost."""
    return digest.LONG_AGO
