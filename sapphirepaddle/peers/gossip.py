"""Spreading of news over the peer connections."""

import asyncio
import dataclasses
import typing

from sapphirepaddle.peers import mesh, messages, gossip_store
from sapphirepaddle.telemetry import counters, logs

FLUSH_SECONDS: typing.Final = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class PendingItem:
    """News to be passed on.

    Attributes:
        item: The news.
        sender: The VM they came from.
    """

    item: messages.GossipItem
    sender: str


class Gossip:
    """Takes up news and passes on what is new.

    Attributes:
        mesh: The peer connections.
        news: News held.
        counters: Totals for metrics.
        fresh: News to be passed on at the next flush.
        logger: Log of unreadable news.
    """

    def __init__(self, peers: mesh.Mesh, totals: counters.Counters) -> None:
        """Take part in the conversations of the mesh."""
        self.mesh = peers
        self.store = gossip_store.GossipStore()
        self.counters = totals
        self.fresh: list[PendingItem] = []
        self.logger = logs.get_logger('gossip')
        peers.message_handlers[messages.GossipItems] = self.handle_items
        peers.message_handlers[messages.TopicSummaries] = self.handle_summaries
        peers.build_summaries = self.summaries

    def summaries(self) -> messages.TopicSummaries:
        """Return the summaries of all topics."""
        return messages.TopicSummaries(self.store.sums())

    def publish(self, topic: str, key: str, payload: bytes) -> None:
        """Spread news that arose here."""
        version = self.store.next_version(topic, key)
        self.publish_version(topic, key, version, payload)

    def publish_version(
        self,
        topic: str,
        key: str,
        version: int,
        payload: bytes,
    ) -> None:
        """Spread news whose version is given by their source."""
        item = messages.GossipItem(topic, key, version, payload)
        self.handle_item(item, self.mesh.identity.vm)

    def handle_items(self, body: messages.GossipItems, sender: str) -> None:
        """Take up news from a peer and pass on what is new."""
        for item in body.items:
            self.handle_item(item, sender)

    def handle_item(self, item: messages.GossipItem, sender: str) -> None:
        """Take up news and plan to pass them on, if they are new."""
        if not self.store_item(item, sender):
            return
        if not self.fresh:
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_SECONDS, self.flush)
        self.fresh.append(PendingItem(item, sender))

    def store_item(self, item: messages.GossipItem, sender: str) -> bool:
        """Take up one item; news that cannot be read are dropped.

        Returns:
            Whether they were new.
        """
        try:
            return self.store.store_if_newer(item)
        except ValueError as error:
            self.counters.add('unreadable_news', item.topic)
            self.logger.warning(
                'unreadable news',
                topic=item.topic,
                peer=sender,
                detail=type(error).__name__,
            )
            return False

    def flush(self) -> None:
        """Pass on fresh news over every connection."""
        fresh = self.fresh
        self.fresh = []
        for name in list(self.mesh.connections):
            items = tuple(entry.item for entry in fresh if entry.sender != name)
            if items:
                self.mesh.send(name, messages.GossipItems(items))

    def handle_summaries(
        self, body: messages.TopicSummaries, _sender: str
    ) -> messages.GossipItems:
        """Return the topics on which a peer holds other news.

        Args:
            body: Summaries of the peer.
        """
        return messages.GossipItems(
            tuple(self.store.items_of_differing_topics(body.sums))
        )
