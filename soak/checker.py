"""Checks of a run, from the observations of its callers and targets."""

import collections
import itertools
import typing

from sapphirepaddle.settings import edge
from soak import (
    notice_checker,
    observations,
    testbed_settings,
    zone_checker,
)

SETTLE_SECONDS: typing.Final = 3.0
"""A time bound applies only if nothing disturbed its subjects for this long."""
STORE: typing.Final = 'store'


class Checker:
    """Checks the guarantees of the edge daemon.

    Attributes:
        observations: Requests, arrivals and disturbances of the run.
        bounds: Limits agreed with the operators.
        findings: Violations, each as its rule and a description.
    """

    def __init__(
        self, run_observations: observations.Observations, bounds: edge.Bounds
    ) -> None:
        """Initialize a checker without findings."""
        self.observations = run_observations
        self.bounds = bounds
        self.findings: list[str] = []

    def check(self) -> list[str]:
        """Run all checks and return the findings."""
        arrivals = self.observations.arrivals_by_request()
        for request in self.observations.requests.values():
            self.check_request(request, arrivals.get(request.identifier, []))
        for identifier in arrivals.keys() - self.observations.requests.keys():
            self.add_finding('UNASKED', f'{identifier} was never sent')
        self.check_quota()
        self.check_retry_budget(arrivals)
        self.check_draining()
        self.check_keys()
        self.check_planned_stops(arrivals)
        notices = notice_checker.NoticeChecker(self.observations, self.bounds)
        zones = zone_checker.ZoneChecker(self.observations, self.bounds)
        for rule, detail in itertools.chain(
            notices.find_violations(), zones.find_violations()
        ):
            self.add_finding(rule, detail)
        return self.findings

    def add_finding(self, rule: str, detail: str) -> None:
        """Record the violation of a rule."""
        self.findings.append(f'{rule}: {detail}')

    def check_request(
        self,
        request: observations.SentRequest,
        arrivals: list[observations.Arrival],
    ) -> None:
        """Check one request against its arrivals at targets."""
        executed = [arrival for arrival in arrivals if arrival.is_executed]
        if request.kind == testbed_settings.ORDERS and len(executed) > 1:
            self.add_finding(
                'TWICE', f'{request.identifier} ran {len(executed)} times'
            )
        if request.sent_again_at and any(
            arrival.at < request.sent_again_at[-1] for arrival in executed
        ):
            self.add_finding(
                'REFUSED', f'{request.identifier} was refused, but ran'
            )
        if request.status in observations.NOT_RUN_STATUSES and executed:
            self.add_finding(
                'REFUSED',
                f'{request.identifier} got status {request.status}, but ran',
            )
        for arrival in arrivals:
            self.check_arrival(request, arrival)
        if request.status and request.answer_identifier not in {
            '',
            request.identifier,
        }:
            self.add_finding(
                'MIXED',
                f'{request.identifier} got an answer with identifier '
                f'{request.answer_identifier}',
            )
        if request.status == testbed_settings.OK and request.is_whole:
            self.check_success(request, executed)

    def check_arrival(
        self, request: observations.SentRequest, arrival: observations.Arrival
    ) -> None:
        """Check that a target received the request as the caller sent it."""
        if arrival.path != request.path:
            self.add_finding(
                'UNASKED',
                f'{request.identifier} arrived with path {arrival.path}',
            )
        if arrival.has_key:
            self.add_finding('UNASKED', f'{request.identifier} carried its key')
        if arrival.account != request.account:
            self.add_finding(
                'UNASKED',
                f'{request.identifier} arrived for account {arrival.account}',
            )
        if arrival.service != testbed_settings.SERVICES[request.kind]:
            self.add_finding(
                'ROUTE',
                f'{request.identifier} arrived at service {arrival.service}',
            )

    def check_success(
        self,
        request: observations.SentRequest,
        executed: list[observations.Arrival],
    ) -> None:
        """Check the body of a success and that an execution supports it."""
        expected_body = testbed_settings.answer_body(request.identifier)
        if request.body != expected_body or not request.is_stamped:
            self.add_finding(
                'MIXED', f'{request.identifier} has an unexpected body'
            )
        if executed and all(arrival.is_failed for arrival in executed):
            self.add_finding(
                'MIXED', f'{request.identifier} got status 200, but failed'
            )

    def check_quota(self) -> None:
        """Check the executions of the limited account in every window."""
        bounds = self.bounds
        window = bounds.quota_window
        limited_account = testbed_settings.LIMITED_ACCOUNT
        max_executions = (
            limited_account.rate * window + limited_account.burst
        ) * (1 + bounds.quota_excess) + bounds.quota_slack
        first_executed_at = {}
        for arrival in self.observations.arrivals:
            if arrival.is_executed and arrival.account == limited_account.name:
                first_executed_at.setdefault(arrival.identifier, arrival.at)
        times = sorted(first_executed_at.values())
        for index, start in enumerate(times):
            count = sum(at < start + window for at in times[index:])
            if count > max_executions:
                self.add_finding(
                    'QUOTA',
                    f'{count} executions, at most {max_executions:.0f} allowed '
                    f'in the window from {start:.2f}',
                )
                return

    def check_retry_budget(
        self, arrivals_by_request: dict[str, list[observations.Arrival]]
    ) -> None:
        """Check the retries of each service in every window.

        The budget counts requests sent within a window that starts with the
        retries, half a window earlier or a whole window earlier, whichever
        has most, as a retry follows its request.
        """
        window = self.bounds.repeat_window
        retries = collections.defaultdict(list)
        for identifier, arrivals in arrivals_by_request.items():
            ordered_arrivals = sorted(arrivals, key=lambda arrival: arrival.at)
            for retry in ordered_arrivals[self.count_sends(identifier) :]:
                retries[retry.service].append(retry.at)
        for service, times in retries.items():
            times.sort()
            sent_times = sorted(
                sent_at
                for request in self.observations.requests.values()
                if testbed_settings.SERVICES.get(request.kind) == service
                for sent_at in (request.sent_at, *request.sent_again_at)
            )
            for index, start in enumerate(times):
                count = sum(at < start + window for at in times[index:])
                request_count = max(
                    sum(
                        base_start <= at < base_start + window
                        for at in sent_times
                    )
                    for base_start in (
                        start,
                        start - window / 2,
                        start - window,
                    )
                )
                max_retries = (
                    self.bounds.repeat_ratio * request_count
                    + self.bounds.repeat_slack
                )
                if count > max_retries:
                    self.add_finding(
                        'BUDGET',
                        f'service {service} got {count} retries in a window, '
                        f'at most {max_retries:.0f} allowed',
                    )
                    return

    def count_sends(self, identifier: str) -> int:
        """Return how often a caller sent a request."""
        request = self.observations.requests.get(identifier)
        return 1 + len(request.sent_again_at) if request else 1

    def check_draining(self) -> None:
        """Check that a draining target gets no request after the bound."""
        for acked_at, kind, target in self.observations.acked_changes:
            if kind != 'drain':
                continue
            drained_at = acked_at + self.bounds.drain
            for arrival in self.observations.arrivals:
                if arrival.target != target or arrival.at <= drained_at:
                    continue
                daemon = self.observations.requests[arrival.identifier].daemon
                subjects = {STORE, daemon}
                start = acked_at - SETTLE_SECONDS
                if self.observations.is_undisturbed(
                    start, arrival.at, subjects
                ):
                    self.add_finding(
                        'DRAIN',
                        f'{arrival.identifier} arrived at draining '
                        f'target {target}',
                    )

    def check_keys(self) -> None:
        """Check that withdrawn keys stop working.

        Also checks that no daemon goes back to an older configuration.
        """
        withdrawn = {
            subject: acked_at
            for acked_at, kind, subject in self.observations.acked_changes
            if kind == 'withdraw'
        }
        requests = sorted(
            (
                request
                for request in self.observations.requests.values()
                if request.key in withdrawn or request.key.startswith('turn-')
            ),
            key=lambda request: request.sent_at,
        )
        for request in requests:
            acked_at = withdrawn.get(request.key)
            if acked_at is None or request.status != testbed_settings.OK:
                continue
            is_late = (
                request.sent_at > acked_at + testbed_settings.APPLY_SECONDS
            )
            start = acked_at - SETTLE_SECONDS
            subjects = {STORE, request.daemon}
            if is_late and self.observations.is_undisturbed(
                start, request.sent_at, subjects
            ):
                self.add_finding(
                    'CONFIG',
                    f'{request.identifier} succeeded with a withdrawn key',
                )
        self.check_version_order(requests)

    def check_version_order(
        self, requests: list[observations.SentRequest]
    ) -> None:
        """Check that no daemon process goes back to an older configuration."""
        by_daemon = collections.defaultdict(list)
        for request in requests:
            if (
                request.status == testbed_settings.OK
                and request.key[:5] == 'turn-'
            ):
                by_daemon[request.daemon].append(request)
        for daemon, daemon_requests in by_daemon.items():
            for before, after in itertools.combinations(daemon_requests, 2):
                went_back = int(after.key[5:]) < int(before.key[5:])
                gap_seconds = after.sent_at - before.ended_at
                is_same_process = self.observations.is_undisturbed(
                    before.sent_at,
                    after.ended_at,
                    {f'life of {daemon}'},
                )
                if went_back and gap_seconds > 0 and is_same_process:
                    self.add_finding(
                        'CONFIG', f'{daemon} accepted the older key {after.key}'
                    )

    def check_planned_stops(
        self, arrivals_by_request: dict[str, list[observations.Arrival]]
    ) -> None:
        """Check that a planned stop of a daemon loses no request."""
        stops = [
            disturbance
            for disturbance in self.observations.disturbances
            if disturbance.kind == 'stop'
        ]
        for request in self.observations.requests.values():
            arrivals = arrivals_by_request.get(request.identifier)
            if request.status or not arrivals:
                continue
            if any(arrival.is_failed for arrival in arrivals):
                continue
            subjects = {
                request.daemon,
                *(arrival.target for arrival in arrivals),
            }
            stops_of_daemon = [
                disturbance
                for disturbance in stops
                if f'life of {request.daemon}' == disturbance.subject
                and disturbance.start
                <= request.sent_at
                <= disturbance.start + SETTLE_SECONDS
            ]
            is_undisturbed = self.observations.is_undisturbed(
                request.sent_at - SETTLE_SECONDS,
                request.ended_at,
                subjects,
            )
            if stops_of_daemon and is_undisturbed and request.ended_at:
                self.add_finding(
                    'LOST', f'{request.identifier} lost in a planned stop'
                )
