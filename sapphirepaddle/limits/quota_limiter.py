"""Admission of requests with tokens leased from the owners of quota."""

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
from sapphirepaddle.limits import owner, quota_split, leased_tokens
from sapphirepaddle.objects import client_account
from sapphirepaddle.peers import mesh, messages
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters

MILLISECONDS_PER_SECOND: typing.Final = 1000
MIN_PAUSE_SECONDS: typing.Final = 0.01
MAX_PAUSE_SECONDS: typing.Final = 0.1
MAX_ACCOUNTS: typing.Final = 10000
SILENT_OWNER_SECONDS: typing.Final = 1


@dataclasses.dataclass(slots=True)
class AccountState:
    """One client account as this daemon serves it.

    Attributes:
        account: The account in force.
        share: How its quota is spread.
        tokens: Tokens held.
        waiting: Requests that wait for a token.
        refill: The task that asks for tokens, while there is one.
        next_place: Place among the partitions that is asked next.
        empty_places: Places found empty in a row.
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
    """Admits requests of client accounts over the whole fleet.

    Attributes:
        settings: Times and sizes.
        owner: The partitions that this VM owns.
        mesh: The peer connections.
        counters: Totals for metrics.
        demands: Accounts served here by name.
        chance: Source of randomness.
        silent_until: End of the time for which an owner that did not
            answer is passed over, by VM.
    """

    def __init__(
        self,
        settings: entry.LimitSettings,
        own: owner.QuotaOwner,
        peers: mesh.Mesh,
        totals: counters.Counters,
    ) -> None:
        """Take part in the conversations of the mesh."""
        self.settings = settings
        self.owner = own
        self.mesh = peers
        self.counters = totals
        self.account_states: dict[str, AccountState] = {}
        self.rng = random.Random(own.vm)
        self.silent_until: dict[str, float] = {}
        peers.message_handlers[messages.TokenRequest] = (
            self.handle_token_request
        )

    def handle_token_request(
        self,
        body: messages.TokenRequest,
        sender: str,
    ) -> messages.TokenGrant:
        """Lease tokens to a daemon that asks."""
        grant = self.owner.lease(
            sender,
            owner.ShardKey(body.account, body.partition),
            body.wanted,
            body.spent,
            clock.monotonic(),
        )
        if grant is None:
            return messages.TokenGrant(0, 0, owned=False)
        return messages.TokenGrant(grant.amount, grant.wait_seconds, owned=True)

    async def admit(self, account: client_account.ClientAccount) -> None:
        """Take one request of the account's rate and burst.

        Raises:
            RefusedError: If the account is over its rate.
        """
        demand = self.get_account_state(account)
        now = clock.monotonic()
        if not demand.waiting and self.try_acquire(demand, now):
            return
        self.check_queue(demand)
        granted = asyncio.get_running_loop().create_future()
        demand.waiting.append(granted)
        self.start_refill(demand)
        try:
            async with asyncio.timeout(
                self.settings.wait_ms / MILLISECONDS_PER_SECOND
            ):
                await granted
        except TimeoutError:
            raise over_rate_error(demand) from None

    def try_acquire(self, demand: AccountState, now: float) -> bool:
        """Take a token held here, or one of a part that is owned here."""
        if demand.tokens.try_acquire(now):
            return True
        for partition in demand.split.partitions:
            if self.owner.may_lease(partition, now):
                self.lease_local(demand, partition, now)
                if demand.tokens.try_acquire(now):
                    return True
        return False

    def lease_local(
        self, demand: AccountState, partition: int, now: float
    ) -> None:
        """Lease a token of a part that this VM owns."""
        grant = self.owner.lease(
            self.owner.vm,
            owner.ShardKey(demand.account.name, partition),
            1,
            demand.tokens.pop_spent(partition),
            now,
        )
        if grant is not None:
            until = now + self.settings.lease_seconds
            demand.tokens.add(partition, grant.amount, until)

    def check_queue(self, demand: AccountState) -> None:
        """Refuse at once when more requests wait than can get tokens.

        Raises:
            RefusedError: If they do.
        """
        seconds = self.settings.wait_ms / MILLISECONDS_PER_SECOND
        most = demand.account.burst + demand.account.rate * seconds
        if len(demand.waiting) > most:
            raise over_rate_error(demand)

    def get_account_state(
        self, account: client_account.ClientAccount
    ) -> AccountState:
        """Return the account's demand, with the limits in force."""
        demand = self.account_states.get(account.name)
        if demand is None:
            demand = AccountState(account, self.owner.get_split(account))
            self.evict_idle_accounts()
            self.account_states[account.name] = demand
        elif demand.account is not account:
            demand.account = account
            demand.split = self.owner.get_split(account)
        return demand

    def evict_idle_accounts(self) -> None:
        """Forget accounts that nobody waits for when there are many."""
        if len(self.account_states) >= MAX_ACCOUNTS:
            self.account_states = {
                name: demand
                for name, demand in self.account_states.items()
                if demand.waiting
            }

    def start_refill(self, demand: AccountState) -> None:
        """Start asking for tokens, unless that runs."""
        if demand.refill_task is None or demand.refill_task.done():
            demand.refill_task = self.mesh.spawn(self.refill(demand))

    async def refill(self, demand: AccountState) -> None:
        """Ask for tokens until nobody waits.

        The first place is drawn by lot: many daemons ask for one account.
        """
        demand.next_index = self.rng.randrange(self.settings.partitions)
        self.grant_tokens(demand)
        while demand.waiting:
            pause = await self.request_round(demand)
            self.grant_tokens(demand)
            if demand.waiting and pause:
                await asyncio.sleep(pause)
                self.grant_tokens(demand)

    def grant_tokens(self, demand: AccountState) -> None:
        """Give tokens to waiting requests, oldest first."""
        now = clock.monotonic()
        while demand.waiting:
            if demand.waiting[0].done():
                demand.waiting.popleft()
            elif demand.tokens.try_acquire(now):
                demand.waiting.popleft().set_result(None)
            else:
                break

    async def request_round(self, demand: AccountState) -> float:
        """Ask as many partitions as the waiting requests need.

        Returns:
            Seconds to pause before the next round; 0 if tokens came.
        """
        now = clock.monotonic()
        wanted = len(demand.waiting) - int(demand.tokens.available(now))
        places = self.next_partitions(demand, wanted)
        answers = await asyncio.gather(
            *(
                self.request_tokens(demand, partition, amount)
                for partition, amount in zip(
                    places,
                    divide(max(1, wanted), len(places)),
                )
            ),
        )
        amount = math.fsum(tokens.amount for tokens in answers)
        if amount > TOKEN_EPSILON:
            return 0
        return self.pause_seconds(demand, answers)

    def pause_seconds(
        self,
        demand: AccountState,
        answers: abc.Sequence[messages.TokenGrant],
    ) -> float:
        """Return the time until a token can be had."""
        demand.empty_answers += len(answers)
        if demand.empty_answers < len(demand.split.partitions):
            return 0
        demand.empty_answers = 0
        waits = [tokens.wait for tokens in answers if tokens.owned]
        shortest = min(waits, default=MAX_PAUSE_SECONDS)
        return min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, shortest))

    def next_partitions(self, demand: AccountState, wanted: int) -> list[int]:
        """Return the partitions to ask, in turn."""
        numbers = demand.split.partitions
        count = math.ceil(max(1, wanted) / max(1, demand.split.shard_burst / 2))
        count = min(len(numbers), count, max(1, wanted))
        start = demand.next_index % len(numbers)
        demand.next_index = start + count
        turn = itertools.islice(itertools.cycle(numbers), start, start + count)
        return list(turn)

    async def request_tokens(
        self,
        demand: AccountState,
        partition: int,
        wanted: float,
    ) -> messages.TokenGrant:
        """Ask the owner of one partition for tokens.

        The life of the tokens counts from before the question, so that
        they lapse here before they lapse at the owner.
        """
        until = clock.monotonic() + self.settings.lease_seconds
        question = messages.TokenRequest(
            demand.account.name,
            partition,
            wanted,
            demand.tokens.pop_spent(partition),
        )
        leased = await self.ask_owner(question)
        demand.tokens.add(partition, leased.amount, until)
        return leased

    async def ask_owner(
        self, question: messages.TokenRequest
    ) -> messages.TokenGrant:
        """Put a question to the owner of its partition."""
        name = self.owner.ownership.owners.get(question.partition, '')
        if name == self.owner.vm:
            return self.handle_token_request(question, name)
        if self.silent_until.get(name, 0) > clock.monotonic():
            return messages.TokenGrant(0, 0, owned=False)
        try:
            return await self.mesh.request(
                name,
                question,
                self.settings.ask_seconds,
            )
        except errors.PeerError:
            self.counters.add('owners_silent')
            until = clock.monotonic() + SILENT_OWNER_SECONDS
            self.silent_until[name] = until
            return messages.TokenGrant(0, 0, owned=False)


TOKEN_EPSILON: typing.Final = 1e-6


def divide(wanted: int, places: int) -> list[int]:
    """Divide a number of tokens into whole parts."""
    each, rest = divmod(wanted, places)
    return [each + (place < rest) for place in range(places)]


def over_rate_error(demand: AccountState) -> errors.RefusedError:
    """Return the refusal of a request over its account's rate."""
    return errors.RefusedError(
        codes.OVER_RATE,
        demand.account.name,
        1 / demand.account.rate,
    )
