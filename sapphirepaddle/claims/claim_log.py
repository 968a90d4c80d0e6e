"""Committing records at the owner of their shard."""

import typing

from sapphirepaddle import codes, errors
from sapphirepaddle.claims import committer, record, shard_log
from sapphirepaddle.peers import members, mesh, messages
from sapphirepaddle.store import object_store
from sapphirepaddle.routing import rendezvous
from sapphirepaddle.settings import entry

ACCEPTED: typing.Final = 'accepted'
HELD: typing.Final = 'held'
UNAVAILABLE: typing.Final = 'unavailable'


class ClaimLog:
    """Commits records, here or at the owner of their shard.

    The owner gathers the records of all daemons to few writes. It is not
    needed for safety: two owners, or a daemon that writes itself when it
    cannot reach the owner, meet in the platform's conditional update.

    Attributes:
        settings: Times and sizes.
        store: The platform.
        known: The VMs of the fleet.
        mesh: The peer connections.
        committers: Committers by shard, for the shards written here.
    """

    def __init__(
        self,
        settings: entry.ClaimSettings,
        objects: object_store.ObjectStore,
        known: members.Members,
        peers: mesh.Mesh,
    ) -> None:
        """Take part in the conversations of the mesh."""
        self.settings = settings
        self.store = objects
        self.members = known
        self.mesh = peers
        self.committers: dict[int, committer.Committer] = {}
        peers.message_handlers[messages.ClaimRequest] = (
            self.handle_claim_request
        )

    def shard_of(self, key: str) -> int:
        """Return the shard of a key."""
        return rendezvous.weight('shard', key) % self.settings.shards

    def owner_of(self, shard: int) -> str:
        """Return the VM that gathers the records of a shard."""
        return self.members.role_holder(f'claims/{shard}')

    async def commit(self, proposed: record.Record) -> messages.ClaimResult:
        """Commit a record.

        Returns:
            Whether it stands; if not, the record that stands instead.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        shard = self.shard_of(proposed.key)
        name = self.owner_of(shard)
        if name == self.members.local_vm:
            return await self.commit_local(shard, proposed)
        question = messages.ClaimRequest(
            shard, record.ADAPTER.dump_json(proposed)
        )
        try:
            claim = await self.mesh.request(
                name,
                question,
                self.settings.ask_seconds,
            )
        except errors.PeerError:
            return await self.commit_local(shard, proposed)
        if claim.verdict == UNAVAILABLE:
            raise errors.PlatformUnavailableError(name)
        return claim

    async def handle_claim_request(
        self,
        body: messages.ClaimRequest,
        _sender: str,
    ) -> messages.ClaimResult:
        """Commit a record for another daemon.

        Raises:
            PeerError: If the record cannot be read.
        """
        try:
            proposed = record.ADAPTER.validate_json(body.record)
        except ValueError as error:
            raise errors.PeerError(codes.PEER_MALFORMED, 'record') from error
        if not 0 <= body.shard < self.settings.shards:
            raise errors.PeerError(codes.PEER_MALFORMED, 'shard')
        try:
            return await self.commit_local(body.shard, proposed)
        except errors.PlatformError:
            return messages.ClaimResult(UNAVAILABLE, b'')

    async def commit_local(
        self,
        shard: int,
        proposed: record.Record,
    ) -> messages.ClaimResult:
        """Commit a record from this daemon.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        gathering = self.committer(shard)
        decision = await gathering.commit(proposed)
        if decision.accepted:
            return messages.ClaimResult(ACCEPTED, b'')
        found = await gathering.log.find(proposed.key)
        if found is None:
            raise errors.PlatformUnavailableError('record not found')
        return messages.ClaimResult(HELD, record.ADAPTER.dump_json(found))

    def committer(self, shard: int) -> committer.Committer:
        """Return the committer of a shard."""
        held = self.committers.get(shard)
        if held is None:
            log = shard_log.ShardLog(
                shard,
                self.store,
                self.settings.segment_bytes,
                self.settings.retention_seconds,
            )
            held = committer.Committer(log, self.settings.commit_seconds)
            self.committers[shard] = held
        return held
