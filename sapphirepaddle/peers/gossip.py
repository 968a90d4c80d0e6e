"""Gossip of versioned items over the peer connections."""

import asyncio
import dataclasses
import typing

from sapphirepaddle.peers import gossip_store, mesh, messages
from sapphirepaddle.telemetry import counters, logs

FLUSH_SECONDS: typing.Final = 0.005
"""Delay in which new items are batched into one message for each peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class PendingItem:
    """An item that is to be forwarded.

    Attributes:
        item: The item.
        sender: Name of the VM that sent it.
    """

    item: messages.GossipItem
    sender: str


class Gossip:
    """Stores received items and forwards those that are new.

    Attributes:
        mesh: The peer connections.
        store: The newest known items.
        counters: Counters for metrics.
        pending: Items to be forwarded at the next flush.
        logger: Logs items whose payload is invalid.
    """

    def __init__(self, peer_mesh: mesh.Mesh, totals: counters.Counters) -> None:
        """Initialize and register the message handlers with the mesh."""
        self.mesh = peer_mesh
        self.store = gossip_store.GossipStore()
        self.counters = totals
        self.pending: list[PendingItem] = []
        self.logger = logs.get_logger('gossip')
        peer_mesh.message_handlers[messages.GossipItems] = self.handle_items
        peer_mesh.message_handlers[messages.TopicSummaries] = (
            self.handle_summaries
        )
        peer_mesh.build_summaries = self.summaries

    def summaries(self) -> messages.TopicSummaries:
        """Return the message with the summaries of all topics."""
        return messages.TopicSummaries(self.store.summaries())

    def publish(self, topic: str, key: str, payload: bytes) -> None:
        """Publish an item under the version after the newest known one."""
        version = self.store.next_version(topic, key)
        self.publish_version(topic, key, version, payload)

    def publish_version(
        self,
        topic: str,
        key: str,
        version: int,
        payload: bytes,
    ) -> None:
        """Publish an item whose version its source has assigned."""
        item = messages.GossipItem(topic, key, version, payload)
        self.handle_item(item, self.mesh.identity.vm)

    def handle_items(self, body: messages.GossipItems, sender: str) -> None:
        """Store items from a peer and forward the new ones."""
        for item in body.items:
            self.handle_item(item, sender)

    def handle_item(self, item: messages.GossipItem, sender: str) -> None:
        """Store an item and, if it is new, schedule its forwarding."""
        if not self.store_item(item, sender):
            return
        if not self.pending:
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_SECONDS, self.flush)
        self.pending.append(PendingItem(item, sender))

    def store_item(self, item: messages.GossipItem, sender: str) -> bool:
        """Store an item if it is newer; an invalid item is counted and logged.

        Returns:
            Whether the item was valid and new.
        """
        try:
            return self.store.store_if_newer(item)
        except ValueError as error:
            self.counters.add('unreadable_news', item.topic)
            self.logger.warning(
                'gossip item malformed',
                topic=item.topic,
                peer=sender,
                detail=type(error).__name__,
            )
            return False

    def flush(self) -> None:
        """Forward pending items to every peer but the one that sent them."""
        pending = self.pending
        self.pending = []
        for peer in list(self.mesh.connections):
            items = tuple(
                entry.item for entry in pending if entry.sender != peer
            )
            if items:
                self.mesh.send(peer, messages.GossipItems(items))

    def handle_summaries(
        self, body: messages.TopicSummaries, _sender: str
    ) -> messages.GossipItems:
        """Return all items of the topics whose summary differs at a peer.

        Args:
            body: Summaries of the peer.
        """
        return messages.GossipItems(
            tuple(self.store.items_of_differing_topics(body.sums))
        )
