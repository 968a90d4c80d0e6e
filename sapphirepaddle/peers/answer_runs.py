"""Times at which calls to the source were answered, or failed."""

import dataclasses
import typing

MAX_ANSWER_GAP_SECONDS: typing.Final = 3.5
"""Longest time between two answers of one run; few entries of targets expire in
a shorter outage."""
MAX_RUNS: typing.Final = 8
"""Maximum number of runs kept; reports are at most a few seconds late."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A time in which no gap between answers was too long.

    Attributes:
        start: Monotonic time of its first answer.
        end: Monotonic time of its last answer.
    """

    start: float
    end: float


class AnswerRuns:
    """Runs of answers, merged from reports that may arrive in any order.

    Attributes:
        runs: The newest runs, oldest first.
    """

    def __init__(self) -> None:
        """Initialize without answers."""
        self.runs: list[Run] = []

    def record(self, start: float, end: float) -> None:
        """Record a run; runs between which no gap is left become one."""
        later_runs: list[Run] = []
        while self.runs and self.runs[-1].end + MAX_ANSWER_GAP_SECONDS >= start:
            run = self.runs.pop()
            if run.start - MAX_ANSWER_GAP_SECONDS > end:
                later_runs.append(run)
                continue
            start = min(start, run.start)
            end = max(end, run.end)
        later_runs.append(Run(start, end))
        self.runs = [*self.runs, *reversed(later_runs)][-MAX_RUNS:]

    @property
    def newest(self) -> Run | None:
        """The newest run; None before the first answer."""
        return self.runs[-1] if self.runs else None
