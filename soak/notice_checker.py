"""Checks that daemons obey what targets state in their answers."""

import collections
import typing
from collections import abc

from sapphirepaddle.settings import edge
from soak import observations

PAUSE_START_SECONDS: typing.Final = 0.5
"""Time after a statement within which requests on their way still arrive."""
MAX_ARRIVALS_IN_PAUSE: typing.Final = 2

Link = tuple[str, str]


class NoticeChecker:
    """Checks requests that arrive after a statement of their target.

    Attributes:
        observations: Requests, arrivals, statements and disturbances.
        bounds: Limits agreed with the operators.
        arrivals_by_link: Arrivals by daemon and target.
    """

    def __init__(
        self, run_observations: observations.Observations, bounds: edge.Bounds
    ) -> None:
        """Group the arrivals of a run."""
        self.observations = run_observations
        self.bounds = bounds
        self.arrivals_by_link: dict[Link, list[observations.Arrival]] = (
            collections.defaultdict(list)
        )
        for arrival in run_observations.arrivals:
            request = run_observations.requests.get(arrival.identifier)
            if request is not None:
                link = (request.daemon, arrival.target)
                self.arrivals_by_link[link].append(arrival)

    def find_violations(self) -> abc.Iterator[tuple[str, str]]:
        """Yield the rule and a description of each violation."""
        for statement in self.observations.statements:
            request = self.observations.requests.get(statement.identifier)
            if request is None:
                continue
            if statement.pause_seconds:
                yield from self.check_pause(statement, request.daemon)
            elif request.is_whole and request.is_stamped:
                yield from self.check_leaving(statement, request)

    def check_leaving(
        self,
        statement: observations.Statement,
        request: observations.SentRequest,
    ) -> abc.Iterator[tuple[str, str]]:
        """Check requests sent after the bound to a target that leaves."""
        latest = request.ended_at + self.bounds.drain
        for arrival in self.arrivals_by_link[request.daemon, statement.target]:
            later = self.observations.requests[arrival.identifier]
            if later.sent_at > latest and self.is_same_process(
                request.daemon, statement.at, arrival.at
            ):
                yield (
                    'DRAIN',
                    f'{arrival.identifier} arrived at {statement.target}, '
                    f'which stated {arrival.at - statement.at:.2f} s before '
                    'that it leaves',
                )

    def check_pause(
        self, statement: observations.Statement, daemon: str
    ) -> abc.Iterator[tuple[str, str]]:
        """Check requests that arrive in the pause that a target stated."""
        start = statement.at + PAUSE_START_SECONDS
        end = statement.at + statement.pause_seconds
        count = sum(
            start < arrival.at <= end
            for arrival in self.arrivals_by_link[daemon, statement.target]
        )
        if count > MAX_ARRIVALS_IN_PAUSE and self.is_same_process(
            daemon, statement.at, end
        ):
            yield (
                'BUDGET',
                f'{count} requests of {daemon} arrived at {statement.target} '
                'in the pause that it stated',
            )

    def is_same_process(self, daemon: str, start: float, end: float) -> bool:
        """Return whether a daemon ran without a fault in a period."""
        return self.observations.is_undisturbed(
            start, end, {daemon, f'life of {daemon}'}
        )
