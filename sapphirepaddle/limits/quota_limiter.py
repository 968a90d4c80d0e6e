"""Admission of requests in an entry daemon, with tokens leased from owners."""

import asyncio
import collections
import dataclasses
import itertools
import math
import random
import typing
from collections import abc

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.gateway import limiter
from sapphirepaddle.limits import (
    leased_tokens,
    owner,
    quota_shard,
    quota_split,
)
from sapphirepaddle.objects import client_account
from sapphirepaddle.peers import mesh, messages
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters

MILLISECONDS_PER_SECOND: typing.Final = 1000
MIN_PAUSE_SECONDS: typing.Final = 0.01
MAX_PAUSE_SECONDS: typing.Final = 0.1
"""Longest pause after a round without tokens, and the default without answers
of owners."""
MAX_ACCOUNTS: typing.Final = 10000
"""Number of accounts at which the states of idle ones are dropped."""
SILENT_OWNER_SECONDS: typing.Final = 1
"""Time for which an owner that did not answer is not asked again."""


@dataclasses.dataclass(slots=True)
class AccountState:
    """State of one client account at this daemon.

    Attributes:
        account: The account in the active configuration.
        split: How its quota is split over partitions.
        tokens: Tokens leased by this daemon.
        waiting: Futures of requests that wait for a token, oldest first.
        refill_task: The task that requests tokens, if one was started.
        next_index: Index of the partition that is asked next.
        empty_answers: Answers in rounds without tokens since the last
            pause.
    """

    account: client_account.ClientAccount
    split: quota_split.QuotaSplit
    tokens: leased_tokens.LeasedTokens = dataclasses.field(
        default_factory=leased_tokens.LeasedTokens
    )
    waiting: collections.deque['asyncio.Future[None]'] = dataclasses.field(
        default_factory=collections.deque,
    )
    refill_task: 'asyncio.Task[None] | None' = None
    next_index: int = 0
    empty_answers: int = 0


class QuotaLimiter(limiter.Limiter):
    """Enforces the rates and bursts of accounts over the whole fleet.

    Attributes:
        settings: Times and sizes.
        owner: The partitions that this VM owns.
        mesh: The peer connections.
        counters: Totals for metrics.
        account_states: States of the accounts served here, by name.
        rng: Random number generator, seeded with the name of the VM.
        silent_until: Time until which an owner that did not answer is not
            asked again, by VM.
    """

    def __init__(
        self,
        settings: entry.LimitSettings,
        quota_owner: owner.QuotaOwner,
        peer_mesh: mesh.Mesh,
        totals: counters.Counters,
    ) -> None:
        """Initialize and register the handler of token requests."""
        self.settings = settings
        self.owner = quota_owner
        self.mesh = peer_mesh
        self.counters = totals
        self.account_states: dict[str, AccountState] = {}
        self.rng = random.Random(quota_owner.vm)
        self.silent_until: dict[str, float] = {}
        peer_mesh.message_handlers[messages.TokenRequest] = (
            self.handle_token_request
        )

    def handle_token_request(
        self,
        request: messages.TokenRequest,
        sender: str,
    ) -> messages.TokenGrant:
        """Lease tokens to a peer."""
        grant = self.owner.lease(
            quota_shard.LeaseRequest(sender, request.wanted, request.spent),
            owner.ShardKey(request.account, request.partition),
            clock.monotonic(),
        )
        if grant is None:
            return messages.TokenGrant(0, 0, owned=False)
        return messages.TokenGrant(grant.amount, grant.wait_seconds, owned=True)

    async def admit(self, account: client_account.ClientAccount) -> None:
        """Admit one request, waiting for a token if necessary.

        Raises:
            RefusedError: If the account is over its rate.
        """
        state = self.get_account_state(account)
        now = clock.monotonic()
        if not state.waiting and self.try_acquire(state, now):
            return
        self.check_queue(state)
        token_future = asyncio.get_running_loop().create_future()
        state.waiting.append(token_future)
        self.start_refill(state)
        try:
            async with asyncio.timeout(
                self.settings.wait_ms / MILLISECONDS_PER_SECOND
            ):
                await token_future
        except TimeoutError:
            raise over_rate_error(state) from None

    def try_acquire(self, state: AccountState, now: float) -> bool:
        """Spend a token that is leased here or owned by this VM."""
        if state.tokens.try_acquire(now):
            return True
        for partition in state.split.partitions:
            if self.owner.may_lease(partition, now):
                self.lease_local(state, partition, now)
                if state.tokens.try_acquire(now):
                    return True
        return False

    def lease_local(
        self, state: AccountState, partition: int, now: float
    ) -> None:
        """Lease a token from a shard that this VM owns."""
        grant = self.owner.lease(
            quota_shard.LeaseRequest(
                self.owner.vm, 1, state.tokens.pop_spent(partition)
            ),
            owner.ShardKey(state.account.name, partition),
            now,
        )
        if grant is not None:
            expires_at = now + self.settings.lease_seconds
            state.tokens.add(partition, grant.amount, expires_at)

    def check_queue(self, state: AccountState) -> None:
        """Check that the waiting requests can get tokens in time.

        Raises:
            RefusedError: If more requests wait than the account's burst and
                rate allow within the waiting time.
        """
        wait_seconds = self.settings.wait_ms / MILLISECONDS_PER_SECOND
        max_waiting = state.account.burst + state.account.rate * wait_seconds
        if len(state.waiting) > max_waiting:
            raise over_rate_error(state)

    def get_account_state(
        self, account: client_account.ClientAccount
    ) -> AccountState:
        """Return the state of an account, updated to its current limits."""
        state = self.account_states.get(account.name)
        if state is None:
            state = AccountState(account, self.owner.get_split(account))
            self.evict_idle_accounts()
            self.account_states[account.name] = state
        elif state.account is not account:
            state.account = account
            state.split = self.owner.get_split(account)
        return state

    def evict_idle_accounts(self) -> None:
        """Drop accounts without waiting requests when the limit is reached."""
        if len(self.account_states) >= MAX_ACCOUNTS:
            self.account_states = {
                name: state
                for name, state in self.account_states.items()
                if state.waiting
            }

    def start_refill(self, state: AccountState) -> None:
        """Start the refill task, unless it is already running."""
        if state.refill_task is None or state.refill_task.done():
            state.refill_task = self.mesh.spawn(self.refill(state))

    async def refill(self, state: AccountState) -> None:
        """Request tokens until no request waits.

        The first partition is chosen at random, so that daemons that serve
        the same account do not all ask the same owner.
        """
        state.next_index = self.rng.randrange(self.settings.partitions)
        self.grant_tokens(state)
        while state.waiting:
            pause_seconds = await self.request_round(state)
            self.grant_tokens(state)
            if state.waiting and pause_seconds:
                await asyncio.sleep(pause_seconds)
                self.grant_tokens(state)

    def grant_tokens(self, state: AccountState) -> None:
        """Admit waiting requests with available tokens, oldest first."""
        now = clock.monotonic()
        while state.waiting:
            if state.waiting[0].done():
                state.waiting.popleft()
            elif state.tokens.try_acquire(now):
                state.waiting.popleft().set_result(None)
            else:
                break

    async def request_round(self, state: AccountState) -> float:
        """Request tokens for the waiting requests from several partitions.

        Returns:
            Seconds to pause before the next round; 0 if tokens were granted
            or not all partitions have been asked.
        """
        now = clock.monotonic()
        needed = len(state.waiting) - int(state.tokens.available(now))
        partitions = self.next_partitions(state, needed)
        grants = await asyncio.gather(
            *(
                self.request_tokens(state, partition, amount)
                for partition, amount in zip(
                    partitions,
                    divide(max(1, needed), len(partitions)),
                )
            ),
        )
        amount = math.fsum(grant.amount for grant in grants)
        if amount > TOKEN_EPSILON:
            return 0
        return self.pause_seconds(state, grants)

    def pause_seconds(
        self,
        state: AccountState,
        grants: abc.Sequence[messages.TokenGrant],
    ) -> float:
        """Return the seconds to pause after a round without tokens.

        There is no pause until every partition has answered without tokens.
        """
        state.empty_answers += len(grants)
        if state.empty_answers < len(state.split.partitions):
            return 0
        state.empty_answers = 0
        waits = [grant.wait for grant in grants if grant.owned]
        shortest_wait = min(waits, default=MAX_PAUSE_SECONDS)
        return min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, shortest_wait))

    def next_partitions(self, state: AccountState, needed: int) -> list[int]:
        """Return the partitions to ask, in round-robin order.

        The number of partitions assumes that each grants half its burst.
        """
        partitions = state.split.partitions
        count = math.ceil(max(1, needed) / max(1, state.split.shard_burst / 2))
        count = min(len(partitions), count, max(1, needed))
        start = state.next_index % len(partitions)
        state.next_index = start + count
        selected = itertools.islice(
            itertools.cycle(partitions), start, start + count
        )
        return list(selected)

    async def request_tokens(
        self,
        state: AccountState,
        partition: int,
        requested: float,
    ) -> messages.TokenGrant:
        """Request tokens from the owner of one partition.

        The lease time counts from before the request is sent, so that the
        tokens expire here before they expire at the owner.
        """
        expires_at = clock.monotonic() + self.settings.lease_seconds
        request = messages.TokenRequest(
            state.account.name,
            partition,
            requested,
            state.tokens.pop_spent(partition),
        )
        grant = await self.ask_owner(request)
        state.tokens.add(partition, grant.amount, expires_at)
        return grant

    async def ask_owner(
        self, request: messages.TokenRequest
    ) -> messages.TokenGrant:
        """Send a token request to the owner of its partition.

        Returns:
            The owner's grant; an empty one if the owner does not answer.
        """
        owner_name = self.owner.ownership.owners.get(request.partition, '')
        if owner_name == self.owner.vm:
            return self.handle_token_request(request, owner_name)
        if self.silent_until.get(owner_name, 0) > clock.monotonic():
            return messages.TokenGrant(0, 0, owned=False)
        try:
            return await self.mesh.request(
                owner_name,
                request,
                self.settings.ask_seconds,
            )
        except errors.PeerError:
            self.counters.add('owners_silent')
            silent_until = clock.monotonic() + SILENT_OWNER_SECONDS
            self.silent_until[owner_name] = silent_until
            return messages.TokenGrant(0, 0, owned=False)


TOKEN_EPSILON: typing.Final = 1e-6
"""Amount of tokens up to which a round counts as one without tokens."""


def divide(total: int, part_count: int) -> list[int]:
    """Divide a number of tokens into whole parts of nearly equal size."""
    quotient, remainder = divmod(total, part_count)
    return [quotient + (index < remainder) for index in range(part_count)]


def over_rate_error(state: AccountState) -> errors.RefusedError:
    """Return the error for a request that exceeds its account's rate."""
    return errors.RefusedError(
        codes.OVER_RATE,
        state.account.name,
        1 / state.account.rate,
    )
