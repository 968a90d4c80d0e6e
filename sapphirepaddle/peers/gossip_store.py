"""Store of gossip items: small versioned values known to every daemon."""

import typing
from collections import abc

import xxhash

from sapphirepaddle.peers import messages

Handler = abc.Callable[[messages.GossipItem], None]
HASH_SEED: typing.Final = 7
"""Seed of the item hash; the same at all daemons, which compare the hashes."""


class GossipStore:
    """The newest item for each key of each topic.

    Attributes:
        topics: Items by topic and key.
        digests: XOR of the hashes of the items, by topic.
        handlers: Callbacks for newly stored items, by topic.
    """

    def __init__(self) -> None:
        """Initialize without items."""
        self.topics: dict[str, dict[str, messages.GossipItem]] = {}
        self.digests: dict[str, int] = {}
        self.handlers: dict[str, Handler] = {}

    def store_if_newer(self, item: messages.GossipItem) -> bool:
        """Store an item if it is newer than the stored one.

        A ValueError of the topic's handler is not caught; the item stays
        stored.

        Returns:
            Whether the item was newer.
        """
        stored = self.find(item.topic, item.key)
        if stored is not None and stored.version >= item.version:
            return False
        self.replace(item, stored)
        handler = self.handlers.get(item.topic)
        if handler is not None:
            handler(item)
        return True

    def replace(
        self,
        item: messages.GossipItem,
        stored: messages.GossipItem | None,
    ) -> None:
        """Replace the stored item, if any, and update the topic digest."""
        self.topics.setdefault(item.topic, {})[item.key] = item
        old_hash = item_hash(stored) if stored else 0
        difference = item_hash(item) ^ old_hash
        self.digests[item.topic] = self.digests.get(item.topic, 0) ^ difference

    def find(self, topic: str, key: str) -> messages.GossipItem | None:
        """Return the item stored for a key; None if there is none."""
        return self.topics.get(topic, {}).get(key)

    def remove(self, topic: str, key: str) -> None:
        """Remove the item of an object that no longer exists."""
        stored = self.topics.get(topic, {}).pop(key, None)
        if stored is not None:
            self.digests[topic] ^= item_hash(stored)

    def next_version(self, topic: str, key: str, minimum: int = 1) -> int:
        """Return a version above the stored one and not below `minimum`."""
        stored = self.find(topic, key)
        version = stored.version + 1 if stored else 1
        return max(minimum, version)

    def summaries(self) -> tuple[messages.TopicSummary, ...]:
        """Return the summaries of all topics."""
        return tuple(
            messages.TopicSummary(topic, len(items), self.digests[topic])
            for topic, items in self.topics.items()
        )

    def items_of_differing_topics(
        self,
        peer_summaries: abc.Iterable[messages.TopicSummary],
    ) -> list[messages.GossipItem]:
        """Return all items of the topics whose digest differs at a peer.

        Args:
            peer_summaries: Summaries of the peer.
        """
        peer_digests = {
            summary.topic: summary.digest for summary in peer_summaries
        }
        return [
            item
            for topic, items in self.topics.items()
            if peer_digests.get(topic, 0) != self.digests[topic]
            for item in items.values()
        ]


def item_hash(item: messages.GossipItem) -> int:
    """Return a 64-bit hash of the topic, key and version of an item."""
    identity = f'{item.topic}\n{item.key}\n{item.version}'
    return xxhash.xxh3_64_intdigest(identity.encode(), seed=HASH_SEED)
