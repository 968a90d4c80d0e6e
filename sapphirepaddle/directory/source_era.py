"""Newest known era of the source."""

import math
import typing
from collections import abc

from sapphirepaddle import clock
from sapphirepaddle.directory import revisions
from sapphirepaddle.telemetry import logs

MIN_LOG_INTERVAL_SECONDS: typing.Final = 10.0
"""Minimum interval between log lines about answers of an older era."""


class SourceEra:
    """Newest era that any answer of the source, or any peer, has stated.

    Attributes:
        number: The era; 0 before the first one is known.
        is_known: Whether one was stated.
        returned_at: Monotonic time at which the newest return of the source
            from an older copy was learned; -inf if there was none.
        return_count: Number of returns learned of.
        outdated_count: Number of answers of an older era.
        on_return: Called after a return was learned of.
        logged_at: Monotonic time of the last line about an outdated answer.
        logger: Log of returns and of outdated answers.
    """

    def __init__(self) -> None:
        """Initialize without a known era."""
        self.number = 0
        self.is_known = False
        self.returned_at = -math.inf
        self.return_count = 0
        self.outdated_count = 0
        self.on_return: list[abc.Callable[[], None]] = []
        self.logged_at = -math.inf
        self.logger = logs.get_logger('era')

    def learn(self, number: int, learned_from: str) -> None:
        """Record that an era was stated; an older one changes nothing.

        Args:
            number: The era.
            learned_from: Who stated it, to log.
        """
        if not self.is_known:
            self.is_known = True
            self.number = number
            return
        if number <= self.number:
            return
        self.logger.warning(
            'source returned from an older copy',
            era=number,
            before=self.number,
            learned_from=learned_from,
        )
        self.number = number
        self.returned_at = clock.monotonic()
        self.return_count += 1
        for callback in self.on_return:
            callback()

    def learn_from_peer(self, position: revisions.Revision) -> None:
        """Record the era of a position that a peer stated, if it has one."""
        if position.era:
            self.learn(position.era, 'peer')

    def has_ended(self, number: int) -> bool:
        """Return whether a newer era than this one is known."""
        return number < self.number

    def has_passed(self, position: revisions.Revision) -> bool:
        """Return whether a position belongs to an older era."""
        return position.era < self.number

    def position(self, number: int) -> revisions.Revision:
        """Return the position with a number in the newest era."""
        return revisions.Revision(self.number, number)

    def record_outdated(self, call: str, number: int) -> None:
        """Record an answer of an older era.

        Args:
            call: The call that was answered, to log.
            number: The era that the answer states.
        """
        self.outdated_count += 1
        now = clock.monotonic()
        if now - self.logged_at < MIN_LOG_INTERVAL_SECONDS:
            return
        self.logged_at = now
        self.logger.warning(
            'answer of an older era',
            call=call,
            era=number,
            newest=self.number,
            outdated=self.outdated_count,
        )
