"""Judging targets from the evidence of several daemons."""

import dataclasses
import math
import typing
from collections import abc

import transitions

from sapphirepaddle.routing import (
    target_observation,
    significance,
    result_counts,
    ejection_state,
)
from sapphirepaddle.settings import entry

Standing = ejection_state.Standing

MACHINE: typing.Final = transitions.Machine(
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
"""States of a target in the eyes of its judge."""

MIN_BASELINE_BAD_RATIO: typing.Final = 0.005
MIN_BASELINE_SUSPECT_RATIO: typing.Final = 0.02
RECENT_WINDOW_DIVISOR: typing.Final = 3
RELAPSE_RESET_FACTOR: typing.Final = 4
"""Relapses are forgotten after this many return times in health."""


@dataclasses.dataclass(slots=True)
class DaemonObservations:
    """What one daemon saw of a target.

    Attributes:
        zone: Availability zone of the daemon.
        window: Its counts over the sliding window.
        suspect_since: Start of the present run of suspect results.
        good_at: Time of the last report with more good than suspect.
    """

    zone: str
    window: result_counts.SlidingWindow
    suspect_since: float = math.inf
    last_good_at: float = -math.inf

    def add(self, counts: result_counts.ResultCounts, now: float) -> None:
        """Take in one report."""
        self.window.add(now, counts)
        if counts.good > counts.suspect:
            self.last_good_at = now
            self.suspect_since = math.inf
        elif counts.suspect:
            self.suspect_since = min(self.suspect_since, now)


class TargetRecord:
    """All that a judge knows of one target.

    Attributes:
        state: State of the target in the machine.
        verdict: The verdict in force.
        since: Time of the last change of state.
        service: Name of the target's service.
        observers: What each daemon saw.
    """

    def __init__(
        self,
        held: ejection_state.EjectionState,
        service: str,
        now: float,
    ) -> None:
        """Take up a target at the verdict in force."""
        self.service = service
        self.state = held.standing.value
        self.ejection_state = held
        self.state_since = now
        self.observations: dict[str, DaemonObservations] = {}

    def fire(self, trigger: str) -> None:
        """Move to the next state."""
        MACHINE.events[trigger].trigger(self)


class OutlierDetector:
    """Judges targets; pure, the time is passed in.

    Attributes:
        vm: Name of the judging VM.
        settings: Thresholds.
        cases: What is known by target.
    """

    def __init__(self, vm: str, settings: entry.RoutingSettings) -> None:
        """Start without cases."""
        self.vm = vm
        self.settings = settings
        self.records: dict[str, TargetRecord] = {}

    def record_observation(
        self,
        seen: target_observation.TargetObservation,
        held: ejection_state.EjectionState,
        now: float,
    ) -> None:
        """Take in one report.

        Args:
            seen: The report.
            held: The verdict in force on its target.
            now: Seconds on the monotonic clock.
        """
        case = self.records.get(seen.target)
        if case is None or case.ejection_state.epoch < held.epoch:
            case = TargetRecord(held, seen.service, now)
            self.records[seen.target] = case
        observer = case.observations.get(seen.reporter)
        if observer is None:
            window = result_counts.SlidingWindow(self.settings.window_seconds)
            observer = DaemonObservations(seen.zone, window)
            case.observations[seen.reporter] = observer
        observer.add(seen.counts, now)

    def evaluate(
        self, now: float, live_daemons: int
    ) -> list[ejection_state.EjectionState]:
        """Return the verdicts that change at this time.

        Args:
            now: Seconds on the monotonic clock.
            daemons: Daemons that live.
        """
        changed = (
            self.evaluate_target(case, now, live_daemons)
            for case in self.records.values()
        )
        return [fresh for fresh in changed if fresh is not None]

    def evaluate_target(
        self,
        case: TargetRecord,
        now: float,
        daemons: int,
    ) -> ejection_state.EjectionState | None:
        """Review one target and return its new verdict, if it changes."""
        if case.state == Standing.EJECTED.value:
            return self.release(case, now)
        if self.is_faulty(case, now, daemons):
            return self.eject(case, now)
        if case.state == Standing.RETURNING.value:
            return self.settle(case, now)
        return None

    def is_faulty(self, case: TargetRecord, now: float, daemons: int) -> bool:
        """Tell whether several independent observers saw a fault.

        The latest third of the window is looked at by itself too, so that
        good results from before the fault do not hide it.
        """
        return any(
            self.is_faulty_in_slices(case, now, daemons, slices)
            for slices in (
                result_counts.WINDOW_SLICES,
                result_counts.WINDOW_SLICES // RECENT_WINDOW_DIVISOR,
            )
        )

    def is_faulty_in_slices(
        self,
        case: TargetRecord,
        now: float,
        daemons: int,
        slices: int,
    ) -> bool:
        """Tell whether a fault was seen in the latest slices."""
        sums = {
            name: observer.window.sum(now, slices)
            for name, observer in case.observations.items()
        }
        total = sum_counts(sums.values())
        witnesses = {
            name
            for name, counts in sums.items()
            if counts.suspect
            and counts.suspect_share >= self.settings.bad_share
        }
        needed = min(self.settings.observers, daemons)
        if len(witnesses) < needed or not self.has_enough_suspect(total):
            return False
        path = self.is_path_fault(case, witnesses, now)
        return not path and self.is_significant(case, total, now)

    def has_enough_suspect(self, total: result_counts.ResultCounts) -> bool:
        """Tell whether suspect results are many, and most of all."""
        enough = total.suspect >= self.settings.least_bad
        return enough and total.suspect_share >= self.settings.bad_share

    def is_significant(
        self,
        case: TargetRecord,
        total: result_counts.ResultCounts,
        now: float,
    ) -> bool:
        """Tell whether the suspect results are more than chance.

        They are compared with the other targets of the service: where all
        are slow, being slow is no fault of one.
        """
        others = sum_counts(
            observer.window.sum(now)
            for other in self.records.values()
            if other.service == case.service and other is not case
            for observer in other.observations.values()
        )
        results = max(1, others.total)
        usual_bad = max(MIN_BASELINE_BAD_RATIO, others.bad / results)
        usual = max(MIN_BASELINE_SUSPECT_RATIO, others.suspect / results)
        chances = (
            significance.binomial_tail(total.total, total.bad, usual_bad),
            significance.binomial_tail(total.total, total.suspect, usual),
        )
        return min(chances) <= self.settings.most_chance

    def is_path_fault(
        self,
        case: TargetRecord,
        witnesses: abc.Set[str],
        now: float,
    ) -> bool:
        """Tell whether it may be the way from one zone that is at fault.

        Where all witnesses sit in one zone, the other zones get some time
        to report, and one good result of theirs speaks for the target.
        """
        zones = {case.observations[name].zone for name in witnesses}
        if len(zones) > 1:
            return False
        since = min(case.observations[name].suspect_since for name in witnesses)
        contrary = any(
            observer.last_good_at > since
            for observer in case.observations.values()
            if observer.zone not in zones
        )
        elsewhere = any(
            observer.zone not in zones
            for observer in case.observations.values()
        )
        early = now - since < self.settings.hearing_seconds
        return contrary or (elsewhere and early)

    def eject(
        self, case: TargetRecord, now: float
    ) -> ejection_state.EjectionState:
        """Eject a target, longer at each relapse."""
        lasting = self.settings.return_seconds * RELAPSE_RESET_FACTOR
        relapse = case.ejection_state.epoch > 0 and (
            case.state == Standing.RETURNING.value
            or now - case.state_since < lasting
        )
        relapses = case.ejection_state.relapses + 1 if relapse else 0
        witnesses = sorted(
            name
            for name, observer in case.observations.items()
            if observer.window.sum(now).suspect
        )
        case.fire('eject')
        reason = f'seen by {", ".join(witnesses)}'
        return self.enter_state(case, now, relapses, reason)

    def eject_seconds(self, case: TargetRecord) -> float:
        """Return the length of the present ejection."""
        first = self.settings.eject_seconds
        doubled = first * 2 ** min(
            case.ejection_state.relapses, MAX_BACKOFF_EXPONENT
        )
        return min(doubled, self.settings.most_eject_seconds)

    def release(
        self, case: TargetRecord, now: float
    ) -> ejection_state.EjectionState | None:
        """Let a target return when its ejection is over.

        It stays out while probes still fail.
        """
        if now - case.state_since < self.eject_seconds(case):
            return None
        windows = (seen.window.sum(now) for seen in case.observations.values())
        if any(counts.suspect for counts in windows):
            return None
        case.fire('release')
        return self.enter_state(
            case, now, case.ejection_state.relapses, 'time over'
        )

    def settle(
        self, case: TargetRecord, now: float
    ) -> ejection_state.EjectionState | None:
        """Call a returning target healthy when its return is over."""
        if now - case.state_since < self.settings.return_seconds:
            return None
        case.fire('settle')
        return self.enter_state(
            case, now, case.ejection_state.relapses, 'returned'
        )

    def enter_state(
        self,
        case: TargetRecord,
        now: float,
        relapses: int,
        reason: str,
    ) -> ejection_state.EjectionState:
        """Make the verdict for the state that was entered."""
        case.state_since = now
        case.observations.clear()
        case.ejection_state = ejection_state.EjectionState(
            target=case.ejection_state.target,
            epoch=case.ejection_state.epoch + 1,
            standing=Standing(case.state),
            relapses=relapses,
            reason=reason,
            judge=self.vm,
        )
        return case.ejection_state


MAX_BACKOFF_EXPONENT: typing.Final = 16


def sum_counts(
    parts: abc.Iterable[result_counts.ResultCounts],
) -> result_counts.ResultCounts:
    """Return the sum of some counts."""
    total = result_counts.ResultCounts()
    for counts in parts:
        total.add(counts)
    return total
