"""Outlier detection from the observations of several daemons."""

import dataclasses
import math
import typing
from collections import abc

import transitions

from sapphirepaddle.routing import (
    ejection_state,
    result_counts,
    significance,
    target_observation,
)
from sapphirepaddle.settings import entry

Standing = ejection_state.Standing

STATE_MACHINE: typing.Final = transitions.Machine(
    model=None,
    states=[standing.value for standing in Standing],
    initial=Standing.HEALTHY.value,
    auto_transitions=False,
    transitions=[
        ['eject', Standing.HEALTHY.value, Standing.EJECTED.value],
        ['eject', Standing.RETURNING.value, Standing.EJECTED.value],
        ['release', Standing.EJECTED.value, Standing.RETURNING.value],
        ['settle', Standing.RETURNING.value, Standing.HEALTHY.value],
    ],
)
"""Transitions between the ejection states of a target."""

MIN_BASELINE_BAD_RATIO: typing.Final = 0.005
"""Lower bound of the baseline for bad results. With a baseline of 0 every bad
result would be significant."""
MIN_BASELINE_SUSPECT_RATIO: typing.Final = 0.02
"""The same for suspect results, which include slow answers."""
RECENT_WINDOW_DIVISOR: typing.Final = 3
"""The latest part of the window, one over this, is also evaluated by itself."""
RELAPSE_RESET_FACTOR: typing.Final = 4
"""Relapses are reset after a target was healthy for this many times
`return_seconds`."""


@dataclasses.dataclass(slots=True)
class DaemonObservations:
    """Observations of a target that one daemon reported.

    Attributes:
        zone: Availability zone of the daemon.
        window: Its counts over the sliding window.
        suspect_since: Start of the current run of suspect results; infinite
            if there is none.
        last_good_at: Time of the last report with more good than suspect
            results.
    """

    zone: str
    window: result_counts.SlidingWindow
    suspect_since: float = math.inf
    last_good_at: float = -math.inf

    def add(self, counts: result_counts.ResultCounts, now: float) -> None:
        """Add the counts of one report."""
        self.window.add(now, counts)
        if counts.good > counts.suspect:
            self.last_good_at = now
            self.suspect_since = math.inf
        elif counts.suspect:
            self.suspect_since = min(self.suspect_since, now)


class TargetRecord:
    """Ejection state and observations of one target.

    Attributes:
        state: State of the target in the state machine.
        ejection_state: The ejection state in force.
        state_since: Time of the last change of state.
        service: Name of the target's service.
        observations: Observations by name of the reporting VM.
    """

    def __init__(
        self,
        current_state: ejection_state.EjectionState,
        service: str,
        now: float,
    ) -> None:
        """Initialize a record with the ejection state in force."""
        self.service = service
        self.state = current_state.standing.value
        self.ejection_state = current_state
        self.state_since = now
        self.observations: dict[str, DaemonObservations] = {}

    def fire(self, trigger: str) -> None:
        """Apply a transition of the state machine."""
        STATE_MACHINE.events[trigger].trigger(self)


class OutlierDetector:
    """Detects outliers among targets and sets their ejection states.

    It does no input or output; callers pass the time, in seconds of the
    monotonic clock.

    Attributes:
        vm: Name of the VM that runs this detector.
        settings: Thresholds.
        records: Records by name of the target.
    """

    def __init__(self, vm: str, settings: entry.RoutingSettings) -> None:
        """Initialize a detector without records."""
        self.vm = vm
        self.settings = settings
        self.records: dict[str, TargetRecord] = {}

    def record_observation(
        self,
        observation: target_observation.TargetObservation,
        current_state: ejection_state.EjectionState,
        now: float,
    ) -> None:
        """Record one report; a newer ejection state starts a new record.

        Args:
            observation: The reported observation.
            current_state: The ejection state in force for its target.
            now: Seconds on the monotonic clock.
        """
        record = self.records.get(observation.target)
        if record is None or record.ejection_state.epoch < current_state.epoch:
            record = TargetRecord(current_state, observation.service, now)
            self.records[observation.target] = record
        observations = record.observations.get(observation.reporter)
        if observations is None:
            window = result_counts.SlidingWindow(self.settings.window_seconds)
            observations = DaemonObservations(observation.zone, window)
            record.observations[observation.reporter] = observations
        observations.add(observation.counts, now)

    def evaluate(
        self, now: float, live_daemons: int
    ) -> list[ejection_state.EjectionState]:
        """Evaluate all targets and return the new ejection states.

        Args:
            now: Seconds on the monotonic clock.
            live_daemons: Number of live daemons.
        """
        states = (
            self.evaluate_target(record, now, live_daemons)
            for record in self.records.values()
        )
        return [state for state in states if state is not None]

    def evaluate_target(
        self,
        record: TargetRecord,
        now: float,
        live_daemons: int,
    ) -> ejection_state.EjectionState | None:
        """Evaluate one target and return its new state, if it changes."""
        if record.state == Standing.EJECTED.value:
            return self.release(record, now)
        if self.is_faulty(record, now, live_daemons):
            return self.eject(record, now)
        if record.state == Standing.RETURNING.value:
            return self.settle(record, now)
        return None

    def is_faulty(
        self, record: TargetRecord, now: float, live_daemons: int
    ) -> bool:
        """Return whether several independent daemons observed a fault.

        The latest third of the window is also evaluated by itself, so that
        good results from before the fault do not hide it.
        """
        return any(
            self.is_faulty_in_slices(record, now, live_daemons, slices)
            for slices in (
                result_counts.WINDOW_SLICES,
                result_counts.WINDOW_SLICES // RECENT_WINDOW_DIVISOR,
            )
        )

    def is_faulty_in_slices(
        self,
        record: TargetRecord,
        now: float,
        live_daemons: int,
        slices: int,
    ) -> bool:
        """Return whether the latest slices of the window show a fault."""
        sums = {
            name: observations.window.sum(now, slices)
            for name, observations in record.observations.items()
        }
        total = sum_counts(sums.values())
        reporters = {
            name
            for name, counts in sums.items()
            if counts.suspect
            and counts.suspect_share >= self.settings.bad_share
        }
        min_reporters = min(self.settings.observers, live_daemons)
        if len(reporters) < min_reporters or not self.has_enough_suspect(total):
            return False
        is_path_fault = self.is_path_fault(record, reporters, now)
        return not is_path_fault and self.is_significant(record, total, now)

    def has_enough_suspect(self, total: result_counts.ResultCounts) -> bool:
        """Return whether number and share of suspect results suffice."""
        enough = total.suspect >= self.settings.least_bad
        return enough and total.suspect_share >= self.settings.bad_share

    def is_significant(
        self,
        record: TargetRecord,
        total: result_counts.ResultCounts,
        now: float,
    ) -> bool:
        """Return whether the suspect results are statistically significant.

        The baseline is the share at the other targets of the service: where
        all targets are slow, slowness is not a fault of one of them.
        """
        baseline = sum_counts(
            observations.window.sum(now)
            for other in self.records.values()
            if other.service == record.service and other is not record
            for observations in other.observations.values()
        )
        baseline_total = max(1, baseline.total)
        baseline_bad_ratio = max(
            MIN_BASELINE_BAD_RATIO, baseline.bad / baseline_total
        )
        baseline_suspect_ratio = max(
            MIN_BASELINE_SUSPECT_RATIO, baseline.suspect / baseline_total
        )
        p_values = (
            significance.binomial_tail(
                total.total, total.bad, baseline_bad_ratio
            ),
            significance.binomial_tail(
                total.total, total.suspect, baseline_suspect_ratio
            ),
        )
        return min(p_values) <= self.settings.most_chance

    def is_path_fault(
        self,
        record: TargetRecord,
        reporters: abc.Set[str],
        now: float,
    ) -> bool:
        """Return whether the network path from one zone may be at fault.

        If all reporters of a fault are in one availability zone, the other
        zones get `hearing_seconds` to report, and a good report of theirs
        rules out a fault of the target.
        """
        zones = {record.observations[name].zone for name in reporters}
        if len(zones) > 1:
            return False
        suspect_since = min(
            record.observations[name].suspect_since for name in reporters
        )
        is_contradicted = any(
            observations.last_good_at > suspect_since
            for observations in record.observations.values()
            if observations.zone not in zones
        )
        has_other_zones = any(
            observations.zone not in zones
            for observations in record.observations.values()
        )
        is_early = now - suspect_since < self.settings.hearing_seconds
        return is_contradicted or (has_other_zones and is_early)

    def eject(
        self, record: TargetRecord, now: float
    ) -> ejection_state.EjectionState:
        """Eject a target; each relapse lengthens the ejection."""
        reset_seconds = self.settings.return_seconds * RELAPSE_RESET_FACTOR
        is_relapse = record.ejection_state.epoch > 0 and (
            record.state == Standing.RETURNING.value
            or now - record.state_since < reset_seconds
        )
        relapses = record.ejection_state.relapses + 1 if is_relapse else 0
        reporters = sorted(
            name
            for name, observations in record.observations.items()
            if observations.window.sum(now).suspect
        )
        record.fire('eject')
        reason = f'seen by {", ".join(reporters)}'
        return self.enter_state(record, now, relapses, reason)

    def eject_seconds(self, record: TargetRecord) -> float:
        """Return the length of the current ejection, in seconds."""
        base_seconds = self.settings.eject_seconds
        backoff_seconds = base_seconds * 2 ** min(
            record.ejection_state.relapses, MAX_BACKOFF_EXPONENT
        )
        return min(backoff_seconds, self.settings.most_eject_seconds)

    def release(
        self, record: TargetRecord, now: float
    ) -> ejection_state.EjectionState | None:
        """Let a target return when its ejection time has passed.

        The target stays ejected while probes still fail.
        """
        if now - record.state_since < self.eject_seconds(record):
            return None
        window_counts = (
            observations.window.sum(now)
            for observations in record.observations.values()
        )
        if any(counts.suspect for counts in window_counts):
            return None
        record.fire('release')
        return self.enter_state(
            record, now, record.ejection_state.relapses, 'time over'
        )

    def settle(
        self, record: TargetRecord, now: float
    ) -> ejection_state.EjectionState | None:
        """Mark a returning target healthy when its return time has passed."""
        if now - record.state_since < self.settings.return_seconds:
            return None
        record.fire('settle')
        return self.enter_state(
            record, now, record.ejection_state.relapses, 'returned'
        )

    def enter_state(
        self,
        record: TargetRecord,
        now: float,
        relapses: int,
        reason: str,
    ) -> ejection_state.EjectionState:
        """Create the ejection state for the state just entered.

        Drops the observations, which belong to the previous state.
        """
        record.state_since = now
        record.observations.clear()
        record.ejection_state = ejection_state.EjectionState(
            target=record.ejection_state.target,
            epoch=record.ejection_state.epoch + 1,
            standing=Standing(record.state),
            relapses=relapses,
            reason=reason,
            judge=self.vm,
        )
        return record.ejection_state


MAX_BACKOFF_EXPONENT: typing.Final = 16
"""Number of relapses up to which the ejection time is doubled."""


def sum_counts(
    parts: abc.Iterable[result_counts.ResultCounts],
) -> result_counts.ResultCounts:
    """Return the sum of several counts."""
    total = result_counts.ResultCounts()
    for counts in parts:
        total.add(counts)
    return total
