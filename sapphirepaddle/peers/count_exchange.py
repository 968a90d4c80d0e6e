"""Exchange of request and result counts between daemons."""

import asyncio
import dataclasses
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import directory
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import (
    cold_exchange,
    contact,
    datagrams,
    digest,
    digest_bundler,
    digest_receiver,
    fleet,
    hub_selector,
    introduction_exchange,
    leaving_exchange,
    notices,
    peer_totals,
    quota_exchange,
    unsent_changes,
)
from sapphirepaddle.routing import candidate

SAME_ZONE_BATCH_SECONDS: typing.Final = 0.05
"""Interval over which changes are batched for peers in the same zone. Hubs
send their bundles at the same interval."""
MAX_SHORT_BATCH_PEERS: typing.Final = 24
"""Number of peers in the zone above which the interval grows in proportion:
what each daemon receives would otherwise grow with the size of the zone."""
OTHER_ZONE_SHORT_BATCH_SECONDS: typing.Final = 0.2
"""Batch interval for other zones when a delay may cause wrong decisions.
Traffic between zones is expensive, so it is longer than within a zone; a bad
result is sent immediately."""
OTHER_ZONE_BATCH_SECONDS: typing.Final = 1.5
"""Batch interval for other zones when nothing is urgent: good results, and
admissions of accounts that are far from their quota."""
SAME_ZONE_HEARTBEAT_SECONDS: typing.Final = 1.0
"""Longest time without a datagram to peers in the same zone."""
OTHER_ZONE_HEARTBEAT_SECONDS: typing.Final = 2.0
"""Longest time without a datagram to other zones."""
REPEAT_SECONDS: typing.Final = 1.0
"""Interval at which the counts of used accounts are sent again."""


class CountExchange:
    """Sends the local counts to other daemons and applies theirs.

    Attributes:
        directory: Targets and retry budgets.
        quotas: Quotas of the client accounts.
        fleet: The known daemons.
        datagrams: The UDP endpoint; None until it is open.
        same_zone_changes: Unsent changes for peers in the same zone.
        other_zone_changes: Unsent changes for other zones.
        hub_selector: Chooses the hub that forwards digests in a large zone.
        digest_bundler: Digests that this daemon forwards as a hub.
        introduction_exchange: Introduces this daemon to others.
        leaving_exchange: Reports targets that state that they leave.
        quota_exchange: Tells daemons that start the tokens of accounts.
        digest_receiver: Applies the digests of other daemons.
        is_leaving: Whether this daemon is shutting down.
        read_contact_ages: Returns the ages of the contact with the source.
        on_registration_changes: Called with changes that a reader relays.
        read_targets_fingerprint: Returns the fingerprint of the
            registrations that this daemon knows.
        read_zones_mark: Returns the fingerprint of the emptied zones that it
            knows.
        on_zone_state: Called with the state of the zones that a daemon sends.
        cold_exchange: Reports targets that turned cold.
    """

    def __init__(
        self,
        target_directory: directory.Directory,
        quotas: account_quotas.AccountQuotas,
        peer_fleet: fleet.Fleet,
    ) -> None:
        """Initialize with no unsent changes and no open endpoint."""
        self.directory = target_directory
        self.quotas = quotas
        self.fleet = peer_fleet
        self.datagrams: datagrams.DatagramEndpoint | None = None
        self.same_zone_changes = unsent_changes.UnsentChanges()
        self.other_zone_changes = unsent_changes.UnsentChanges()
        self.hub_selector = hub_selector.HubSelector(
            digest.hash_name(peer_fleet.local_member.name)
        )
        self.digest_bundler = digest_bundler.DigestBundler()
        self.introduction_exchange = introduction_exchange.IntroductionExchange(
            peer_fleet, self.transmit
        )
        self.digest_receiver = digest_receiver.DigestReceiver(
            target_directory, quotas, peer_fleet
        )
        self.leaving_exchange = leaving_exchange.LeavingExchange(
            peer_fleet, self.digest_receiver, self.transmit
        )
        self.quota_exchange = quota_exchange.QuotaExchange(
            quotas, self.digest_receiver, self.transmit
        )
        self.introduction_exchange.on_asked = self.quota_exchange.send_levels
        self.is_leaving = False
        self.read_contact_ages: abc.Callable[[], contact.ContactAges] = (
            long_contact
        )
        self.on_registration_changes: abc.Callable[
            [digest.RegistrationChanges], None
        ] = ignore_changes
        self.read_targets_fingerprint: abc.Callable[[], int] = empty_fingerprint
        self.read_zones_mark: abc.Callable[[], int] = empty_fingerprint
        self.on_zone_state: abc.Callable[[notices.ZoneState], None] = (
            ignore_zone_state
        )
        self.cold_exchange = cold_exchange.ColdExchange(
            peer_fleet, self.digest_receiver, self.transmit
        )

    def record_send_start(self, target: candidate.Candidate) -> None:
        """Record that a request is being sent to a target.

        Other zones rarely send to this target, so they learn of the request
        only with its result.
        """
        self.same_zone_changes.targets[target.registration.name] = None
        self.same_zone_changes.services[target.registration.service] = None

    def record_send_end(
        self, target: candidate.Candidate, is_bad: bool
    ) -> None:
        """Record the end of a request; a bad result is sent immediately."""
        name = target.registration.name
        service = target.registration.service
        for changes in (self.same_zone_changes, self.other_zone_changes):
            changes.targets[name] = None
            changes.services[service] = None
            changes.must_send_immediately = (
                changes.must_send_immediately or is_bad
            )

    def record_admission(self, account_name: str) -> None:
        """Record an admission of an account.

        Other zones are informed with the short interval if all zones
        together may exhaust the burst before they learn of each other's
        admissions.
        """
        self.same_zone_changes.accounts[account_name] = None
        self.other_zone_changes.accounts[account_name] = None
        zones = self.fleet.zone_count()
        if self.quotas.buckets[account_name].used_share() * (zones + 1) > 1:
            self.other_zone_changes.use_short_interval = True

    def record_retry(self, service: str) -> None:
        """Record a retry, which counts against the fleet-wide retry budget."""
        self.same_zone_changes.services[service] = None
        self.other_zone_changes.services[service] = None
        self.other_zone_changes.use_short_interval = True

    def request_immediate_send(self) -> None:
        """Send to the same zone at the next opportunity.

        Used by a daemon that reads the source on behalf of its zone, after a
        change: the others learn of it from the digest.
        """
        self.same_zone_changes.must_send_immediately = True

    async def run(self) -> None:
        """Send due changes until the task is cancelled."""
        while True:
            await asyncio.sleep(SAME_ZONE_BATCH_SECONDS)
            self.send_due(clock.monotonic())

    def send_due(self, now: float) -> None:
        """Send the datagrams that are due."""
        hosts = self.fleet.same_zone_hosts()
        zone_factor = max(1, len(hosts) / MAX_SHORT_BATCH_PEERS)
        if self.same_zone_changes.is_due(
            now,
            SAME_ZONE_BATCH_SECONDS * zone_factor,
            SAME_ZONE_HEARTBEAT_SECONDS,
        ):
            self.send_to_same_zone(now, hosts)
        batch_seconds = OTHER_ZONE_BATCH_SECONDS
        if self.other_zone_changes.use_short_interval:
            batch_seconds = OTHER_ZONE_SHORT_BATCH_SECONDS
        if self.other_zone_changes.is_due(
            now, batch_seconds, OTHER_ZONE_HEARTBEAT_SECONDS
        ):
            self.send_changes(
                self.other_zone_changes,
                self.fleet.other_zone_hosts(),
                now,
                is_forwarded=True,
            )
        self.send_bundles(now)

    def send_to_same_zone(self, now: float, hosts: abc.Sequence[str]) -> None:
        """Send the changes to the same zone, through a hub if it is large.

        A bad result and the shutdown of this daemon go to all peers
        directly.

        Args:
            now: Monotonic time.
            hosts: Hosts of the other daemons of the zone.
        """
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
            self.same_zone_changes.last_sent_at = now
            self.digest_bundler.add(self.build_digest(self.same_zone_changes))
            return
        self.hub_selector.record_sent(self.same_zone_changes, now)
        host = self.fleet.peers[hub].member.host
        self.send_changes(
            self.same_zone_changes, (host,), now, is_forwarded=True
        )

    def send_bundles(self, now: float) -> None:
        """Send the digests that this daemon forwards as a hub."""
        hosts = self.fleet.same_zone_hosts()
        interval_seconds = SAME_ZONE_BATCH_SECONDS * hub_selector.bundle_factor(
            len(hosts) + 1
        )
        if not self.digest_bundler.is_due(now, interval_seconds):
            return
        for body in self.digest_bundler.drain_bundles(now):
            self.transmit(body, hosts)

    def send_changes(
        self,
        changes: unsent_changes.UnsentChanges,
        hosts: abc.Sequence[str],
        now: float,
        is_forwarded: bool = False,
    ) -> None:
        """Send a digest of the changes to hosts and reset their urgency.

        Args:
            changes: The changes, which are removed.
            hosts: Hosts of the receivers.
            now: Monotonic time.
            is_forwarded: Whether each receiver forwards the digest within its
                zone.
        """
        changes.last_sent_at = now
        changes.must_send_immediately = False
        changes.use_short_interval = False
        self.transmit(self.build_digest(changes, is_forwarded), hosts)

    def transmit(self, body: digest.Body, hosts: abc.Sequence[str]) -> None:
        """Send a datagram to hosts; does nothing without an endpoint."""
        if self.datagrams is not None:
            self.datagrams.send(body, hosts)

    def build_digest(
        self,
        changes: unsent_changes.UnsentChanges,
        is_forwarded: bool = False,
    ) -> digest.Digest:
        """Return a digest of the changes and remove them.

        Args:
            changes: The changes; counts above the maximum for one digest stay.
            is_forwarded: Whether the receiver forwards the digest within its
                zone.
        """
        ages = self.read_contact_ages()
        return digest.Digest(
            sender=digest.hash_name(self.fleet.local_member.name),
            start=self.fleet.local_member.incarnation
            % digest_receiver.INCARNATION_MODULUS,
            is_forwarded=is_forwarded,
            is_leaving=self.is_leaving,
            version=self.directory.version,
            contact_age=ages.contact,
            verified_age=ages.verified,
            answer_age=ages.answer,
            targets_mark=self.read_targets_fingerprint(),
            targets=tuple(self.drain_target_counts(changes.targets)),
            accounts=tuple(self.drain_account_counts(changes)),
            services=tuple(self.drain_service_counts(changes.services)),
            zones_mark=self.read_zones_mark(),
        )

    def drain_target_counts(
        self, names: unsent_changes.OrderedNames
    ) -> abc.Iterator[digest.TargetCount]:
        """Remove names of targets and yield their current counts."""
        for name in unsent_changes.pop_first(names):
            target = self.directory.find_target(name)
            if target is not None:
                yield digest.TargetCount(
                    digest.hash_name(name),
                    target.local_good % peer_totals.COUNT_MODULUS,
                    target.local_bad % peer_totals.COUNT_MODULUS,
                    target.local_outstanding,
                )

    def drain_account_counts(
        self, changes: unsent_changes.UnsentChanges
    ) -> abc.Iterator[digest.AccountCount]:
        """Remove names of accounts and yield their current counts.

        A digest advances the fleet time of its receivers, which refills their
        buckets. As earlier digests may have been lost, the counts of accounts
        whose bucket is not full are sent again at intervals.
        """
        names = unsent_changes.pop_first(changes.accounts)
        now = clock.monotonic()
        if now - changes.repeated_at >= REPEAT_SECONDS:
            changes.repeated_at = now
            names.extend(self.select_repeated_accounts(names))
        for name in names:
            admitted = self.quotas.buckets[name].admitted
            yield digest.AccountCount(
                digest.hash_name(name),
                admitted % peer_totals.COUNT_MODULUS,
            )

    def select_repeated_accounts(self, changed_names: list[str]) -> list[str]:
        """Return used accounts that fit into a digest beside changed ones."""
        names = sorted(self.quotas.read_used_accounts() - set(changed_names))
        free_count = unsent_changes.MAX_COUNTS_PER_KIND - len(changed_names)
        if len(names) > free_count:
            return self.fleet.rng.sample(names, free_count)
        return names

    def drain_service_counts(
        self,
        names: unsent_changes.OrderedNames,
    ) -> abc.Iterator[digest.ServiceCount]:
        """Remove names of services and yield their current counts."""
        for name in unsent_changes.pop_first(names):
            budget = self.directory.retry_budget(name)
            yield digest.ServiceCount(
                digest.hash_name(name),
                budget.requests % peer_totals.COUNT_MODULUS,
                budget.retries % peer_totals.COUNT_MODULUS,
            )

    def handle_datagram(self, body: digest.Body, host: str) -> None:
        """Process a received datagram.

        Args:
            body: The decoded datagram.
            host: Host that sent it.
        """
        if isinstance(body, digest.Digest):
            if body.is_forwarded:
                self.forward_digest(body)
            self.handle_digest(body, host)
        elif isinstance(body, digest.Bundle):
            for bundled_digest in body.digests:
                self.handle_digest(bundled_digest, host)
        else:
            self.notice_handlers[type(body)](body)

    @property
    def notice_handlers(
        self,
    ) -> dict[type, abc.Callable[[typing.Any], None]]:
        """Return the handlers of the datagrams that contain no counts."""
        return {
            digest.Hello: self.introduction_exchange.handle_hello,
            digest.RegistrationChanges: self.on_registration_changes,
            digest.LeavingNotice: self.leaving_exchange.handle_notice,
            notices.ColdNotice: self.cold_exchange.handle_notice,
            notices.ZoneState: self.on_zone_state,
            notices.QuotaLevels: self.quota_exchange.handle_levels,
        }

    def handle_digest(self, body: digest.Digest, host: str) -> None:
        """Apply a digest, or record the echo of one sent by this daemon."""
        if body.sender == self.hub_selector.local_hash:
            self.hub_selector.record_echo()
        else:
            self.digest_receiver.handle_digest(body, host)

    def forward_digest(self, body: digest.Digest) -> None:
        """Forward a digest to the other daemons in the same zone."""
        forwarded = dataclasses.replace(body, is_forwarded=False)
        hosts = self.fleet.same_zone_hosts()
        if len(hosts) > hub_selector.MAX_DIRECT_PEERS:
            self.digest_bundler.add(forwarded)
        else:
            self.transmit(forwarded, hosts)


def ignore_changes(_changes: digest.RegistrationChanges) -> None:
    """Do nothing: by default relayed changes are ignored."""


def ignore_zone_state(_state: notices.ZoneState) -> None:
    """Do nothing: by default the state of the zones is ignored."""


def empty_fingerprint() -> int:
    """Return the fingerprint that stands for no registrations."""
    return 0


def long_contact() -> contact.ContactAges:
    """Return the ages of a long contact whose answers are not known."""
    return contact.LONG_CONTACT
