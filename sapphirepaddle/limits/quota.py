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
from sapphirepaddle.limits import owner, partitions, stash
from sapphirepaddle.objects import client_account
from sapphirepaddle.peers import mesh, messages
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters

MILLISECONDS: typing.Final = 1000
LEAST_PAUSE_SECONDS: typing.Final = 0.01
MOST_PAUSE_SECONDS: typing.Final = 0.1
MOST_ACCOUNTS: typing.Final = 10000
SILENT_SECONDS: typing.Final = 1


@dataclasses.dataclass(slots=True)
class Demand:
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
    share: partitions.Share
    tokens: stash.Stash = dataclasses.field(default_factory=stash.Stash)
    waiting: collections.deque['asyncio.Future[None]'] = dataclasses.field(
        default_factory=collections.deque,
    )
    refill: 'asyncio.Task[None] | None' = None
    next_place: int = 0
    empty_places: int = 0


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
        settings: entry.Limits,
        own: owner.QuotaOwner,
        peers: mesh.Mesh,
        totals: counters.Counters,
    ) -> None:
        """Take part in the conversations of the mesh."""
        self.settings = settings
        self.owner = own
        self.mesh = peers
        self.counters = totals
        self.demands: dict[str, Demand] = {}
        self.chance = random.Random(own.vm)
        self.silent_until: dict[str, float] = {}
        peers.answerers[messages.TokensAsk] = self.answer

    def answer(
        self,
        body: messages.TokensAsk,
        sender: str,
    ) -> messages.Tokens:
        """Lease tokens to a daemon that asks."""
        grant = self.owner.lease(
            sender,
            owner.PartKey(body.account, body.partition),
            body.wanted,
            body.spent,
            clock.monotonic(),
        )
        if grant is None:
            return messages.Tokens(0, 0, owned=False)
        return messages.Tokens(grant.amount, grant.wait, owned=True)

    async def admit(self, account: client_account.ClientAccount) -> None:
        """Take one request of the account's rate and burst.

        Raises:
            RefusedError: If the account is over its rate.
        """
        demand = self.demand(account)
        now = clock.monotonic()
        if not demand.waiting and self.take_now(demand, now):
            return
        self.check_queue(demand)
        granted = asyncio.get_running_loop().create_future()
        demand.waiting.append(granted)
        self.start_refill(demand)
        try:
            async with asyncio.timeout(self.settings.wait_ms / MILLISECONDS):
                await granted
        except TimeoutError:
            raise over_rate(demand) from None

    def take_now(self, demand: Demand, now: float) -> bool:
        """Take a token held here, or one of a part that is owned here."""
        if demand.tokens.take(now):
            return True
        for partition in demand.share.partitions:
            if self.owner.owns(partition, now):
                self.lease_here(demand, partition, now)
                if demand.tokens.take(now):
                    return True
        return False

    def lease_here(self, demand: Demand, partition: int, now: float) -> None:
        """Lease a token of a part that this VM owns."""
        grant = self.owner.lease(
            self.owner.vm,
            owner.PartKey(demand.account.name, partition),
            1,
            demand.tokens.report(partition),
            now,
        )
        if grant is not None:
            until = now + self.settings.lease_seconds
            demand.tokens.add(partition, grant.amount, until)

    def check_queue(self, demand: Demand) -> None:
        """Refuse at once when more requests wait than can get tokens.

        Raises:
            RefusedError: If they do.
        """
        seconds = self.settings.wait_ms / MILLISECONDS
        most = demand.account.burst + demand.account.rate * seconds
        if len(demand.waiting) > most:
            raise over_rate(demand)

    def demand(self, account: client_account.ClientAccount) -> Demand:
        """Return the account's demand, with the limits in force."""
        demand = self.demands.get(account.name)
        if demand is None:
            demand = Demand(account, self.owner.share(account))
            self.make_room()
            self.demands[account.name] = demand
        elif demand.account is not account:
            demand.account = account
            demand.share = self.owner.share(account)
        return demand

    def make_room(self) -> None:
        """Forget accounts that nobody waits for when there are many."""
        if len(self.demands) >= MOST_ACCOUNTS:
            self.demands = {
                name: demand
                for name, demand in self.demands.items()
                if demand.waiting
            }

    def start_refill(self, demand: Demand) -> None:
        """Start asking for tokens, unless that runs."""
        if demand.refill is None or demand.refill.done():
            demand.refill = self.mesh.spawn(self.refill(demand))

    async def refill(self, demand: Demand) -> None:
        """Ask for tokens until nobody waits.

        The first place is drawn by lot: many daemons ask for one account.
        """
        demand.next_place = self.chance.randrange(self.settings.partitions)
        self.serve(demand)
        while demand.waiting:
            pause = await self.ask_round(demand)
            self.serve(demand)
            if demand.waiting and pause:
                await asyncio.sleep(pause)
                self.serve(demand)

    def serve(self, demand: Demand) -> None:
        """Give tokens to waiting requests, oldest first."""
        now = clock.monotonic()
        while demand.waiting:
            if demand.waiting[0].done():
                demand.waiting.popleft()
            elif demand.tokens.take(now):
                demand.waiting.popleft().set_result(None)
            else:
                break

    async def ask_round(self, demand: Demand) -> float:
        """Ask as many partitions as the waiting requests need.

        Returns:
            Seconds to pause before the next round; 0 if tokens came.
        """
        now = clock.monotonic()
        wanted = len(demand.waiting) - int(demand.tokens.level(now))
        places = self.places(demand, wanted)
        answers = await asyncio.gather(
            *(
                self.ask(demand, partition, amount)
                for partition, amount in zip(
                    places,
                    divide(max(1, wanted), len(places)),
                )
            ),
        )
        amount = math.fsum(tokens.amount for tokens in answers)
        if amount > ROUNDING:
            return 0
        return self.pause(demand, answers)

    def pause(
        self,
        demand: Demand,
        answers: abc.Sequence[messages.Tokens],
    ) -> float:
        """Return the time until a token can be had."""
        demand.empty_places += len(answers)
        if demand.empty_places < len(demand.share.partitions):
            return 0
        demand.empty_places = 0
        waits = [tokens.wait for tokens in answers if tokens.owned]
        shortest = min(waits, default=MOST_PAUSE_SECONDS)
        return min(MOST_PAUSE_SECONDS, max(LEAST_PAUSE_SECONDS, shortest))

    def places(self, demand: Demand, wanted: int) -> list[int]:
        """Return the partitions to ask, in turn."""
        numbers = demand.share.partitions
        count = math.ceil(max(1, wanted) / max(1, demand.share.burst / 2))
        count = min(len(numbers), count, max(1, wanted))
        start = demand.next_place % len(numbers)
        demand.next_place = start + count
        turn = itertools.islice(itertools.cycle(numbers), start, start + count)
        return list(turn)

    async def ask(
        self,
        demand: Demand,
        partition: int,
        wanted: float,
    ) -> messages.Tokens:
        """Ask the owner of one partition for tokens.

        The life of the tokens counts from before the question, so that
        they lapse here before they lapse at the owner.
        """
        until = clock.monotonic() + self.settings.lease_seconds
        question = messages.TokensAsk(
            demand.account.name,
            partition,
            wanted,
            demand.tokens.report(partition),
        )
        leased = await self.put(question)
        demand.tokens.add(partition, leased.amount, until)
        return leased

    async def put(self, question: messages.TokensAsk) -> messages.Tokens:
        """Put a question to the owner of its partition."""
        name = self.owner.held.owners.get(question.partition, '')
        if name == self.owner.vm:
            return self.answer(question, name)
        if self.silent_until.get(name, 0) > clock.monotonic():
            return messages.Tokens(0, 0, owned=False)
        try:
            return await self.mesh.ask(
                name,
                question,
                self.settings.ask_seconds,
            )
        except errors.PeerError:
            self.counters.add('owners_silent')
            until = clock.monotonic() + SILENT_SECONDS
            self.silent_until[name] = until
            return messages.Tokens(0, 0, owned=False)


ROUNDING: typing.Final = 1e-6


def divide(wanted: int, places: int) -> list[int]:
    """Divide a number of tokens into whole parts."""
    each, rest = divmod(wanted, places)
    return [each + (place < rest) for place in range(places)]


def over_rate(demand: Demand) -> errors.RefusedError:
    """Return the refusal of a request over its account's rate."""
    return errors.RefusedError(
        codes.OVER_RATE,
        demand.account.name,
        1 / demand.account.rate,
    )
