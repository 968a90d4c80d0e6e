"""Taking up the counts that other daemons tell."""

import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import directory
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import digest, fleet, peer_totals
from sapphirepaddle.routing import candidate

INCARNATION_MODULUS: typing.Final = 0x100000000
"""Starts are told modulo this."""
START_TOLERANCE_MS: typing.Final = 3000
"""Milliseconds by which a daemon may be older and still counts as new: what
it counted in that time may lie in the same windows."""
MAX_RESULTS_PER_COUNT: typing.Final = 8
"""Results of one datagram that are taken up one by one."""


class DigestReceiver:
    """Adds what other daemons counted to the own knowledge.

    Attributes:
        directory: Targets and budgets.
        quotas: Quota of client accounts.
        fleet: The other daemons.
        heard: Totals of the others.
        hashes: Names by hash, for targets, accounts and services.
        newest: Highest version that another daemon has in force.
        newest_host: Host of a daemon that has it.
    """

    def __init__(
        self,
        known: directory.Directory,
        limits: account_quotas.AccountQuotas,
        others: fleet.Fleet,
    ) -> None:
        """Start without totals."""
        self.directory = known
        self.quotas = limits
        self.fleet = others
        self.peer_totals: dict[int, peer_totals.PeerTotals] = {}
        self.names_by_hash: dict[int, str] = {}
        self.newest_version = 0
        self.newest_host = ''

    def handle_digest(self, body: digest.Digest, host: str) -> None:
        """Take up the counts of another daemon.

        Args:
            body: What it tells.
            host: Who sent the datagram, which may be a hub.
        """
        now = clock.monotonic()
        if body.version > self.newest_version:
            self.newest_version = body.version
            self.newest_host = host
        if body.is_leaving:
            self.fleet.remove(body.sender, 'leaving')
        self.fleet.record_contact(
            body.sender,
            body.contact_age,
            body.targets_mark,
        )
        known = self.peer_totals.get(body.sender)
        if known is None or known.incarnation != body.start:
            is_recent = self.is_started_after_local(body.start)
            known = peer_totals.PeerTotals(body.start, now, is_recent)
            self.peer_totals[body.sender] = known
        for target in body.targets:
            self.apply_target_count(body.sender, known, target, now)
        for account in body.accounts:
            gained = known.record_total(
                'a', account.account, account.admitted, now
            )
            self.quotas.record_peer_admissions(
                self.names_by_hash.get(account.account, ''), gained
            )
        for service in body.services:
            self.apply_service_count(known, service, now)

    def is_started_after_local(self, start: int) -> bool:
        """Tell whether a daemon started no earlier than this one.

        Starts are the lower bits of milliseconds; VMs' clocks differ a
        little.
        """
        own = self.fleet.local_member.incarnation
        ahead = (start - own + START_TOLERANCE_MS) % INCARNATION_MODULUS
        return ahead < INCARNATION_MODULUS // 2

    def apply_target_count(
        self,
        sender: int,
        known: peer_totals.PeerTotals,
        count: digest.TargetCount,
        now: float,
    ) -> None:
        """Take up what another daemon saw of a target."""
        held = self.directory.find_target(
            self.names_by_hash.get(count.target, '')
        )
        good = known.record_total('g', count.target, count.good, now)
        bad = known.record_total('b', count.target, count.bad, now)
        if held is None:
            return
        for _ in range(min(good, MAX_RESULTS_PER_COUNT)):
            held.record_result(is_good=True, now=now)
        for _ in range(min(bad, MAX_RESULTS_PER_COUNT)):
            held.record_result(is_good=False, now=now)
        if count.running:
            held.record_request(now)
        held.peer_outstanding[sender] = candidate.PeerOutstanding(
            count.running, now
        )

    def apply_service_count(
        self,
        known: peer_totals.PeerTotals,
        count: digest.ServiceCount,
        now: float,
    ) -> None:
        """Take up another daemon's requests and repeats of a service."""
        requests = known.record_total('r', count.service, count.requests, now)
        repeats = known.record_total('p', count.service, count.repeats, now)
        name = self.names_by_hash.get(count.service)
        if name is not None:
            self.directory.retry_budget(name).record_peer_counts(
                now, requests, repeats
            )

    def register_names(self, names: abc.Iterable[str]) -> None:
        """Learn the hashes of names."""
        self.names_by_hash.update(
            (digest.hash_name(name), name) for name in names
        )
