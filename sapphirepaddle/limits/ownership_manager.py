"""Keeping the ownership of quota partitions in the platform."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import clock, errors
from sapphirepaddle.audit import audit_log
from sapphirepaddle.limits import owner, ownership
from sapphirepaddle.peers import gossip, members, mesh, messages
from sapphirepaddle.store import object_store, stored_object
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters, logs

TICK_SECONDS: typing.Final = 0.1
REBALANCE_TICKS: typing.Final = 10
VERIFY_SECONDS: typing.Final = 1


class OwnershipManager:
    """Reads, spreads and changes the ownership of partitions.

    A partition changes hands in two ways only, both as a conditional
    update in the platform: its owner gives it away and stops first, or its
    owner's VM has been gone from the platform's list for some time.

    Attributes:
        settings: Times and sizes.
        owner: The partitions that this VM owns.
        store: The platform.
        known: The VMs of the fleet.
        gossip: Spreads the ownership.
        mesh: The peer connections.
        counters: Totals for metrics.
        logger: Log of moves.
        leaving: Whether this VM leaves.
        audit: The audit trail, if there is one.
    """

    def __init__(
        self,
        settings: entry.LimitSettings,
        own: owner.QuotaOwner,
        objects: object_store.ObjectStore,
        known: members.Members,
        spread: gossip.Gossip,
        totals: counters.Counters,
    ) -> None:
        """Take part in the spreading of news."""
        self.settings = settings
        self.owner = own
        self.store = objects
        self.members = known
        self.gossip = spread
        self.mesh: mesh.Mesh = spread.mesh
        self.counters = totals
        self.logger = logs.get_logger('quota')
        self.leaving = False
        self.audit: audit_log.AuditLog | None = None
        spread.store.handlers[ownership.TOPIC] = self.handle_ownership

    def handle_stored(self, held: stored_object.StoredObject) -> None:
        """Take up the object of the platform and spread it."""
        self.gossip.publish_version(
            ownership.TOPIC,
            ownership.OBJECT_KEY,
            held.version,
            held.body or b'',
        )

    def handle_ownership(self, item: messages.GossipItem) -> None:
        """Take up news on the ownership."""
        held = ownership.ADAPTER.validate_json(item.payload)
        self.counters.add('owners_known')
        self.owner.apply_ownership(held, item.version, clock.monotonic())

    async def run(self) -> None:
        """Watch for pauses of this process and review the ownership."""
        count = 0
        while True:
            self.owner.tick(clock.monotonic())
            if self.owner.is_suspended:
                await self.verify()
            if count % REBALANCE_TICKS == 0:
                await self.rebalance()
            count += 1
            await asyncio.sleep(TICK_SECONDS)

    async def verify(self) -> None:
        """Read the ownership anew after a pause, before it is used."""
        try:
            held = await self.store.read(ownership.OBJECT_KEY)
        except errors.PlatformError:
            await self.verify_with_peer()
            return
        now = clock.monotonic()
        if held is not None:
            self.handle_stored(held)
            self.owner.start_leasing(self.owner.stopped_partitions(), now)
        self.owner.resume(now)

    async def verify_with_peer(self) -> None:
        """Compare with a neighbour while the platform is silent."""
        names = self.members.successors()
        open_names = [name for name in names if self.mesh.connections.get(name)]
        for name in open_names:
            try:
                newer = await self.mesh.request(
                    name,
                    messages.TopicSummaries(self.gossip.store.sums()),
                    VERIFY_SECONDS,
                )
            except errors.PeerError:
                continue
            self.gossip.handle_items(newer, name)
            self.owner.resume(clock.monotonic())
            return

    async def rebalance(self) -> None:
        """Give away what this VM should not own, or what nobody owns."""
        moves = self.moves()
        if not moves:
            if self.owner.stopped_partitions():
                await self.verify()
            return
        try:
            await self.commit_moves(moves)
        except errors.PlatformError as error:
            self.logger.info('ownership not changed', detail=str(error))

    def moves(self) -> dict[int, str]:
        """Return the partitions that this VM moves now."""
        live = self.members.live_vms()
        if self.leaving:
            others = [name for name in live if name != self.members.local_vm]
            mine = self.owner.ownership.partitions_of(self.members.local_vm)
            return self.assign(sorted(mine), others)
        moves = ownership.plan_surplus_moves(
            self.owner.ownership,
            self.members.local_vm,
            self.settings.partitions,
            live,
        )
        if self.members.role_holder('assign') == self.members.local_vm:
            moves |= self.assign(self.orphans(), live)
        return moves

    def assign(
        self,
        free: abc.Sequence[int],
        live: abc.Collection[str],
    ) -> dict[int, str]:
        """Return new owners of free partitions."""
        if not free or not live:
            return {}
        return ownership.assign(self.owner.ownership, free, live)

    def orphans(self) -> list[int]:
        """Return the partitions that nobody owns any more."""
        limit = clock.monotonic() - self.settings.reclaim_seconds
        gone = frozenset(
            name
            for name, since in self.members.missing_since.items()
            if since < limit
        )
        return ownership.orphans(
            self.owner.ownership,
            self.settings.partitions,
            gone,
        )

    async def commit_moves(self, moves: dict[int, str]) -> None:
        """Change owners by a conditional update.

        Partitions that this VM gives away are stopped before. A lost
        answer needs no care: the next review reads what came of it.

        Raises:
            PlatformError: If the platform is silent or the object changed.
        """
        given = [
            partition
            for partition in moves
            if self.owner.leasable_from.pop(partition, None) is not None
        ]
        held = self.owner.ownership.with_moves(moves)
        try:
            written = await self.store.write(
                ownership.OBJECT_KEY,
                held.encode(),
                self.owner.version,
            )
        except errors.PlatformError:
            await self.read_back(given)
            raise
        self.counters.add('partitions_moved', '', len(moves))
        self.record_moves(moves, written.version)
        self.handle_stored(
            stored_object.StoredObject(
                ownership.OBJECT_KEY, held.encode(), written.version
            ),
        )

    def record_moves(self, moves: dict[int, str], version: int) -> None:
        """Log moved partitions and add them to the audit trail."""
        self.logger.info('partitions moved', count=len(moves))
        if self.audit is not None:
            names = sorted(set(moves.values()))
            self.audit.add(
                'quota-moved',
                f'{len(moves)} partitions',
                after=f'version {version}: to {", ".join(names)}',
                reason='leaving' if self.leaving else 'balance',
            )

    async def read_back(self, given: abc.Iterable[int]) -> None:
        """Read what came of an update whose answer was lost.

        While the platform stays silent the given partitions stay stopped.

        Raises:
            PlatformUnavailableError: If the platform is silent.
        """
        held = await self.store.read(ownership.OBJECT_KEY)
        if held is None:
            return
        self.handle_stored(held)
        if held.version == self.owner.version:
            self.owner.start_leasing(given, clock.monotonic())
