"""Group commit of the records of a shard."""

import asyncio
import dataclasses
import typing

from sapphirepaddle import clock, errors
from sapphirepaddle.claims import record, shard_log

PRUNE_INTERVAL_SECONDS: typing.Final = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A record that waits to be committed.

    Attributes:
        record: The record.
        decision: Future that gets the decision on the record.
    """

    record: record.Record
    decision: 'asyncio.Future[shard_log.Decision]'


class Committer:
    """Commits the records of one shard, one write at a time.

    Attributes:
        log: The shard's log.
        commit_seconds: Seconds for which records are batched.
        queue: Proposals of the next batch.
        task: The task that commits batches, if one was started.
        pruned_at: Unix time of the last attempt to prune the log.
    """

    def __init__(
        self,
        log: shard_log.ShardLog,
        commit_seconds: float,
    ) -> None:
        """Initialize with an empty queue."""
        self.log = log
        self.commit_seconds = commit_seconds
        self.queue: list[Proposal] = []
        self.task: asyncio.Task[None] | None = None
        self.pruned_at = clock.wall()

    async def commit(self, proposed: record.Record) -> shard_log.Decision:
        """Commit one record as part of the next batch.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        loop = asyncio.get_running_loop()
        proposal = Proposal(proposed, loop.create_future())
        self.queue.append(proposal)
        if self.task is None or self.task.done():
            self.task = loop.create_task(self.run())
        return await proposal.decision

    async def run(self) -> None:
        """Commit batches until the queue is empty."""
        while self.queue:
            await asyncio.sleep(self.commit_seconds)
            batch = [
                proposal
                for proposal in self.queue
                if not proposal.decision.done()
            ]
            self.queue = []
            await self.commit_batch(batch)

    async def commit_batch(self, batch: list[Proposal]) -> None:
        """Commit a batch and resolve its proposals."""
        now = clock.wall()
        try:
            decisions = await self.log.commit(
                [proposal.record for proposal in batch],
                now,
            )
        except errors.PlatformError as error:
            fail_batch(batch, error)
            return
        for proposal, decision in zip(batch, decisions):
            if not proposal.decision.done():
                proposal.decision.set_result(decision)
        if now - self.pruned_at > PRUNE_INTERVAL_SECONDS:
            self.pruned_at = now
            await self.prune(now)

    async def prune(self, now: float) -> None:
        """Delete old segments; retried later if the platform fails."""
        try:
            await self.log.prune(now)
        except errors.PlatformError:
            self.pruned_at = now


def fail_batch(batch: list[Proposal], error: errors.PlatformError) -> None:
    """Fail all pending proposals of a batch."""
    for proposal in batch:
        if not proposal.decision.done():
            proposal.decision.set_exception(error)
