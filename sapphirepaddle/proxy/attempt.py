"""Sends a request to one target and classifies the answer."""

import asyncio
import typing

from sapphirepaddle import clock, errors
from sapphirepaddle.gateway import headers as header_rules
from sapphirepaddle.proxy import (
    attempt_result,
    body_memory,
    connection_pool,
    header_codec,
    http_message,
    request_context,
    run_statement,
    target_connection,
    target_notices,
)
from sapphirepaddle.routing import candidate

CONNECT_SECONDS: typing.Final = 0.4
"""Connect timeout; the round trip between availability zones takes about a
millisecond."""
ANSWER_MARGIN_SECONDS: typing.Final = 0.1
"""Wait beyond the deadline for the target's own timeout answer."""
STATED_IDLE_RATIO: typing.Final = 0.6
"""Part of the keep-alive time stated by a target for which its idle
connection is reused."""
DEFAULT_MAX_IDLE_SECONDS: typing.Final = 2.0
"""Maximum idle time of a reused connection if the target states no keep-alive
time."""
NON_IDEMPOTENT_MAX_IDLE_SECONDS: typing.Final = 0.25
"""Maximum idle time of a connection reused for a non-idempotent request: the
target may be closing it, and such a request cannot be sent again."""
MIN_SERVER_ERROR_STATUS: typing.Final = 500
NOT_RUN_STATUSES: typing.Final = frozenset((408, 421, 429, 503))
"""Statuses that promise that a request has not run; without the header that
proves it, an answer with such a status is not trusted."""
UNFORWARDED_HEADERS: typing.Final = frozenset(
    (b'content-length', b'transfer-encoding', b'expect'),
)
"""Headers left out because the daemon has read the complete body and sends it
with its own Content-Length."""

AttemptResultKind = attempt_result.AttemptResultKind
AttemptResult = attempt_result.AttemptResult


class AttemptRunner:
    """Sends requests to targets.

    Attributes:
        header_codec: Reads and writes the headers of both sides.
        answer_memory: Memory budget for the bodies of answers.
        connection_pool: Idle connections to targets.
        notices: Applies what targets state about themselves.
    """

    def __init__(
        self,
        codec: header_codec.HeaderCodec,
        answer_memory: body_memory.BodyMemoryBudget,
        notices: target_notices.TargetNotices,
    ) -> None:
        """Initialize with an empty connection pool."""
        self.notices = notices
        self.header_codec = codec
        self.answer_memory = answer_memory
        self.connection_pool = connection_pool.ConnectionPool(answer_memory)

    async def connect(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
    ) -> target_connection.TargetConnection:
        """Return an idle or a new connection to a target.

        A request that the target turned away gets another connection: on the
        former one a copy of the refusal could be taken for its answer. Its
        caller may send it again with the same identifier.

        Raises:
            TargetError: If none opens in time; nothing was sent.
        """
        registration = target.registration
        address = (registration.host, registration.port)
        if registration.name not in context.sent_targets:
            connection = await self.connection_pool.acquire_idle(
                address, max_idle_seconds(context, target), context.identifier
            )
            if connection is not None:
                return connection
        timeout_seconds = min(
            CONNECT_SECONDS, max(0, context.remaining_seconds)
        )
        return await self.connection_pool.open(address, timeout_seconds)

    async def send(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
        connection: target_connection.TargetConnection,
    ) -> AttemptResult:
        """Send a request and classify the answer.

        The connection returns to the pool after a complete answer and is
        closed otherwise.
        """
        outgoing = self.build_request(context, target.registration.name)
        try:
            async with asyncio.timeout(
                context.remaining_seconds + ANSWER_MARGIN_SECONDS
            ):
                answer = await connection.exchange(outgoing)
        except TimeoutError:
            connection.close()
            return AttemptResult(AttemptResultKind.LOST, 'timeout')
        except errors.TargetError as error:
            connection.close()
            return AttemptResult(AttemptResultKind.LOST, error.detail)
        except BaseException:
            connection.close()
            raise
        return self.classify_answer(context, target, connection, answer)

    def build_request(
        self, context: request_context.RequestContext, target_name: str
    ) -> http_message.OutgoingRequest:
        """Return the request in the form that is sent to the target."""
        request = context.request
        values_by_name = {
            name.lower(): header_value for name, header_value in request.headers
        }
        excluded = (
            header_rules.hop_by_hop_names(values_by_name) | UNFORWARDED_HEADERS
        )
        forwarded = [
            header
            for header in request.headers
            if header[0].lower() not in excluded
        ]
        metadata = header_codec.ForwardMetadata(
            target_name, context.remaining_seconds, context.account_name
        )
        target_headers = self.header_codec.write_request(forwarded, metadata)
        if request.has_body:
            target_headers.append(
                (b'Content-Length', b'%d' % len(request.body))
            )
        return http_message.OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=target_headers,
            body=request.body,
            matches=lambda status, headers, is_first: self.is_answer_to(
                context.identifier, status, headers, is_first
            ),
        )

    def is_answer_to(
        self,
        identifier: str,
        status: int,
        headers: header_codec.Headers,
        is_first: bool,
    ) -> bool:
        """Return whether an answer belongs to a request.

        An answer without an identifier is accepted if it has no response
        stamp. One that reports that the request did not run is accepted only
        as the first answer on its connection: a later one may be a copy of
        the refusal of an earlier request.
        """
        metadata = self.header_codec.read_answer(status, headers)
        if metadata.identifier:
            return metadata.identifier == identifier
        if metadata.is_not_run or metadata.is_misdirected:
            return is_first
        return not metadata.has_response_stamp

    def classify_answer(
        self,
        context: request_context.RequestContext,
        target: candidate.Candidate,
        connection: target_connection.TargetConnection,
        answer: http_message.ReceivedAnswer,
    ) -> AttemptResult:
        """Classify a complete answer and return or close its connection."""
        metadata = self.header_codec.read_answer(answer.status, answer.headers)
        address = (target.registration.host, target.registration.port)
        self.notices.apply(context, target, metadata)
        if metadata.idle_seconds is not None:
            target.keep_alive_seconds = metadata.idle_seconds
        refusal = run_statement.read_refusal(
            metadata, answer.status, target.registration.name
        )
        if refusal is not None:
            connection.refused_identifiers.add(context.identifier)
        if answer.is_reusable:
            self.connection_pool.return_idle(address, connection)
        else:
            connection.close()
        if refusal is run_statement.Refusal.MISDIRECTED:
            target.record_misdirected(clock.monotonic())
        if refusal is not None:
            return AttemptResult(
                AttemptResultKind.NOT_RUN,
                f'{refusal.value} {answer.status}',
                is_pause_stated=bool(metadata.pause_seconds),
                origin=attempt_result.AnswerOrigin(
                    exchange_count=connection.exchange_count - 1,
                    skipped_count=answer.skipped_count,
                    is_identified=bool(metadata.identifier),
                ),
            )
        if metadata.is_not_run:
            return AttemptResult(
                AttemptResultKind.LOST, f'contradictory {answer.status}'
            )
        if answer.status in run_statement.SUCCESS_STATUSES:
            return classify_success(context, metadata, answer)
        if not metadata.has_response_stamp or answer.status in NOT_RUN_STATUSES:
            return AttemptResult(
                AttemptResultKind.LOST, f'unproved {answer.status}'
            )
        kind = AttemptResultKind.ANSWERED
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            kind = AttemptResultKind.FAILED
        return AttemptResult(kind, str(answer.status), answer)


def classify_success(
    context: request_context.RequestContext,
    metadata: header_codec.AnswerMetadata,
    answer: http_message.ReceivedAnswer,
) -> AttemptResult:
    """Classify an answer with a success status.

    It is trusted only with the response stamp, which proves that a target made
    it, with the identifier of the request and without a content encoding.
    """
    if (
        not metadata.has_response_stamp
        or metadata.identifier != context.identifier
    ):
        return AttemptResult(AttemptResultKind.LOST, 'success without proof')
    if metadata.is_encoded:
        return AttemptResult(AttemptResultKind.LOST, 'encoded body')
    return AttemptResult(AttemptResultKind.ANSWERED, str(answer.status), answer)


def max_idle_seconds(
    context: request_context.RequestContext, target: candidate.Candidate
) -> float:
    """Return the maximum idle time of a connection reused for a request."""
    limit = DEFAULT_MAX_IDLE_SECONDS
    if target.keep_alive_seconds is not None:
        limit = target.keep_alive_seconds * STATED_IDLE_RATIO
    if context.route.is_idempotent:
        return limit
    return min(limit, NON_IDEMPOTENT_MAX_IDLE_SECONDS)
