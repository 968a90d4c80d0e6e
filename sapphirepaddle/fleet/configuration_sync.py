"""Spreading of accepted changes from daemon to daemon."""

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
ASK_SECONDS: typing.Final = 2


class ConfigurationSync:
    """Keeps this daemon at the newest revision known to its peers.

    Attributes:
        current: The configuration in force.
        mesh: The peer connections.
        counters: Totals for metrics.
        recent: Encoded changes by revision, the latest only.
        fetching: Whether changes are being fetched.
        applied_at: When the revision in force was applied.
        logger: Log of changes.
    """

    def __init__(
        self,
        current: active_configuration.ActiveConfiguration,
        peers: mesh.Mesh,
        totals: counters.Counters,
    ) -> None:
        """Take part in the conversations of the mesh."""
        self.current = current
        self.mesh = peers
        self.counters = totals
        self.recent: collections.OrderedDict[int, bytes] = (
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
        """Apply an encoded change and pass it on if it is the next one.

        Args:
            raw: The encoded change.
            sender: The VM it came from; empty for the platform.

        Returns:
            Whether it was applied.
        """
        try:
            entry = change.decode(raw)
            applied = self.current.apply(entry)
        except errors.ConfigurationError as error:
            self.counters.add('unreadable_changes')
            self.logger.error('change not applied', detail=str(error))
            return False
        if applied:
            self.cache_change(entry, raw)
            self.mesh.broadcast(messages.Changes((raw,)), sender)
        return applied

    def cache_change(self, entry: change.Change, raw: bytes) -> None:
        """Keep a change for peers that lag behind."""
        self.applied_at = clock.monotonic()
        self.recent[entry.revision] = raw
        if len(self.recent) > MAX_RECENT_CHANGES:
            self.recent.popitem(last=False)
        self.logger.info(
            'change in force',
            revision=entry.revision,
            author=entry.author,
        )

    def handle_changes(self, body: messages.Changes, sender: str) -> None:
        """Take up changes that a peer sent."""
        for raw in body.entries:
            self.apply_change(raw, sender)

    def handle_changes_request(
        self,
        body: messages.ChangesRequest,
        _sender: str,
    ) -> messages.Changes:
        """Return the changes after a revision, if all are still kept."""
        wanted = range(body.after + 1, self.current.revision + 1)
        if any(revision not in self.recent for revision in wanted):
            return messages.Changes(())
        return messages.Changes(
            tuple(self.recent[revision] for revision in wanted),
        )

    def handle_snapshot_request(
        self,
        body: messages.SnapshotRequest,
        _sender: str,
    ) -> messages.Snapshot:
        """Return a page of the whole configuration."""
        pages = self.all_puts()
        start = body.cursor * PAGE_OBJECTS
        page = pages[start : start + PAGE_OBJECTS]
        more = start + PAGE_OBJECTS < len(pages)
        return messages.Snapshot(
            self.current.revision,
            body.cursor + 1 if more else 0,
            tuple(map(orjson.dumps, page)),
        )

    def all_puts(self) -> list[change.Put]:
        """Return all objects as puts, in a fixed order of kinds."""
        held = self.current.configuration
        return [
            change.Put(kind=kind, body=plain(entry))
            for kind in snapshots.KINDS
            for entry in held.objects_of_kind(kind).values()
        ]

    def fetch_if_behind(self, name: str, revision: int) -> None:
        """Fetch what is missing when a peer is ahead."""
        if revision > self.current.revision and not self.fetching:
            self.fetching = True
            self.mesh.spawn(self.fetch(name))

    async def fetch(self, name: str) -> None:
        """Fetch missing changes, or everything, from a peer."""
        try:
            await self.fetch_changes(name)
        except errors.PaddleError as error:
            self.logger.info('fetch failed', peer=name, detail=str(error))
        finally:
            self.fetching = False

    async def fetch_changes(self, name: str) -> None:
        """Fetch the changes after the revision in force.

        Raises:
            PeerError: If the peer does not answer.
        """
        ask = messages.ChangesRequest(self.current.revision)
        answer = await self.mesh.request(name, ask, ASK_SECONDS)
        if answer.entries:
            self.handle_changes(answer, name)
        else:
            await self.fetch_snapshot(name)

    async def fetch_snapshot(self, name: str) -> None:
        """Fetch the whole configuration.

        Raises:
            PeerError: If the peer does not answer or its configuration
                changes meanwhile.
            ConfigurationError: If an object cannot be read.
        """
        newer = configuration.Configuration()
        cursor = 0
        while True:
            page = await self.mesh.request(
                name,
                messages.SnapshotRequest(cursor),
                ASK_SECONDS,
            )
            if newer.revision not in {0, page.revision}:
                raise errors.PeerError(codes.PEER_UNREACHABLE, 'moved on')
            newer.revision = page.revision
            snapshots.add_objects(newer, map(read_put, page.puts))
            cursor = page.cursor
            if not cursor:
                break
            await asyncio.sleep(0)
        self.apply_snapshot(newer)

    def apply_snapshot(self, newer: configuration.Configuration) -> None:
        """Take up a whole configuration if it is newer."""
        if self.current.replace(newer):
            self.applied_at = clock.monotonic()
            self.recent.clear()


def read_put(raw: bytes) -> change.Put:
    """Read an object of a page."""
    return change.Put(**orjson.loads(raw))


def plain(entry: kinds.ConfigurationObject) -> dict[str, typing.Any]:
    """Return the fields of an object as plain JSON values."""
    return orjson.loads(orjson.dumps(entry))
