"""Judges a run from what callers and targets saw."""

import collections
import itertools
import typing

from sapphirepaddle.settings import edge
from soak import observations, testbed_settings

SETTLE_SECONDS: typing.Final = 3.0
"""Time without disturbance after which bounds of time hold."""
STORE: typing.Final = 'store'


class Checker:
    """Checks the promises.

    Attributes:
        seen: What was seen.
        bounds: Figures promised to operators.
        findings: Broken promises.
    """

    def __init__(
        self, seen: observations.Observations, bounds: edge.Bounds
    ) -> None:
        """Start without findings."""
        self.observations = seen
        self.bounds = bounds
        self.findings: list[str] = []

    def check(self) -> list[str]:
        """Check everything and return what was broken."""
        runs = self.observations.arrivals_by_request()
        for sent in self.observations.requests.values():
            self.check_request(sent, runs.get(sent.identifier, []))
        for identifier in runs.keys() - self.observations.requests.keys():
            self.add_finding('UNASKED', f'{identifier} was never sent')
        self.check_quota()
        self.check_repeats(runs)
        self.check_draining()
        self.check_keys()
        self.check_stops(runs)
        return self.findings

    def add_finding(self, rule: str, detail: str) -> None:
        """Note a broken promise."""
        self.findings.append(f'{rule}: {detail}')

    def check_request(
        self,
        sent: observations.SentRequest,
        runs: list[observations.Arrival],
    ) -> None:
        """Check one request."""
        ran = [run for run in runs if run.is_executed]
        if sent.kind == testbed_settings.ORDERS and len(ran) > 1:
            self.add_finding('TWICE', f'{sent.identifier} ran {len(ran)} times')
        if sent.status in observations.NOT_RUN_STATUSES and ran:
            self.add_finding(
                'REFUSED', f'{sent.identifier} {sent.status}, but ran'
            )
        for run in runs:
            self.check_run(sent, run)
        if sent.status and sent.answer_identifier not in {'', sent.identifier}:
            self.add_finding(
                'MIXED', f'{sent.identifier} got {sent.answer_identifier}'
            )
        if sent.status == testbed_settings.OK and sent.is_whole:
            self.check_success(sent, ran)

    def check_run(
        self, sent: observations.SentRequest, run: observations.Arrival
    ) -> None:
        """Check what a target got."""
        if run.path != sent.path:
            self.add_finding('UNASKED', f'{sent.identifier} path {run.path}')
        if run.has_key:
            self.add_finding('UNASKED', f'{sent.identifier} passed the key on')
        if run.account != sent.account:
            self.add_finding('UNASKED', f'{sent.identifier} for {run.account}')
        if run.service != testbed_settings.SERVICES[sent.kind]:
            self.add_finding('ROUTE', f'{sent.identifier} at {run.service}')

    def check_success(
        self,
        sent: observations.SentRequest,
        ran: list[observations.Arrival],
    ) -> None:
        """Check a success."""
        wanted = testbed_settings.body_of(sent.identifier)
        if sent.body != wanted or not sent.is_stamped:
            self.add_finding('MIXED', f'{sent.identifier} has another body')
        if ran and all(run.is_failed for run in ran):
            self.add_finding('MIXED', f'{sent.identifier} succeeded but failed')

    def check_quota(self) -> None:
        """Check the quota of the limited account in every window."""
        bounds = self.bounds
        window = bounds.quota_window
        limit = testbed_settings.LIMITED_ACCOUNT
        most = (limit.rate * window + limit.burst) * (
            1 + bounds.quota_excess
        ) + bounds.quota_slack
        first = {}
        for run in self.observations.arrivals:
            if run.is_executed and run.account == limit.name:
                first.setdefault(run.identifier, run.at)
        times = sorted(first.values())
        for index, start in enumerate(times):
            inside = sum(at < start + window for at in times[index:])
            if inside > most:
                self.add_finding(
                    'QUOTA', f'{inside} of {most:.0f} from {start:.2f}'
                )
                return

    def check_repeats(
        self, runs: dict[str, list[observations.Arrival]]
    ) -> None:
        """Check the repeats of each service in every window."""
        window = self.bounds.repeat_window
        repeats = collections.defaultdict(list)
        for arrived in runs.values():
            ordered = sorted(arrived, key=lambda run: run.at)
            for run in ordered[1:]:
                repeats[run.service].append(run.at)
        for service, times in repeats.items():
            times.sort()
            asked = sorted(
                sent.sent_at
                for sent in self.observations.requests.values()
                if testbed_settings.SERVICES.get(sent.kind) == service
            )
            for index, start in enumerate(times):
                count = sum(at < start + window for at in times[index:])
                base = max(
                    sum(begin <= at < begin + window for at in asked)
                    for begin in (
                        start,
                        start - window / 2,
                        start - window,
                    )
                )
                allowed = (
                    self.bounds.repeat_ratio * base + self.bounds.repeat_slack
                )
                if count > allowed:
                    self.add_finding(
                        'BUDGET', f'{service} {count} of {allowed:.0f}'
                    )
                    return

    def check_draining(self) -> None:
        """Check that leaving targets get nothing after a while."""
        for acked, kind, subject in self.observations.acked_changes:
            if kind != 'drain':
                continue
            due = acked + self.bounds.drain
            for run in self.observations.arrivals:
                if run.target != subject or run.at <= due:
                    continue
                daemon = self.observations.requests[run.identifier].daemon
                subjects = {STORE, daemon}
                start = acked - SETTLE_SECONDS
                if self.observations.is_undisturbed(start, run.at, subjects):
                    self.add_finding('DRAIN', f'{run.identifier} at {subject}')

    def check_keys(self) -> None:
        """Check that withdrawn keys stop and versions never go back."""
        withdrawn = {
            subject: acked
            for acked, kind, subject in self.observations.acked_changes
            if kind == 'withdraw'
        }
        ordered = sorted(
            (
                sent
                for sent in self.observations.requests.values()
                if sent.key in withdrawn or sent.key.startswith('turn-')
            ),
            key=lambda sent: sent.sent_at,
        )
        for sent in ordered:
            acked = withdrawn.get(sent.key)
            if acked is None or sent.status != testbed_settings.OK:
                continue
            late = sent.sent_at > acked + testbed_settings.APPLY_SECONDS
            start = acked - SETTLE_SECONDS
            subjects = {STORE, sent.daemon}
            if late and self.observations.is_undisturbed(
                start, sent.sent_at, subjects
            ):
                self.add_finding(
                    'CONFIG', f'{sent.identifier} with a withdrawn key'
                )
        self.check_order_of_versions(ordered)

    def check_order_of_versions(
        self, ordered: list[observations.SentRequest]
    ) -> None:
        """Check that no daemon goes back in one lifetime."""
        by_daemon = collections.defaultdict(list)
        for sent in ordered:
            if sent.status == testbed_settings.OK and sent.key[:5] == 'turn-':
                by_daemon[sent.daemon].append(sent)
        for daemon, requests in by_daemon.items():
            for before, after in itertools.combinations(requests, 2):
                went_back = int(after.key[5:]) < int(before.key[5:])
                gap = after.sent_at - before.ended_at
                same_life = self.observations.is_undisturbed(
                    before.sent_at,
                    after.ended_at,
                    {f'life of {daemon}'},
                )
                if went_back and gap > 0 and same_life:
                    self.add_finding(
                        'CONFIG', f'{daemon} went back at {after.key}'
                    )

    def check_stops(self, runs: dict[str, list[observations.Arrival]]) -> None:
        """Check that planned stops cut off nothing."""
        stops = [
            span
            for span in self.observations.disturbances
            if span.kind == 'stop'
        ]
        for sent in self.observations.requests.values():
            arrived = runs.get(sent.identifier)
            if sent.status or not arrived:
                continue
            if any(run.is_failed for run in arrived):
                continue
            subjects = {sent.daemon, *(run.target for run in arrived)}
            around = [
                span
                for span in stops
                if f'life of {sent.daemon}' == span.subject
                and span.start <= sent.sent_at <= span.start + SETTLE_SECONDS
            ]
            calm = self.observations.is_undisturbed(
                sent.sent_at - SETTLE_SECONDS,
                sent.ended_at,
                subjects,
            )
            if around and calm and sent.ended_at:
                self.add_finding(
                    'LOST', f'{sent.identifier} cut by a planned stop'
                )
