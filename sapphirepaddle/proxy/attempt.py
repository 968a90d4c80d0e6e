"""Sending a request to one target and judging what comes back."""

import asyncio
import http
import typing

from sapphirepaddle import clock, errors
from sapphirepaddle.gateway import headers as header_rules
from sapphirepaddle.proxy import (
    connection_pool,
    header_codec,
    request_context,
    http_message,
    attempt_result,
    target_connection,
)
from sapphirepaddle.routing import candidate

CONNECT_SECONDS: typing.Final = 0.4
"""Longest wait for a connection; zones are about a millisecond apart."""
ANSWER_MARGIN_SECONDS: typing.Final = 0.1
"""Wait beyond the deadline for the target's own word about it."""
STATED_IDLE_RATIO: typing.Final = 0.6
"""Part of the idle time that a target states in which its connection is
used again."""
DEFAULT_MAX_IDLE_SECONDS: typing.Final = 2.0
"""Idleness after which a connection is not used again if the target states
no time."""
NON_IDEMPOTENT_MAX_IDLE_SECONDS: typing.Final = 0.25
"""Idleness after which a connection is not used again for a request that
must not repeat: its target may just have closed it."""
SERVER_ERROR: typing.Final = 500
SUCCESS: typing.Final = range(
    http.HTTPStatus.OK, http.HTTPStatus.MULTIPLE_CHOICES
)
NOT_RUN_STATUSES: typing.Final = frozenset((408, 421, 429, 503))
"""Statuses that promise that a request has not run."""
UNFORWARDED_HEADERS: typing.Final = frozenset(
    (b'content-length', b'transfer-encoding', b'expect'),
)

AttemptResultKind = attempt_result.AttemptResultKind
AttemptResult = attempt_result.AttemptResult


class AttemptRunner:
    """Sends requests to targets.

    Attributes:
        dialect: Names of headers.
        connections: Kept connections.
    """

    def __init__(self, spoken: header_codec.HeaderCodec) -> None:
        """Start without connections."""
        self.header_codec = spoken
        self.connection_pool = connection_pool.ConnectionPool()

    async def connect(
        self,
        wanted: request_context.RequestContext,
        chosen: candidate.Candidate,
    ) -> target_connection.TargetConnection:
        """Return a connection to a target, kept or new.

        Raises:
            TargetError: If none opens in time; nothing was sent.
        """
        held = chosen.registration
        place = (held.host, held.port)
        kept = await self.connection_pool.acquire_idle(
            place, max_idle_seconds(wanted, chosen)
        )
        if kept is not None:
            return kept
        seconds = min(CONNECT_SECONDS, max(0, wanted.remaining_seconds))
        return await self.connection_pool.open(place, seconds)

    async def send(
        self,
        wanted: request_context.RequestContext,
        chosen: candidate.Candidate,
        used: target_connection.TargetConnection,
    ) -> AttemptResult:
        """Send a request and judge the answer.

        The connection is kept after a whole answer and closed otherwise.
        """
        held = chosen.registration
        asked = self.build_request(wanted, held.name)
        try:
            async with asyncio.timeout(
                wanted.remaining_seconds + ANSWER_MARGIN_SECONDS
            ):
                received = await used.exchange(asked)
        except TimeoutError:
            used.close()
            return AttemptResult(AttemptResultKind.LOST, 'timeout')
        except errors.TargetError as error:
            used.close()
            return AttemptResult(AttemptResultKind.LOST, error.detail)
        except BaseException:
            used.close()
            raise
        return self.classify_answer(wanted, chosen, used, received)

    def build_request(
        self, wanted: request_context.RequestContext, target: str
    ) -> http_message.OutgoingRequest:
        """Return the request as the target gets it."""
        asked = wanted.request
        index = {name.lower(): content for name, content in asked.headers}
        hidden = header_rules.hop_by_hop_names(index) | UNFORWARDED_HEADERS
        passed = [
            header
            for header in asked.headers
            if header[0].lower() not in hidden
        ]
        marks = header_codec.ForwardMetadata(
            target, wanted.remaining_seconds, wanted.account_name
        )
        written = self.header_codec.write_request(passed, marks)
        if asked.has_body:
            written.append((b'Content-Length', b'%d' % len(asked.body)))
        return http_message.OutgoingRequest(
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
        found: header_codec.Headers,
    ) -> bool:
        """Tell whether an answer belongs to a request.

        One without an identifier may be the target's word that it is not
        the one that was meant.
        """
        marks = self.header_codec.read_answer(status, found)
        if marks.identifier:
            return marks.identifier == identifier
        return marks.is_not_run or not marks.has_response_stamp

    def classify_answer(
        self,
        wanted: request_context.RequestContext,
        chosen: candidate.Candidate,
        used: target_connection.TargetConnection,
        received: http_message.ReceivedAnswer,
    ) -> AttemptResult:
        """Judge a whole answer."""
        marks = self.header_codec.read_answer(received.status, received.headers)
        place = (chosen.registration.host, chosen.registration.port)
        if marks.idle_seconds is not None:
            chosen.keep_alive_seconds = marks.idle_seconds
        if received.is_reusable:
            self.connection_pool.return_idle(place, used)
        else:
            used.close()
        if marks.is_misdirected:
            chosen.record_misdirected(clock.monotonic())
            return AttemptResult(AttemptResultKind.NOT_RUN, 'misdirected')
        if marks.is_not_run:
            return AttemptResult(
                AttemptResultKind.NOT_RUN, f'refused {received.status}'
            )
        if received.status in SUCCESS:
            return classify_success(wanted, marks, received)
        if not marks.has_response_stamp or received.status in NOT_RUN_STATUSES:
            return AttemptResult(
                AttemptResultKind.LOST, f'unproved {received.status}'
            )
        fate = AttemptResultKind.ANSWERED
        if received.status >= SERVER_ERROR:
            fate = AttemptResultKind.FAILED
        return AttemptResult(fate, str(received.status), received)


def classify_success(
    wanted: request_context.RequestContext,
    marks: header_codec.AnswerMetadata,
    received: http_message.ReceivedAnswer,
) -> AttemptResult:
    """Judge a success: it needs its proof, identifier and plain body."""
    if not marks.has_response_stamp or marks.identifier != wanted.identifier:
        return AttemptResult(AttemptResultKind.LOST, 'success without proof')
    if marks.is_encoded:
        return AttemptResult(AttemptResultKind.LOST, 'encoded body')
    return AttemptResult(
        AttemptResultKind.ANSWERED, str(received.status), received
    )


def max_idle_seconds(
    wanted: request_context.RequestContext, chosen: candidate.Candidate
) -> float:
    """Return the idleness up to which a connection is used again."""
    limit = DEFAULT_MAX_IDLE_SECONDS
    if chosen.keep_alive_seconds is not None:
        limit = chosen.keep_alive_seconds * STATED_IDLE_RATIO
    if wanted.route.is_idempotent:
        return limit
    return min(limit, NON_IDEMPOTENT_MAX_IDLE_SECONDS)
