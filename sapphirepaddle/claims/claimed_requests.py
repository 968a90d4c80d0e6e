"""Running requests that carry an idempotency key, at most once."""

import asyncio
import base64
import dataclasses
import secrets
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.claims import claim_log, record
from sapphirepaddle.gateway import (
    answer,
    request_context,
    dispatch,
    header_names,
)
from sapphirepaddle.peers import messages
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters, logs

MILLISECONDS_PER_SECOND: typing.Final = 1000
POLL_SECONDS: typing.Final = 0.1
COMMIT_RETRY_SECONDS: typing.Final = 0.5
MAX_COMMIT_ATTEMPTS: typing.Final = 7200
TOKEN_BYTES: typing.Final = 12
State = record.State
UNDECIDED: typing.Final = frozenset((State.CLAIMED, State.RELEASED))


class ClaimedRequestRunner:
    """Claims the key of a request, runs it, and records its outcome.

    Only the daemon whose claim stands sends the request. A repeat of the
    key gets the recorded outcome, or is told that the request may have
    run. A request that provably did not run releases its key.

    Attributes:
        settings: Times and sizes.
        ledger: Commits records.
        dispatcher: Sends requests to targets.
        counters: Totals for metrics.
        tasks: Requests and records that go on after their caller left.
        logger: Log of what could not be recorded.
    """

    def __init__(
        self,
        settings: entry.ClaimSettings,
        claims: claim_log.ClaimLog,
        dispatcher: dispatch.Dispatcher,
        totals: counters.Counters,
    ) -> None:
        """Store the parts."""
        self.settings = settings
        self.claim_log = claims
        self.dispatcher = dispatcher
        self.counters = totals
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.logger = logs.get_logger('claims')

    async def run(
        self, request: request_context.RequestContext
    ) -> answer.Answer:
        """Run a request once, or answer a repeat of it.

        The run goes on when the caller leaves, so that its outcome is
        recorded.

        Raises:
            RefusedError: If it does not run, or its outcome is not known.
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
        """Claim, run and record.

        Raises:
            RefusedError: If it does not run, or its outcome is not known.
        """
        own = create_claim(request)
        until = (
            clock.monotonic()
            + request.route.patience_ms / MILLISECONDS_PER_SECOND
        )
        deadline = request.route.deadline_ms / MILLISECONDS_PER_SECOND
        claim = await self.claim(own, until)
        if claim.verdict == claim_log.HELD:
            held = record.ADAPTER.validate_json(claim.record)
            return self.answer_repeat(held, own)
        if clock.monotonic() > until + deadline:
            self.commit_in_background(with_state(own, State.RELEASED))
            raise errors.RefusedError(codes.WAIT_TIMEOUT, 'claimed too late')
        return await self.dispatch(request, own)

    async def claim(
        self,
        own: record.Record,
        until: float,
    ) -> messages.ClaimResult:
        """Claim a key; wait while another request with it runs.

        Raises:
            RefusedError: If the platform is silent until the end of the
                patience.
        """
        claim = await self.try_claim(own)
        while claim is None or is_running(claim, own):
            if clock.monotonic() >= until:
                break
            await asyncio.sleep(POLL_SECONDS)
            claim = await self.try_claim(own)
        if claim is None:
            self.commit_in_background(with_state(own, State.RELEASED))
            raise errors.RefusedError(codes.CLAIMS_UNAVAILABLE)
        return claim

    async def try_claim(
        self, own: record.Record
    ) -> messages.ClaimResult | None:
        """Propose a claim once; None while the platform is silent."""
        try:
            return await self.claim_log.commit(own)
        except errors.PlatformError:
            return None

    async def dispatch(
        self,
        request: request_context.RequestContext,
        own: record.Record,
    ) -> answer.Answer:
        """Run a claimed request and record its outcome.

        Raises:
            RefusedError: If there is no answer.
        """
        try:
            received = await self.dispatcher.run(request)
        except errors.RefusedError as error:
            not_run = error.code.run_statement == codes.NOT_RUN
            state = State.RELEASED if not_run else State.LOST
            await self.commit_step(with_state(own, state))
            raise
        if received.stream is not None:
            self.commit_in_background(completed_record(own, received, None))
            return received
        kept = received.body
        if len(kept) > self.settings.outcome_bytes:
            await self.commit_step(completed_record(own, received, None))
        else:
            await self.commit_step(completed_record(own, received, kept))
        return received

    async def commit_step(self, entry_of_key: record.Record) -> None:
        """Record a step, now if the platform answers, else later."""
        try:
            await self.claim_log.commit(entry_of_key)
        except errors.PlatformError:
            self.commit_in_background(entry_of_key)

    def commit_in_background(self, entry_of_key: record.Record) -> None:
        """Record a step in the background until it stands."""
        task = asyncio.get_running_loop().create_task(
            self.commit_with_retries(entry_of_key),
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def commit_with_retries(self, entry_of_key: record.Record) -> None:
        """Repeat the commit of a step while the platform is silent."""
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                await self.claim_log.commit(entry_of_key)
            except errors.PlatformError:
                await asyncio.sleep(COMMIT_RETRY_SECONDS)
                continue
            return
        self.logger.error('step not recorded', state=entry_of_key.state.value)

    def answer_repeat(
        self,
        held: record.Record,
        own: record.Record,
    ) -> answer.Answer:
        """Answer a request whose key was claimed before.

        Raises:
            RefusedError: If there is no recorded answer.
        """
        self.counters.add('repeats', held.state.value)
        if held.fingerprint != own.fingerprint:
            raise errors.RefusedError(codes.KEY_REUSED)
        if held.state in UNDECIDED:
            raise errors.RefusedError(codes.KEY_RUNNING, retry_after=1)
        if held.outcome is None:
            raise errors.RefusedError(codes.OUTCOME_LOST)
        if held.outcome.body is None:
            raise errors.RefusedError(codes.OUTCOME_NOT_KEPT)
        return restore_answer(held.outcome, held.outcome.body)


def create_claim(request: request_context.RequestContext) -> record.Record:
    """Return the claim of a request's key."""
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


def is_running(claim: messages.ClaimResult, own: record.Record) -> bool:
    """Tell whether another request with the same key runs now."""
    if claim.verdict != claim_log.HELD:
        return False
    held = record.ADAPTER.validate_json(claim.record)
    same = held.fingerprint == own.fingerprint
    return same and held.state in UNDECIDED


def with_state(own: record.Record, state: record.State) -> record.Record:
    """Return a later step of a claim."""
    return dataclasses.replace(own, state=state, at=clock.wall())


def completed_record(
    own: record.Record,
    received: answer.Answer,
    body: bytes | None,
) -> record.Record:
    """Return the step that records an answer."""
    outcome = record.Outcome(
        status=received.status,
        headers=tuple(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in received.headers
        ),
        body=None if body is None else base64.b64encode(body).decode(),
    )
    return dataclasses.replace(
        with_state(own, State.DONE),
        outcome=outcome,
    )


def restore_answer(outcome: record.Outcome, body: str) -> answer.Answer:
    """Return the recorded answer."""
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
