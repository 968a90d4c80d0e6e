"""Objects as the platform stores them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One stored object.

    Attributes:
        key: Path-like key.
        body: The value; None after a deletion.
        version: Version of the last write, rising over the whole store.
    """

    key: str
    body: bytes | None
    version: int
