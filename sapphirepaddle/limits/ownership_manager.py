"""Maintaining the ownership of quota partitions in the platform."""

import asyncio
import typing
from collections import abc

from sapphirepaddle import clock, errors
from sapphirepaddle.audit import audit_log
from sapphirepaddle.limits import owner, ownership
from sapphirepaddle.peers import gossip, members, mesh, messages
from sapphirepaddle.settings import entry
from sapphirepaddle.store import object_store, stored_object
from sapphirepaddle.telemetry import counters, logs

TICK_SECONDS: typing.Final = 0.1
REBALANCE_TICKS: typing.Final = 10
VERIFY_TIMEOUT_SECONDS: typing.Final = 1


class OwnershipManager:
    """Reads, distributes and changes the ownership of partitions.

    A partition gets a new owner in two cases only, both by a conditional
    update in the platform: its owner hands it over after it stopped leasing
    from it, or the owner's VM has been missing from the platform's list of
    VMs for the reclaim time.

    Attributes:
        settings: Times and sizes.
        owner: The partitions that this VM owns.
        store: The platform's object store.
        members: The VMs of the fleet.
        gossip: Distributes the ownership to other daemons.
        mesh: The peer connections.
        counters: Totals for metrics.
        logger: Logger of ownership changes.
        leaving: Whether this VM is leaving the fleet.
        audit: The audit log, if there is one.
    """

    def __init__(
        self,
        settings: entry.LimitSettings,
        quota_owner: owner.QuotaOwner,
        store: object_store.ObjectStore,
        fleet_members: members.Members,
        gossip_service: gossip.Gossip,
        totals: counters.Counters,
    ) -> None:
        """Initialize and register the handler of gossiped ownerships."""
        self.settings = settings
        self.owner = quota_owner
        self.store = store
        self.members = fleet_members
        self.gossip = gossip_service
        self.mesh: mesh.Mesh = gossip_service.mesh
        self.counters = totals
        self.logger = logs.get_logger('quota')
        self.leaving = False
        self.audit: audit_log.AuditLog | None = None
        gossip_service.store.handlers[ownership.TOPIC] = self.handle_ownership

    def handle_stored(self, stored: stored_object.StoredObject) -> None:
        """Gossip an ownership object that was read from the platform."""
        self.gossip.publish_version(
            ownership.TOPIC,
            ownership.OBJECT_KEY,
            stored.version,
            stored.body or b'',
        )

    def handle_ownership(self, item: messages.GossipItem) -> None:
        """Apply an ownership received by gossip."""
        new_ownership = ownership.ADAPTER.validate_json(item.payload)
        self.counters.add('owners_known')
        self.owner.apply_ownership(
            new_ownership, item.version, clock.monotonic()
        )

    async def run(self) -> None:
        """Detect pauses of this process and rebalance periodically."""
        tick_count = 0
        while True:
            self.owner.tick(clock.monotonic())
            if self.owner.is_suspended:
                await self.verify()
            if tick_count % REBALANCE_TICKS == 0:
                await self.rebalance()
            tick_count += 1
            await asyncio.sleep(TICK_SECONDS)

    async def verify(self) -> None:
        """Read the ownership again and resume leasing.

        If the platform does not answer, a peer is asked instead.
        """
        try:
            stored = await self.store.read(ownership.OBJECT_KEY)
        except errors.PlatformError:
            await self.verify_with_peer()
            return
        now = clock.monotonic()
        if stored is not None:
            self.handle_stored(stored)
            self.owner.start_leasing(self.owner.stopped_partitions(), now)
        self.owner.resume(now)

    async def verify_with_peer(self) -> None:
        """Get a newer ownership from a connected peer, then resume leasing."""
        successors = self.members.successors()
        connected_vms = [
            name for name in successors if self.mesh.connections.get(name)
        ]
        for name in connected_vms:
            try:
                newer_items = await self.mesh.request(
                    name,
                    messages.TopicSummaries(self.gossip.store.summaries()),
                    VERIFY_TIMEOUT_SECONDS,
                )
            except errors.PeerError:
                continue
            self.gossip.handle_items(newer_items, name)
            self.owner.resume(clock.monotonic())
            return

    async def rebalance(self) -> None:
        """Move surplus partitions and partitions without an owner."""
        moves = self.plan_moves()
        if not moves:
            if self.owner.stopped_partitions():
                await self.verify()
            return
        try:
            await self.commit_moves(moves)
        except errors.PlatformError as error:
            self.logger.info('ownership not changed', detail=str(error))

    def plan_moves(self) -> dict[int, str]:
        """Return the moves that this VM makes now, as new owners by partition.

        A leaving VM moves all its partitions. Otherwise it moves its
        surplus, and the VM with the assigner role moves orphans as well.
        """
        live_vms = self.members.live_vms()
        if self.leaving:
            other_vms = [
                name for name in live_vms if name != self.members.local_vm
            ]
            owned_partitions = self.owner.ownership.partitions_of(
                self.members.local_vm
            )
            return self.assign(sorted(owned_partitions), other_vms)
        moves = ownership.plan_surplus_moves(
            self.owner.ownership,
            self.members.local_vm,
            self.settings.partitions,
            live_vms,
        )
        if self.members.role_holder('assign') == self.members.local_vm:
            moves |= self.assign(self.find_orphans(), live_vms)
        return moves

    def assign(
        self,
        free_partitions: abc.Sequence[int],
        live_vms: abc.Collection[str],
    ) -> dict[int, str]:
        """Return new owners of free partitions, if there are live VMs."""
        if not free_partitions or not live_vms:
            return {}
        return ownership.assign(self.owner.ownership, free_partitions, live_vms)

    def find_orphans(self) -> list[int]:
        """Return the partitions whose owner has been missing too long."""
        missing_before = clock.monotonic() - self.settings.reclaim_seconds
        missing_vms = frozenset(
            name
            for name, since in self.members.missing_since.items()
            if since < missing_before
        )
        return ownership.find_orphans(
            self.owner.ownership,
            self.settings.partitions,
            missing_vms,
        )

    async def commit_moves(self, moves: dict[int, str]) -> None:
        """Change owners by a conditional update.

        Leasing from partitions that this VM hands over stops before the
        update. An update whose response was lost needs no special handling:
        the next rebalance reads its result.

        Raises:
            PlatformError: If the platform does not answer or the object has
                changed.
        """
        stopped = [
            partition
            for partition in moves
            if self.owner.leasable_from.pop(partition, None) is not None
        ]
        new_ownership = self.owner.ownership.with_moves(moves)
        try:
            written = await self.store.write(
                ownership.OBJECT_KEY,
                new_ownership.encode(),
                self.owner.version,
            )
        except errors.PlatformError:
            await self.read_back(stopped)
            raise
        self.counters.add('partitions_moved', '', len(moves))
        self.record_moves(moves, written.version)
        self.handle_stored(
            stored_object.StoredObject(
                ownership.OBJECT_KEY, new_ownership.encode(), written.version
            ),
        )

    def record_moves(self, moves: dict[int, str], version: int) -> None:
        """Log moved partitions and add them to the audit log."""
        self.logger.info('partitions moved', count=len(moves))
        if self.audit is not None:
            new_owners = sorted(set(moves.values()))
            self.audit.add(
                'quota-moved',
                f'{len(moves)} partitions',
                after=f'version {version}: to {", ".join(new_owners)}',
                reason='leaving' if self.leaving else 'balance',
            )

    async def read_back(self, stopped: abc.Iterable[int]) -> None:
        """Read the ownership after an update that failed or got no response.

        The stopped partitions lease again if the version is unchanged. They
        stay stopped while the platform does not answer.

        Args:
            stopped: Partitions that stopped leasing before the update.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        stored = await self.store.read(ownership.OBJECT_KEY)
        if stored is None:
            return
        self.handle_stored(stored)
        if stored.version == self.owner.version:
            self.owner.start_leasing(stopped, clock.monotonic())
