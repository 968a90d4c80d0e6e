"""Rate-limited log of decisions."""

import collections
import typing

from sapphirepaddle import clock
from sapphirepaddle.telemetry import counters, logs

MAX_LINES_PER_SECOND: typing.Final = 50
"""Maximum lines of one decision per second; further ones are only counted."""


class LineRateLimiter:
    """Limits the log lines of one decision in each second.

    Attributes:
        current_second: Second of the last call, of the monotonic clock.
        written_lines: Number of lines written in that second.
        dropped_lines: Number of lines dropped since the last one that was
            written.
    """

    def __init__(self) -> None:
        """Start with nothing written."""
        self.current_second = 0
        self.written_lines = 0
        self.dropped_lines = 0

    def try_acquire(self, second: int) -> bool:
        """Return whether a line may be written in a second, and count it."""
        if second != self.current_second:
            self.current_second = second
            self.written_lines = 0
        if self.written_lines >= MAX_LINES_PER_SECOND:
            self.dropped_lines += 1
            return False
        self.written_lines += 1
        return True


class DecisionLog:
    """Counts decisions and writes a log line for each of them.

    Attributes:
        logger: Logger for the lines; it never blocks.
        counters: Counters of decisions and dropped lines.
        limiters: Rate limiters by decision.
    """

    def __init__(self, totals: counters.Counters) -> None:
        """Start with nothing written."""
        self.logger = logs.get_logger('decision')
        self.counters = totals
        self.limiters: collections.defaultdict[str, LineRateLimiter] = (
            collections.defaultdict(LineRateLimiter)
        )

    def log_decision(self, decision: str, **inputs: typing.Any) -> None:
        """Log a decision, or count its line as dropped.

        The next line that is written has the number of dropped ones.

        Args:
            decision: Kind of decision, used as event name and label.
            inputs: Inputs and outcome of the decision.
        """
        self.counters.add('decisions', decision)
        limiter = self.limiters[decision]
        if not limiter.try_acquire(int(clock.monotonic())):
            self.counters.add('log_lines_dropped', decision)
            return
        if limiter.dropped_lines:
            inputs['dropped_before'] = limiter.dropped_lines
            limiter.dropped_lines = 0
        self.logger.info(decision, **inputs)
