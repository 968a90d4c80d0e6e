"""Application of the counts received from other daemons."""

import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import directory
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import contact, digest, fleet, peer_totals
from sapphirepaddle.routing import candidate

INCARNATION_MODULUS: typing.Final = 0x100000000
"""Incarnations are sent modulo this value, as 32 bits."""
START_TOLERANCE_MS: typing.Final = 3000
"""Milliseconds by which a daemon may have started before this one and still
counts as new: what it counted in that time may fall into the same windows."""
MAX_RESULTS_PER_COUNT: typing.Final = 8
"""Maximum number of good, or bad, results that a digest adds to a target."""


class DigestReceiver:
    """Applies the counts of other daemons to the local state.

    Attributes:
        directory: Targets and retry budgets.
        quotas: Quotas of the client accounts.
        fleet: The known daemons.
        peer_totals: Last received totals by hash of the sender's name.
        names_by_hash: Names of targets, accounts and services by hash.
        newest_version: Highest configuration version that another daemon
            has in force.
        newest_host: Host that first sent a digest with that version; it may
            be a hub.
        on_zones_mark: Called with the hash of a sender's name and the
            fingerprint of the emptied zones that it knows.
    """

    def __init__(
        self,
        target_directory: directory.Directory,
        quotas: account_quotas.AccountQuotas,
        peer_fleet: fleet.Fleet,
    ) -> None:
        """Initialize without totals or names."""
        self.directory = target_directory
        self.quotas = quotas
        self.fleet = peer_fleet
        self.peer_totals: dict[int, peer_totals.PeerTotals] = {}
        self.names_by_hash: dict[int, str] = {}
        self.newest_version = 0
        self.newest_host = ''
        self.on_zones_mark: abc.Callable[[int, int], None] = ignore_mark

    def handle_digest(self, body: digest.Digest, host: str) -> None:
        """Apply the digest of another daemon.

        Args:
            body: The digest.
            host: Host that sent the datagram, possibly a hub.
        """
        now = clock.monotonic()
        if body.version > self.newest_version:
            self.newest_version = body.version
            self.newest_host = host
        if body.is_leaving:
            self.fleet.remove(body.sender, fleet.LEAVING)
        self.fleet.record_message(
            body.sender,
            contact.ContactAges(
                body.contact_age, body.verified_age, body.answer_age
            ),
            body.targets_mark,
        )
        totals = self.peer_totals.get(body.sender)
        if totals is None or totals.incarnation != body.start:
            is_recent = self.is_started_after_local(body.start)
            totals = peer_totals.PeerTotals(body.start, now, is_recent)
            self.peer_totals[body.sender] = totals
        for target_count in body.targets:
            self.apply_target_count(body.sender, totals, target_count, now)
        for account_count in body.accounts:
            increase = totals.record_total(
                'a', account_count.account, account_count.admitted, now
            )
            self.quotas.record_peer_admissions(
                self.names_by_hash.get(account_count.account, ''), increase
            )
        for service_count in body.services:
            self.apply_service_count(totals, service_count, now)
        self.on_zones_mark(body.sender, body.zones_mark)

    def knows_newer_version(self) -> bool:
        """Return whether another daemon has a newer configuration."""
        return self.newest_version > self.directory.version

    def is_started_after_local(self, start: int) -> bool:
        """Return whether a daemon started no earlier than this one.

        START_TOLERANCE_MS also covers the small differences between the
        clocks of VMs.

        Args:
            start: Lower 32 bits of the daemon's start time in milliseconds.
        """
        local_start = self.fleet.local_member.incarnation
        difference = (
            start - local_start + START_TOLERANCE_MS
        ) % INCARNATION_MODULUS
        return difference < INCARNATION_MODULUS // 2

    def apply_target_count(
        self,
        sender: int,
        totals: peer_totals.PeerTotals,
        count: digest.TargetCount,
        now: float,
    ) -> None:
        """Apply another daemon's results and outstanding requests."""
        target = self.directory.find_target(
            self.names_by_hash.get(count.target, '')
        )
        good = totals.record_total('g', count.target, count.good, now)
        bad = totals.record_total('b', count.target, count.bad, now)
        if target is None:
            return
        self.record_zone_requests(sender, target, good + bad, now)
        for _ in range(min(good, MAX_RESULTS_PER_COUNT)):
            target.record_result(is_good=True, now=now)
        for _ in range(min(bad, MAX_RESULTS_PER_COUNT)):
            target.record_result(is_good=False, now=now)
        if count.running:
            target.record_request(now)
        target.peer_outstanding[sender] = candidate.PeerOutstanding(
            count.running, now
        )

    def record_zone_requests(
        self,
        sender: int,
        target: candidate.Candidate,
        count: int,
        now: float,
    ) -> None:
        """Record the requests of a daemon to a target of its own zone."""
        peer = self.fleet.peers.get(sender)
        zone = target.registration.zone
        if peer is not None and peer.member.zone == zone:
            self.directory.service_targets(
                target.registration.service
            ).record_zone_requests(zone, count, now)

    def apply_service_count(
        self,
        totals: peer_totals.PeerTotals,
        count: digest.ServiceCount,
        now: float,
    ) -> None:
        """Apply another daemon's requests and retries to the budget."""
        requests = totals.record_total('r', count.service, count.requests, now)
        retries = totals.record_total('p', count.service, count.repeats, now)
        name = self.names_by_hash.get(count.service)
        if name is not None:
            self.directory.retry_budget(name).record_peer_counts(
                now, requests, retries
            )

    def register_names(self, names: abc.Iterable[str]) -> None:
        """Register names so that their hashes can be resolved."""
        self.names_by_hash.update(
            (digest.hash_name(name), name) for name in names
        )


def ignore_mark(_sender: int, _mark: int) -> None:
    """Do nothing: by default fingerprints of emptied zones are ignored."""
