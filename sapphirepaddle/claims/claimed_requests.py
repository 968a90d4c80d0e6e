"""Running requests with an idempotency key at most once."""

import asyncio
import base64
import dataclasses
import secrets
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.claims import claim_log, record
from sapphirepaddle.gateway import (
    answer,
    dispatch,
    header_names,
    request_context,
)
from sapphirepaddle.peers import messages
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters, logs

MILLISECONDS_PER_SECOND: typing.Final = 1000
POLL_SECONDS: typing.Final = 0.1
COMMIT_RETRY_SECONDS: typing.Final = 0.5
MAX_COMMIT_ATTEMPTS: typing.Final = 7200
"""Attempts to commit a record in the background; an hour of retries."""
TOKEN_BYTES: typing.Final = 12
State = record.State
UNDECIDED: typing.Final = frozenset((State.CLAIMED, State.RELEASED))
"""States without an outcome. A key that was claimed when a second claim was
rejected can be released before its record is read."""


class ClaimedRequestRunner:
    """Claims the key of a request, runs it, and records its outcome.

    Only the daemon whose claim was accepted sends the request. A repeated
    request with the same key gets the recorded outcome, or an error stating
    that the request may have run. A request that provably did not run
    releases its key.

    Attributes:
        settings: Times and sizes.
        claim_log: Commits records.
        dispatcher: Sends requests to targets.
        counters: Totals for metrics.
        tasks: Tasks that continue after their caller has disconnected.
        logger: Logger of states that could not be recorded.
    """

    def __init__(
        self,
        settings: entry.ClaimSettings,
        claims: claim_log.ClaimLog,
        dispatcher: dispatch.Dispatcher,
        totals: counters.Counters,
    ) -> None:
        """Initialize without running tasks."""
        self.settings = settings
        self.claim_log = claims
        self.dispatcher = dispatcher
        self.counters = totals
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.logger = logs.get_logger('claims')

    async def run(
        self, request: request_context.RequestContext
    ) -> answer.Answer:
        """Run a request once, or answer a repeated request.

        The request continues when the caller disconnects, so that its
        outcome is recorded.

        Raises:
            RefusedError: If the request is not run, or its outcome is
                unknown.
        """
        if not isinstance(request.body, bytes):
            raise errors.RefusedError(
                codes.BODY_TOO_LARGE,
                'a request with an idempotency key must fit the buffer',
            )
        task = asyncio.get_running_loop().create_task(
            self.claim_and_run(request)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(task)

    async def claim_and_run(
        self, request: request_context.RequestContext
    ) -> answer.Answer:
        """Claim the key, run the request and record its outcome.

        Raises:
            RefusedError: If the request is not run, or its outcome is
                unknown.
        """
        claim = create_claim(request)
        wait_until = (
            clock.monotonic()
            + request.route.patience_ms / MILLISECONDS_PER_SECOND
        )
        deadline_seconds = request.route.deadline_ms / MILLISECONDS_PER_SECOND
        result = await self.claim(claim, wait_until)
        if result.verdict == claim_log.HELD:
            recorded = record.ADAPTER.validate_json(result.record)
            return self.answer_repeat(recorded, claim)
        if clock.monotonic() > wait_until + deadline_seconds:
            self.commit_in_background(with_state(claim, State.RELEASED))
            raise errors.RefusedError(codes.WAIT_TIMEOUT, 'claimed too late')
        return await self.dispatch(request, claim)

    async def claim(
        self,
        claim: record.Record,
        wait_until: float,
    ) -> messages.ClaimResult:
        """Claim a key, waiting while an identical request is running.

        Args:
            claim: The claim to commit.
            wait_until: End of the wait on the monotonic clock.

        Raises:
            RefusedError: If the platform has not answered by then.
        """
        result = await self.try_claim(claim)
        while result is None or is_identical_running(result, claim):
            if clock.monotonic() >= wait_until:
                break
            await asyncio.sleep(POLL_SECONDS)
            result = await self.try_claim(claim)
        if result is None:
            self.commit_in_background(with_state(claim, State.RELEASED))
            raise errors.RefusedError(codes.CLAIMS_UNAVAILABLE)
        return result

    async def try_claim(
        self, claim: record.Record
    ) -> messages.ClaimResult | None:
        """Try to commit a claim; None if the platform does not answer."""
        try:
            return await self.claim_log.commit(claim)
        except errors.PlatformError:
            return None

    async def dispatch(
        self,
        request: request_context.RequestContext,
        claim: record.Record,
    ) -> answer.Answer:
        """Run a claimed request and record its outcome.

        Raises:
            RefusedError: If no target answered.
        """
        try:
            target_answer = await self.dispatcher.run(request)
        except errors.RefusedError as error:
            did_not_run = error.code.run_statement == codes.NOT_RUN
            state = State.RELEASED if did_not_run else State.LOST
            await self.commit_or_defer(with_state(claim, state))
            raise
        if target_answer.stream is not None:
            self.commit_in_background(
                completed_record(claim, target_answer, None)
            )
            return target_answer
        body = target_answer.body
        if len(body) > self.settings.outcome_bytes:
            await self.commit_or_defer(
                completed_record(claim, target_answer, None)
            )
        else:
            await self.commit_or_defer(
                completed_record(claim, target_answer, body)
            )
        return target_answer

    async def commit_or_defer(self, new_record: record.Record) -> None:
        """Commit a record; in the background if the platform is unavailable."""
        try:
            await self.claim_log.commit(new_record)
        except errors.PlatformError:
            self.commit_in_background(new_record)

    def commit_in_background(self, new_record: record.Record) -> None:
        """Start a task that commits a record with retries."""
        task = asyncio.get_running_loop().create_task(
            self.commit_with_retries(new_record),
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def commit_with_retries(self, new_record: record.Record) -> None:
        """Commit a record, retrying while the platform does not answer."""
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                await self.claim_log.commit(new_record)
            except errors.PlatformError:
                await asyncio.sleep(COMMIT_RETRY_SECONDS)
                continue
            return
        self.logger.error(
            'claim record not committed', state=new_record.state.value
        )

    def answer_repeat(
        self,
        recorded: record.Record,
        claim: record.Record,
    ) -> answer.Answer:
        """Answer a request whose key is already claimed.

        Raises:
            RefusedError: If the key belongs to a different request, or no
                answer is recorded for it.
        """
        self.counters.add('repeats', recorded.state.value)
        if recorded.fingerprint != claim.fingerprint:
            raise errors.RefusedError(codes.KEY_REUSED)
        if recorded.state in UNDECIDED:
            raise errors.RefusedError(codes.KEY_RUNNING, retry_after=1)
        if recorded.outcome is None:
            raise errors.RefusedError(codes.OUTCOME_LOST)
        if recorded.outcome.body is None:
            raise errors.RefusedError(codes.OUTCOME_NOT_KEPT)
        return restore_answer(recorded.outcome, recorded.outcome.body)


def create_claim(request: request_context.RequestContext) -> record.Record:
    """Return a new claim of a request's key."""
    head = request.head
    body = request.body if isinstance(request.body, bytes) else b''
    return record.Record(
        key=record.digest(
            request.account_name.encode(),
            request.route.name.encode(),
            head.first_values[header_names.IDEMPOTENCY_KEY],
        ),
        fingerprint=record.digest(
            head.method.encode(),
            head.url.encode(),
            body,
        ),
        state=State.CLAIMED,
        token=secrets.token_hex(TOKEN_BYTES),
        at=clock.wall(),
    )


def is_identical_running(
    result: messages.ClaimResult, claim: record.Record
) -> bool:
    """Return whether an identical request holds the key without an outcome."""
    if result.verdict != claim_log.HELD:
        return False
    recorded = record.ADAPTER.validate_json(result.record)
    is_same_request = recorded.fingerprint == claim.fingerprint
    return is_same_request and recorded.state in UNDECIDED


def with_state(claim: record.Record, state: record.State) -> record.Record:
    """Return the record of a claim with a new state and time."""
    return dataclasses.replace(claim, state=state, at=clock.wall())


def completed_record(
    claim: record.Record,
    target_answer: answer.Answer,
    body: bytes | None,
) -> record.Record:
    """Return the record of a completed request.

    Args:
        claim: The claim of the request.
        target_answer: The target's answer.
        body: The body to keep; None if it is not kept.
    """
    outcome = record.Outcome(
        status=target_answer.status,
        headers=tuple(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in target_answer.headers
        ),
        body=None if body is None else base64.b64encode(body).decode(),
    )
    return dataclasses.replace(
        with_state(claim, State.DONE),
        outcome=outcome,
    )


def restore_answer(outcome: record.Outcome, body: str) -> answer.Answer:
    """Return the answer of a recorded outcome, marked as replayed."""
    headers = [
        (name.encode('latin-1'), value.encode('latin-1'))
        for name, value in outcome.headers
    ]
    headers.append((header_names.REPLAYED, b'1'))
    return answer.Answer(
        outcome.status,
        headers,
        base64.b64decode(body),
    )
