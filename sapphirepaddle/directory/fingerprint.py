"""A short mark of what the source lists, to compare between daemons."""

import xxhash

from sapphirepaddle.directory import registration


class Fingerprint:
    """Mark of a set of registrations, whatever their order.

    Attributes:
        marks: Mark of each registration, by name.
        total: Mark of all of them; 0 for none.
    """

    def __init__(self) -> None:
        """Start without registrations."""
        self.hashes: dict[str, int] = {}
        self.combined_hash = 0

    def update(self, held: registration.Registration) -> None:
        """Take up a registration in place of the last one of its name."""
        self.remove(held.name)
        text = (
            f'{held.name} {held.host}:{held.port} {held.service} '
            f'{held.incarnation} {held.is_draining}'
        )
        mark = xxhash.xxh32_intdigest(text.encode())
        self.hashes[held.name] = mark
        self.combined_hash ^= mark

    def remove(self, name: str) -> None:
        """Take a registration out."""
        self.combined_hash ^= self.hashes.pop(name, 0)
