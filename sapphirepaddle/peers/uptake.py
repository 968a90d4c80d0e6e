"""Taking up the counts that other daemons tell."""

import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import directory
from sapphirepaddle.limits import account_quotas
from sapphirepaddle.peers import digest, fleet, heard
from sapphirepaddle.routing import candidate

START_MODULUS: typing.Final = 0x100000000
"""Starts are told modulo this."""
AGE_TOLERANCE: typing.Final = 3000
"""Milliseconds by which a daemon may be older and still counts as new: what
it counted in that time may lie in the same windows."""
MOST_RESULTS: typing.Final = 8
"""Results of one datagram that are taken up one by one."""


class Uptake:
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
        self.heard: dict[int, heard.Heard] = {}
        self.hashes: dict[int, str] = {}
        self.newest = 0
        self.newest_host = ''

    def take_up(self, body: digest.Digest, host: str) -> None:
        """Take up the counts of another daemon.

        Args:
            body: What it tells.
            host: Who sent the datagram, which may be a hub.
        """
        now = clock.monotonic()
        if body.version > self.newest:
            self.newest = body.version
            self.newest_host = host
        if body.is_leaving:
            self.fleet.remove(body.sender, 'leaving')
        self.fleet.note_heard(
            body.sender,
            body.contact_age,
            body.targets_mark,
        )
        known = self.heard.get(body.sender)
        if known is None or known.start != body.start:
            is_recent = self.is_recent(body.start)
            known = heard.Heard(body.start, now, is_recent)
            self.heard[body.sender] = known
        for target in body.targets:
            self.take_up_target(body.sender, known, target, now)
        for account in body.accounts:
            gained = known.gain('a', account.account, account.admitted, now)
            self.quotas.record_peer_admissions(
                self.hashes.get(account.account, ''), gained
            )
        for service in body.services:
            self.take_up_service(known, service, now)

    def is_recent(self, start: int) -> bool:
        """Tell whether a daemon started no earlier than this one.

        Starts are the lower bits of milliseconds; VMs' clocks differ a
        little.
        """
        own = self.fleet.own.incarnation
        ahead = (start - own + AGE_TOLERANCE) % START_MODULUS
        return ahead < START_MODULUS // 2

    def take_up_target(
        self,
        sender: int,
        known: heard.Heard,
        count: digest.TargetCount,
        now: float,
    ) -> None:
        """Take up what another daemon saw of a target."""
        held = self.directory.find(self.hashes.get(count.target, ''))
        good = known.gain('g', count.target, count.good, now)
        bad = known.gain('b', count.target, count.bad, now)
        if held is None:
            return
        for _ in range(min(good, MOST_RESULTS)):
            held.record_result(is_good=True, now=now)
        for _ in range(min(bad, MOST_RESULTS)):
            held.record_result(is_good=False, now=now)
        if count.running:
            held.record_request(now)
        held.peer_outstanding[sender] = candidate.PeerOutstanding(
            count.running, now
        )

    def take_up_service(
        self,
        known: heard.Heard,
        count: digest.ServiceCount,
        now: float,
    ) -> None:
        """Take up another daemon's requests and repeats of a service."""
        requests = known.gain('r', count.service, count.requests, now)
        repeats = known.gain('p', count.service, count.repeats, now)
        name = self.hashes.get(count.service)
        if name is not None:
            self.directory.budget(name).record_peer_counts(
                now, requests, repeats
            )

    def note_names(self, names: abc.Iterable[str]) -> None:
        """Learn the hashes of names."""
        self.hashes.update((digest.hash_name(name), name) for name in names)
