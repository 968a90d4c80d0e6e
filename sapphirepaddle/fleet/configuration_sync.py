"""Propagation of accepted configuration changes between daemons."""

import asyncio
import collections
import typing

import orjson

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.gateway import active_configuration
from sapphirepaddle.objects import change, configuration, kinds
from sapphirepaddle.peers import mesh, messages
from sapphirepaddle.store import snapshots
from sapphirepaddle.telemetry import counters, logs

MAX_RECENT_CHANGES: typing.Final = 512
PAGE_OBJECTS: typing.Final = 500
REQUEST_TIMEOUT_SECONDS: typing.Final = 2


class ConfigurationSync:
    """Keeps this daemon at the newest revision known to its peers.

    Attributes:
        current: The active configuration.
        mesh: The peer connections.
        counters: Totals for metrics.
        recent_changes: The latest `MAX_RECENT_CHANGES` encoded changes, by
            revision.
        fetching: Whether changes are being fetched.
        applied_at: Time at which the revision in force was applied, in
            seconds of the monotonic clock.
        logger: Log of changes.
    """

    def __init__(
        self,
        current: active_configuration.ActiveConfiguration,
        peers: mesh.Mesh,
        totals: counters.Counters,
    ) -> None:
        """Register the message handlers at the mesh."""
        self.current = current
        self.mesh = peers
        self.counters = totals
        self.recent_changes: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self.fetching = False
        self.applied_at = clock.monotonic()
        self.logger = logs.get_logger('configuration')
        peers.message_handlers[messages.ChangesRequest] = (
            self.handle_changes_request
        )
        peers.message_handlers[messages.Changes] = self.handle_changes
        peers.message_handlers[messages.SnapshotRequest] = (
            self.handle_snapshot_request
        )

    def apply_change(self, raw: bytes, sender: str = '') -> bool:
        """Apply an encoded change and forward it if it is the next one.

        Args:
            raw: The encoded change.
            sender: Name of the VM that sent it; empty for the platform.

        Returns:
            Whether it was applied.
        """
        try:
            accepted_change = change.decode(raw)
            applied = self.current.apply(accepted_change)
        except errors.ConfigurationError as error:
            self.counters.add('unreadable_changes')
            self.logger.error('change not applied', detail=str(error))
            return False
        if applied:
            self.cache_change(accepted_change, raw)
            self.mesh.broadcast(messages.Changes((raw,)), sender)
        return applied

    def cache_change(self, accepted_change: change.Change, raw: bytes) -> None:
        """Cache a change for peers that are behind, and log it."""
        self.applied_at = clock.monotonic()
        self.recent_changes[accepted_change.revision] = raw
        if len(self.recent_changes) > MAX_RECENT_CHANGES:
            self.recent_changes.popitem(last=False)
        self.logger.info(
            'change in force',
            revision=accepted_change.revision,
            author=accepted_change.author,
        )

    def handle_changes(self, message: messages.Changes, sender: str) -> None:
        """Apply changes that a peer sent."""
        for raw in message.entries:
            self.apply_change(raw, sender)

    def handle_changes_request(
        self,
        message: messages.ChangesRequest,
        _sender: str,
    ) -> messages.Changes:
        """Return the changes after a revision.

        The reply is empty if one of them is no longer cached; the peer then
        fetches a snapshot.
        """
        revisions = range(message.after + 1, self.current.revision + 1)
        if any(revision not in self.recent_changes for revision in revisions):
            return messages.Changes(())
        return messages.Changes(
            tuple(self.recent_changes[revision] for revision in revisions),
        )

    def handle_snapshot_request(
        self,
        message: messages.SnapshotRequest,
        _sender: str,
    ) -> messages.Snapshot:
        """Return one page of the whole configuration.

        The cursor of the reply is 0 on the last page.
        """
        puts = self.all_puts()
        start = message.cursor * PAGE_OBJECTS
        page = puts[start : start + PAGE_OBJECTS]
        has_more = start + PAGE_OBJECTS < len(puts)
        return messages.Snapshot(
            self.current.revision,
            message.cursor + 1 if has_more else 0,
            tuple(map(orjson.dumps, page)),
        )

    def all_puts(self) -> list[change.Put]:
        """Return all objects as puts, ordered by `snapshots.KINDS`."""
        current = self.current.configuration
        return [
            change.Put(kind=kind, body=to_plain(configuration_object))
            for kind in snapshots.KINDS
            for configuration_object in current.objects_of_kind(kind).values()
        ]

    def fetch_if_behind(self, peer: str, revision: int) -> None:
        """Start to fetch missing changes if a peer has a newer revision.

        Only one fetch runs at a time.
        """
        if revision > self.current.revision and not self.fetching:
            self.fetching = True
            self.mesh.spawn(self.fetch(peer))

    async def fetch(self, peer: str) -> None:
        """Fetch missing changes, or a snapshot, from a peer."""
        try:
            await self.fetch_changes(peer)
        except errors.PaddleError as error:
            self.logger.info('fetch failed', peer=peer, detail=str(error))
        finally:
            self.fetching = False

    async def fetch_changes(self, peer: str) -> None:
        """Fetch the changes after the revision in force.

        Fetches a snapshot if the peer no longer has all of them.

        Raises:
            PeerError: If the peer does not answer.
        """
        request = messages.ChangesRequest(self.current.revision)
        reply = await self.mesh.request(peer, request, REQUEST_TIMEOUT_SECONDS)
        if reply.entries:
            self.handle_changes(reply, peer)
        else:
            await self.fetch_snapshot(peer)

    async def fetch_snapshot(self, peer: str) -> None:
        """Fetch the whole configuration in pages.

        Raises:
            PeerError: If the peer does not answer or its configuration
                changes between two pages.
            ConfigurationError: If an object cannot be decoded.
        """
        snapshot = configuration.Configuration()
        cursor = 0
        while True:
            page = await self.mesh.request(
                peer,
                messages.SnapshotRequest(cursor),
                REQUEST_TIMEOUT_SECONDS,
            )
            if snapshot.revision not in {0, page.revision}:
                raise errors.PeerError(
                    codes.PEER_UNREACHABLE,
                    'configuration changed during the fetch',
                )
            snapshot.revision = page.revision
            snapshots.add_objects(snapshot, map(decode_put, page.puts))
            cursor = page.cursor
            if not cursor:
                break
            await asyncio.sleep(0)
        self.apply_snapshot(snapshot)

    def apply_snapshot(self, snapshot: configuration.Configuration) -> None:
        """Replace the active configuration if the snapshot is newer."""
        if self.current.replace(snapshot):
            self.applied_at = clock.monotonic()
            self.recent_changes.clear()


def decode_put(raw: bytes) -> change.Put:
    """Decode an object of a page."""
    return change.Put(**orjson.loads(raw))


def to_plain(
    configuration_object: kinds.ConfigurationObject,
) -> dict[str, typing.Any]:
    """Return the fields of an object as plain JSON values."""
    return orjson.loads(orjson.dumps(configuration_object))
