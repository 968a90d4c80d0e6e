"""Sending a request to one target and judging what comes back."""

import asyncio
import http
import typing

from sapphirepaddle import clock, errors
from sapphirepaddle.gateway import headers as header_rules
from sapphirepaddle.proxy import (
    connections,
    dialect,
    job,
    message,
    outcome,
    target_connection,
)
from sapphirepaddle.routing import candidate

CONNECT_SECONDS: typing.Final = 0.4
"""Longest wait for a connection; zones are about a millisecond apart."""
ANSWER_MARGIN_SECONDS: typing.Final = 0.1
"""Wait beyond the deadline for the target's own word about it."""
STATED_IDLE_SHARE: typing.Final = 0.6
"""Part of the idle time that a target states in which its connection is
used again."""
UNSTATED_IDLE_SECONDS: typing.Final = 2.0
"""Idleness after which a connection is not used again if the target states
no time."""
ORDER_IDLE_SECONDS: typing.Final = 0.25
"""Idleness after which a connection is not used again for a request that
must not repeat: its target may just have closed it."""
SERVER_ERROR: typing.Final = 500
SUCCESS: typing.Final = range(
    http.HTTPStatus.OK, http.HTTPStatus.MULTIPLE_CHOICES
)
NOT_RUN_STATUSES: typing.Final = frozenset((408, 421, 429, 503))
"""Statuses that promise that a request has not run."""
UNFORWARDED: typing.Final = frozenset(
    (b'content-length', b'transfer-encoding', b'expect'),
)

Fate = outcome.Fate
Outcome = outcome.Outcome


class Attempts:
    """Sends requests to targets.

    Attributes:
        dialect: Names of headers.
        connections: Kept connections.
    """

    def __init__(self, spoken: dialect.Dialect) -> None:
        """Start without connections."""
        self.dialect = spoken
        self.connections = connections.Connections()

    async def connect(
        self,
        wanted: job.Job,
        chosen: candidate.Candidate,
    ) -> target_connection.TargetConnection:
        """Return a connection to a target, kept or new.

        Raises:
            TargetError: If none opens in time; nothing was sent.
        """
        held = chosen.registration
        place = (held.host, held.port)
        kept = await self.connections.take(place, most_idle(wanted, chosen))
        if kept is not None:
            return kept
        seconds = min(CONNECT_SECONDS, max(0, wanted.left))
        return await self.connections.open(place, seconds)

    async def send(
        self,
        wanted: job.Job,
        chosen: candidate.Candidate,
        used: target_connection.TargetConnection,
    ) -> Outcome:
        """Send a request and judge the answer.

        The connection is kept after a whole answer and closed otherwise.
        """
        held = chosen.registration
        asked = self.compose(wanted, held.name)
        try:
            async with asyncio.timeout(wanted.left + ANSWER_MARGIN_SECONDS):
                received = await used.exchange(asked)
        except TimeoutError:
            used.close()
            return Outcome(Fate.LOST, 'timeout')
        except errors.TargetError as error:
            used.close()
            return Outcome(Fate.LOST, error.detail)
        except BaseException:
            used.close()
            raise
        return self.judge(wanted, chosen, used, received)

    def compose(self, wanted: job.Job, target: str) -> message.Message:
        """Return the request as the target gets it."""
        asked = wanted.request
        index = {name.lower(): content for name, content in asked.headers}
        hidden = header_rules.dropped(index) | UNFORWARDED
        passed = [
            header
            for header in asked.headers
            if header[0].lower() not in hidden
        ]
        marks = dialect.SendMarks(target, wanted.left, wanted.account_name)
        written = self.dialect.write_request(passed, marks)
        if asked.has_body:
            written.append((b'Content-Length', b'%d' % len(asked.body)))
        return message.Message(
            method=asked.method,
            target=asked.target,
            headers=written,
            body=asked.body,
            matches=lambda status, found: self.is_answer_to(
                wanted.identifier,
                status,
                found,
            ),
        )

    def is_answer_to(
        self,
        identifier: str,
        status: int,
        found: dialect.Headers,
    ) -> bool:
        """Tell whether an answer belongs to a request.

        One without an identifier may be the target's word that it is not
        the one that was meant.
        """
        marks = self.dialect.read_answer(status, found)
        if marks.identifier:
            return marks.identifier == identifier
        return marks.is_not_run or not marks.is_stamped

    def judge(
        self,
        wanted: job.Job,
        chosen: candidate.Candidate,
        used: target_connection.TargetConnection,
        received: message.Received,
    ) -> Outcome:
        """Judge a whole answer."""
        marks = self.dialect.read_answer(received.status, received.headers)
        place = (chosen.registration.host, chosen.registration.port)
        if marks.idle_seconds is not None:
            chosen.keep_alive_seconds = marks.idle_seconds
        if received.is_reusable:
            self.connections.keep(place, used)
        else:
            used.close()
        if marks.is_misdirected:
            chosen.record_misdirected(clock.monotonic())
            return Outcome(Fate.NOT_RUN, 'misdirected')
        if marks.is_not_run:
            return Outcome(Fate.NOT_RUN, f'refused {received.status}')
        if received.status in SUCCESS:
            return judge_success(wanted, marks, received)
        if not marks.is_stamped or received.status in NOT_RUN_STATUSES:
            return Outcome(Fate.LOST, f'unproved {received.status}')
        fate = Fate.ANSWERED
        if received.status >= SERVER_ERROR:
            fate = Fate.FAILED
        return Outcome(fate, str(received.status), received)


def judge_success(
    wanted: job.Job,
    marks: dialect.AnswerMarks,
    received: message.Received,
) -> Outcome:
    """Judge a success: it needs its proof, identifier and plain body."""
    if not marks.is_stamped or marks.identifier != wanted.identifier:
        return Outcome(Fate.LOST, 'success without proof')
    if marks.is_encoded:
        return Outcome(Fate.LOST, 'encoded body')
    return Outcome(Fate.ANSWERED, str(received.status), received)


def most_idle(wanted: job.Job, chosen: candidate.Candidate) -> float:
    """Return the idleness up to which a connection is used again."""
    limit = UNSTATED_IDLE_SECONDS
    if chosen.keep_alive_seconds is not None:
        limit = chosen.keep_alive_seconds * STATED_IDLE_SHARE
    if wanted.route.is_idempotent:
        return limit
    return min(limit, ORDER_IDLE_SECONDS)
