"""Spreading of news over the peer connections."""

import asyncio
import dataclasses
import typing

from sapphirepaddle.peers import mesh, messages, news
from sapphirepaddle.telemetry import counters, logs

FLUSH_SECONDS: typing.Final = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Fresh:
    """News to be passed on.

    Attributes:
        item: The news.
        sender: The VM they came from.
    """

    item: messages.Item
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
        self.news = news.NewsStore()
        self.counters = totals
        self.fresh: list[Fresh] = []
        self.logger = logs.get('gossip')
        peers.answerers[messages.News] = self.take_up
        peers.answerers[messages.Sums] = self.compare
        peers.summaries = self.summaries

    def summaries(self) -> messages.Sums:
        """Return the summaries of all topics."""
        return messages.Sums(self.news.sums())

    def publish(self, topic: str, key: str, payload: bytes) -> None:
        """Spread news that arose here."""
        version = self.news.next_version(topic, key)
        self.publish_version(topic, key, version, payload)

    def publish_version(
        self,
        topic: str,
        key: str,
        version: int,
        payload: bytes,
    ) -> None:
        """Spread news whose version is given by their source."""
        item = messages.Item(topic, key, version, payload)
        self.spread(item, self.mesh.own.vm)

    def take_up(self, body: messages.News, sender: str) -> None:
        """Take up news from a peer and pass on what is new."""
        for item in body.items:
            self.spread(item, sender)

    def spread(self, item: messages.Item, sender: str) -> None:
        """Take up news and plan to pass them on, if they are new."""
        if not self.accept(item, sender):
            return
        if not self.fresh:
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_SECONDS, self.flush)
        self.fresh.append(Fresh(item, sender))

    def accept(self, item: messages.Item, sender: str) -> bool:
        """Take up one item; news that cannot be read are dropped.

        Returns:
            Whether they were new.
        """
        try:
            return self.news.offer(item)
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
        for name in list(self.mesh.links):
            items = tuple(entry.item for entry in fresh if entry.sender != name)
            if items:
                self.mesh.send(name, messages.News(items))

    def compare(self, body: messages.Sums, _sender: str) -> messages.News:
        """Return the topics on which a peer holds other news.

        Args:
            body: Summaries of the peer.
        """
        return messages.News(tuple(self.news.differing(body.sums)))
