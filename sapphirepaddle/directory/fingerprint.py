"""Hash of the listed registrations, compared between daemons."""

import xxhash

from sapphirepaddle.directory import registration


class Fingerprint:
    """Order-independent hash of a set of registrations.

    Attributes:
        hashes: 32-bit hash of each registration, by target name.
        combined_hash: XOR of all hashes; 0 for an empty set.
    """

    def __init__(self) -> None:
        """Initialize an empty set."""
        self.hashes: dict[str, int] = {}
        self.combined_hash = 0

    def update(self, target: registration.Registration) -> None:
        """Add a registration, replacing an earlier one of the same target."""
        self.remove(target.name)
        registration_hash = hash_registration(target)
        self.hashes[target.name] = registration_hash
        self.combined_hash ^= registration_hash

    def remove(self, name: str) -> None:
        """Remove a registration; an unknown name is ignored."""
        self.combined_hash ^= self.hashes.pop(name, 0)


def hash_registration(target: registration.Registration) -> int:
    """Return the 32-bit hash of a registration."""
    text = (
        f'{target.name} {target.host}:{target.port} {target.service} '
        f'{target.incarnation} {target.is_draining}'
    )
    return xxhash.xxh32_intdigest(text.encode())
