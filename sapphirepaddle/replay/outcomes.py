"""Checks of the outcomes that a trace can state, by name."""

import dataclasses
import typing
from collections import abc

from sapphirepaddle import codes, errors
from sapphirepaddle.replay import measures

Check = abc.Callable[[measures.Measures, float], bool]
REGISTRY: typing.Final[dict[str, Check]] = {}  # noqa: WPS407


def register(name: str) -> abc.Callable[[Check], Check]:
    """Return a decorator that registers a check of an outcome.

    Args:
        name: Name of the outcome in traces.
    """

    def decorate(check: Check) -> Check:  # noqa: WPS430
        REGISTRY[name] = check
        return check

    return decorate


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeCheck:
    """Result of the check of one stated outcome.

    Attributes:
        name: Name of the outcome.
        bound: Bound that the trace states.
        held: Whether the measure was within the bound.
    """

    name: str
    bound: float
    held: bool


def check_all(
    measured: measures.Measures,
    bounds: abc.Mapping[str, float],
) -> list[OutcomeCheck]:
    """Check every stated outcome.

    Args:
        measured: Measures of a replay.
        bounds: Stated bounds by name of the outcome.

    Raises:
        TraceError: If no check has the name of an outcome.
    """
    unknown = bounds.keys() - REGISTRY.keys()
    if unknown:
        raise errors.TraceError(
            codes.TRACE_INVALID,
            f'unknown outcomes {sorted(unknown)}; known: {sorted(REGISTRY)}',
        )
    return [
        OutcomeCheck(
            name=name, bound=bound, held=REGISTRY[name](measured, bound)
        )
        for name, bound in bounds.items()
    ]


@register('most_runs_twice')
def check_runs_twice(measured: measures.Measures, bound: float) -> bool:
    """Check the number of requests executed more than once."""
    return measured.runs_twice <= bound


@register('most_not_run_false')
def check_not_run_false(measured: measures.Measures, bound: float) -> bool:
    """Check the number of false "not run" refusals."""
    return measured.not_run_false <= bound


@register('most_crossed')
def check_crossed(measured: measures.Measures, bound: float) -> bool:
    """Check the number of responses that belong to another request."""
    return measured.crossed <= bound


@register('most_keys_seen')
def check_keys_seen(measured: measures.Measures, bound: float) -> bool:
    """Check the number of executions at which a target saw a key."""
    return measured.keys_seen <= bound


@register('most_over_rate')
def check_over_rate(measured: measures.Measures, bound: float) -> bool:
    """Check the largest excess of an account over rate and burst."""
    return measured.over_rate <= bound


@register('least_worst_ratio')
def check_worst_ratio(measured: measures.Measures, bound: float) -> bool:
    """Check the served ratio of the worst-served client account."""
    return measured.worst_ratio >= bound


@register('most_refused_within')
def check_refused_within(measured: measures.Measures, bound: float) -> bool:
    """Check the number of requests refused although within their rate."""
    return measured.refused_within <= bound


@register('most_unanswered')
def check_unanswered(measured: measures.Measures, bound: float) -> bool:
    """Check the number of requests without a complete response."""
    return measured.unanswered <= bound


@register('least_score_share')
def check_score_share(measured: measures.Measures, bound: float) -> bool:
    """Check the score as a share of the possible score."""
    return measured.score >= bound * measured.possible_score


@register('most_detection_seconds')
def check_detection_seconds(measured: measures.Measures, bound: float) -> bool:
    """Check that every faulty target was ejected in time."""
    return not measured.undetected and measured.detection_most <= bound


@register('most_false_ejections')
def check_false_ejections(measured: measures.Measures, bound: float) -> bool:
    """Check the number of ejections of targets without a fault."""
    return measured.false_ejections <= bound
