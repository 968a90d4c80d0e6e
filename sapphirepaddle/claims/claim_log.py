"""Committing records through the owner of their shard."""

import typing

from sapphirepaddle import codes, errors
from sapphirepaddle.claims import committer, record, shard_log
from sapphirepaddle.peers import members, mesh, messages
from sapphirepaddle.routing import rendezvous
from sapphirepaddle.settings import entry
from sapphirepaddle.store import object_store

ACCEPTED: typing.Final = 'accepted'
HELD: typing.Final = 'held'
"""Verdict if the key belongs to another record, which is part of the result."""
UNAVAILABLE: typing.Final = 'unavailable'
"""Verdict if the platform did not answer the owner of the shard."""


class ClaimLog:
    """Commits records locally or through the owner of their shard.

    The owner batches the records of all daemons into few writes. Safety does
    not depend on it: the platform's conditional update serializes the writes
    of two owners, or of a daemon that cannot reach the owner and writes
    itself.

    Attributes:
        settings: Times and sizes.
        store: The platform's object store.
        members: The VMs of the fleet.
        mesh: The peer connections.
        committers: Committers of the shards written here, by shard.
    """

    def __init__(
        self,
        settings: entry.ClaimSettings,
        store: object_store.ObjectStore,
        fleet_members: members.Members,
        peer_mesh: mesh.Mesh,
    ) -> None:
        """Initialize and register the handler of claim requests."""
        self.settings = settings
        self.store = store
        self.members = fleet_members
        self.mesh = peer_mesh
        self.committers: dict[int, committer.Committer] = {}
        peer_mesh.message_handlers[messages.ClaimRequest] = (
            self.handle_claim_request
        )

    def shard_of(self, key: str) -> int:
        """Return the shard of a key."""
        return rendezvous.weight('shard', key) % self.settings.shards

    def owner_of(self, shard: int) -> str:
        """Return the name of the VM that batches the records of a shard."""
        return self.members.role_holder(f'claims/{shard}')

    async def commit(self, proposed: record.Record) -> messages.ClaimResult:
        """Commit a record.

        Returns:
            Whether the record was accepted; if not, the record that holds
            the key.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        shard = self.shard_of(proposed.key)
        owner_name = self.owner_of(shard)
        if owner_name == self.members.local_vm:
            return await self.commit_local(shard, proposed)
        request = messages.ClaimRequest(
            shard, record.ADAPTER.dump_json(proposed)
        )
        try:
            result = await self.mesh.request(
                owner_name,
                request,
                self.settings.ask_seconds,
            )
        except errors.PeerError:
            return await self.commit_local(shard, proposed)
        if result.verdict == UNAVAILABLE:
            raise errors.PlatformUnavailableError(owner_name)
        return result

    async def handle_claim_request(
        self,
        request: messages.ClaimRequest,
        _sender: str,
    ) -> messages.ClaimResult:
        """Commit a record for another daemon.

        Raises:
            PeerError: If the record or the shard number is malformed.
        """
        try:
            proposed = record.ADAPTER.validate_json(request.record)
        except ValueError as error:
            raise errors.PeerError(codes.PEER_MALFORMED, 'record') from error
        if not 0 <= request.shard < self.settings.shards:
            raise errors.PeerError(codes.PEER_MALFORMED, 'shard')
        try:
            return await self.commit_local(request.shard, proposed)
        except errors.PlatformError:
            return messages.ClaimResult(UNAVAILABLE, b'')

    async def commit_local(
        self,
        shard: int,
        proposed: record.Record,
    ) -> messages.ClaimResult:
        """Commit a record with this daemon's own committer.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        shard_committer = self.get_committer(shard)
        decision = await shard_committer.commit(proposed)
        if decision.accepted:
            return messages.ClaimResult(ACCEPTED, b'')
        recorded = await shard_committer.log.find(proposed.key)
        if recorded is None:
            raise errors.PlatformUnavailableError('record not found')
        return messages.ClaimResult(HELD, record.ADAPTER.dump_json(recorded))

    def get_committer(self, shard: int) -> committer.Committer:
        """Return the committer of a shard, created on first use."""
        shard_committer = self.committers.get(shard)
        if shard_committer is None:
            log = shard_log.ShardLog(
                shard,
                self.store,
                self.settings.segment_bytes,
                self.settings.retention_seconds,
            )
            shard_committer = committer.Committer(
                log, self.settings.commit_seconds
            )
            self.committers[shard] = shard_committer
        return shard_committer
