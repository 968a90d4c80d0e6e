"""Log of decisions, bounded by kind."""

import collections
import typing

from sapphirepaddle import clock
from sapphirepaddle.telemetry import counters, logs

MAX_LINES_PER_SECOND: typing.Final = 50
"""Lines of one kind written in a second; the rest is counted."""


class LineRateLimiter:
    """Lines of one kind in the present second.

    Attributes:
        second: The second.
        written: Lines written in it.
        dropped: Lines dropped since the last one that was written.
    """

    def __init__(self) -> None:
        """Start with nothing written."""
        self.current_second = 0
        self.written_lines = 0
        self.dropped_lines = 0

    def try_acquire(self, second: int) -> bool:
        """Take a line, if one is left in this second."""
        if second != self.current_second:
            self.current_second = second
            self.written_lines = 0
        if self.written_lines >= MAX_LINES_PER_SECOND:
            self.dropped_lines += 1
            return False
        self.written_lines += 1
        return True


class DecisionLog:
    """Writes a line for each decision.

    Attributes:
        logger: Where lines go; it never blocks.
        counters: Totals, by kind of decision.
        allowances: Lines left by kind.
    """

    def __init__(self, totals: counters.Counters) -> None:
        """Start with nothing written."""
        self.logger = logs.get_logger('decision')
        self.counters = totals
        self.limiters: collections.defaultdict[str, LineRateLimiter] = (
            collections.defaultdict(LineRateLimiter)
        )

    def log_decision(self, decision: str, **inputs: typing.Any) -> None:
        """Write a line, or count it as dropped.

        Args:
            decision: Kind of decision.
            inputs: What decided it and its outcome.
        """
        self.counters.add('decisions', decision)
        allowance = self.limiters[decision]
        if not allowance.try_acquire(int(clock.monotonic())):
            self.counters.add('log_lines_dropped', decision)
            return
        if allowance.dropped_lines:
            inputs['dropped_before'] = allowance.dropped_lines
            allowance.dropped_lines = 0
        self.logger.info(decision, **inputs)
