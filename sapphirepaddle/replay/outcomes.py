"""Outcomes that a trace can state, by name."""

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
        name: Name that traces use.
    """

    def decorate(check: Check) -> Check:  # noqa: WPS430
        REGISTRY[name] = check
        return check

    return decorate


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeCheck:
    """Whether one stated outcome held.

    Attributes:
        name: Name of the outcome.
        bound: The stated bound.
        held: Whether it held.
    """

    name: str
    bound: float
    held: bool


def check_all(
    measured: measures.Measures,
    stated: abc.Mapping[str, float],
) -> list[OutcomeCheck]:
    """Check every stated outcome.

    Raises:
        TraceError: If an outcome is not known.
    """
    unknown = stated.keys() - REGISTRY.keys()
    if unknown:
        raise errors.TraceError(
            codes.TRACE_INVALID,
            f'unknown outcomes {sorted(unknown)}; known: {sorted(REGISTRY)}',
        )
    return [
        OutcomeCheck(
            name=name, bound=bound, held=REGISTRY[name](measured, bound)
        )
        for name, bound in stated.items()
    ]


@register('most_runs_twice')
def check_runs_twice(measured: measures.Measures, bound: float) -> bool:
    """Check that at most so many orders ran more than once."""
    return measured.runs_twice <= bound


@register('most_not_run_false')
def check_not_run_false(measured: measures.Measures, bound: float) -> bool:
    """Check that at most so many refusals wrongly said "not run"."""
    return measured.not_run_false <= bound


@register('most_crossed')
def check_crossed(measured: measures.Measures, bound: float) -> bool:
    """Check that at most so many answers named another request."""
    return measured.crossed <= bound


@register('most_keys_seen')
def check_keys_seen(measured: measures.Measures, bound: float) -> bool:
    """Check that targets saw at most so many keys."""
    return measured.keys_seen <= bound


@register('most_over_rate')
def check_over_rate(measured: measures.Measures, bound: float) -> bool:
    """Check the largest excess of an account over rate and burst."""
    return measured.over_rate <= bound


@register('least_worst_ratio')
def check_worst_ratio(measured: measures.Measures, bound: float) -> bool:
    """Check how the worst-served client account fared."""
    return measured.worst_ratio >= bound


@register('most_refused_within')
def check_refused_within(measured: measures.Measures, bound: float) -> bool:
    """Check requests refused although within rate."""
    return measured.refused_within <= bound


@register('most_unanswered')
def check_unanswered(measured: measures.Measures, bound: float) -> bool:
    """Check requests without a whole answer."""
    return measured.unanswered <= bound


@register('least_score_share')
def check_score_share(measured: measures.Measures, bound: float) -> bool:
    """Check the score as a share of the possible one."""
    return measured.score >= bound * measured.possible_score


@register('most_detection_seconds')
def check_detection_seconds(measured: measures.Measures, bound: float) -> bool:
    """Check that faulty targets were ejected in time."""
    return not measured.undetected and measured.detection_most <= bound


@register('most_false_ejections')
def check_false_ejections(measured: measures.Measures, bound: float) -> bool:
    """Check ejections of targets without a fault."""
    return measured.false_ejections <= bound
