"""News: small facts with rising versions that reach every daemon."""

import typing
from collections import abc

import xxhash

from sapphirepaddle.peers import messages

Handler = abc.Callable[[messages.GossipItem], None]
HASH_SEED: typing.Final = 7


class GossipStore:
    """The newest news on each object of each topic.

    Attributes:
        topics: News by topic and key.
        digests: Exclusive or of the digests of the items by topic.
        handlers: Called with accepted news by topic.
    """

    def __init__(self) -> None:
        """Start without news."""
        self.topics: dict[str, dict[str, messages.GossipItem]] = {}
        self.digests: dict[str, int] = {}
        self.handlers: dict[str, Handler] = {}

    def store_if_newer(self, item: messages.GossipItem) -> bool:
        """Take up news if they are newer than what is held.

        Returns:
            Whether they were newer.
        """
        held = self.find(item.topic, item.key)
        if held is not None and held.version >= item.version:
            return False
        self.replace(item, held)
        handler = self.handlers.get(item.topic)
        if handler is not None:
            handler(item)
        return True

    def replace(
        self,
        item: messages.GossipItem,
        held: messages.GossipItem | None,
    ) -> None:
        """Store an item in place of the held one."""
        self.topics.setdefault(item.topic, {})[item.key] = item
        before = item_hash(held) if held else 0
        change = item_hash(item) ^ before
        self.digests[item.topic] = self.digests.get(item.topic, 0) ^ change

    def find(self, topic: str, key: str) -> messages.GossipItem | None:
        """Return the news held on an object."""
        return self.topics.get(topic, {}).get(key)

    def forget(self, topic: str, key: str) -> None:
        """Drop the news on an object that no longer exists."""
        held = self.topics.get(topic, {}).pop(key, None)
        if held is not None:
            self.digests[topic] ^= item_hash(held)

    def next_version(self, topic: str, key: str, least: int = 1) -> int:
        """Return a version newer than the one held."""
        held = self.find(topic, key)
        version = held.version + 1 if held else 1
        return max(least, version)

    def sums(self) -> tuple[messages.TopicSummary, ...]:
        """Return the summaries of all topics."""
        return tuple(
            messages.TopicSummary(topic, len(items), self.digests[topic])
            for topic, items in self.topics.items()
        )

    def items_of_differing_topics(
        self,
        sums: abc.Iterable[messages.TopicSummary],
    ) -> list[messages.GossipItem]:
        """Return all items of the topics whose summary is another one.

        Args:
            sums: Summaries of the peer.
        """
        theirs = {entry.topic: entry.digest for entry in sums}
        return [
            item
            for topic, items in self.topics.items()
            if theirs.get(topic, 0) != self.digests[topic]
            for item in items.values()
        ]


def item_hash(item: messages.GossipItem) -> int:
    """Return the digest of an item's identity and version."""
    text = f'{item.topic}\n{item.key}\n{item.version}'
    return xxhash.xxh3_64_intdigest(text.encode(), seed=HASH_SEED)
