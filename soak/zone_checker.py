"""Checks requests to emptied availability zones and to cold targets."""

import collections
import typing
from collections import abc

from sapphirepaddle.settings import edge
from soak import observations, testbed_settings

SETTLE_SECONDS: typing.Final = 3.0
"""A time bound applies only if nothing disturbed its subjects for this long."""
STORE: typing.Final = 'store'
WINDOW_SECONDS: typing.Final = 1.0


class ZoneChecker:
    """Checks the bounds for emptied zones and for cold targets.

    Attributes:
        observations: Requests, arrivals, zones and disturbances.
        bounds: Limits agreed with the operators.
        arrivals: Arrivals in order of time.
    """

    def __init__(
        self, run_observations: observations.Observations, bounds: edge.Bounds
    ) -> None:
        """Order the arrivals of a run."""
        self.observations = run_observations
        self.bounds = bounds
        self.arrivals = sorted(
            run_observations.arrivals, key=lambda arrival: arrival.at
        )

    def find_violations(self) -> abc.Iterator[tuple[str, str]]:
        """Yield the rule and a description of each violation."""
        for zone, acked_at, returned_at in self.observations.emptied_periods:
            yield from self.check_zone(zone, acked_at, returned_at)
        arrivals = collections.defaultdict(list)
        for arrival in self.arrivals:
            arrivals[arrival.target].append(arrival.at)
        for target, start, end in self.observations.cold_periods:
            times = [at for at in arrivals[target] if start <= at < end]
            yield from self.check_cold_target(target, times)

    def check_zone(
        self, zone: str, acked_at: float, returned_at: float
    ) -> abc.Iterator[tuple[str, str]]:
        """Check that an emptied zone gets no request after the bound."""
        for arrival in self.arrivals:
            is_late = (
                acked_at + self.bounds.empty_zone < arrival.at < returned_at
            )
            request = self.observations.requests.get(arrival.identifier)
            if arrival.zone != zone or not is_late or request is None:
                continue
            # Retries of a caller may come from another daemon.
            if request.sent_again_at:
                continue
            start = acked_at - SETTLE_SECONDS
            subjects = {STORE, request.daemon, f'life of {request.daemon}'}
            if self.observations.is_undisturbed(start, arrival.at, subjects):
                yield (
                    'EVAC',
                    f'{arrival.identifier} arrived in the emptied zone {zone} '
                    f'{arrival.at - acked_at:.2f} s after its entry',
                )

    def check_cold_target(
        self, target: str, times: list[float]
    ) -> abc.Iterator[tuple[str, str]]:
        """Check that a cold target gets few requests in every second."""
        max_count = (
            testbed_settings.WARMUP_PER_SECOND * self.bounds.warmup_ratio
            + self.bounds.warmup_slack
        )
        for index, start in enumerate(times):
            count = sum(at < start + WINDOW_SECONDS for at in times[index:])
            if count > max_count:
                yield (
                    'FAILBACK',
                    f'{count} requests in a second at the cold target {target}',
                )
                return
