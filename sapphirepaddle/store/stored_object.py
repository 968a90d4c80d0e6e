"""Objects of the platform's object store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """A version of an object in the store.

    Attributes:
        key: Key, with slashes between its parts.
        body: Value; None if the object was deleted.
        version: Version of the last write; versions increase over the whole
            store.
    """

    key: str
    body: bytes | None
    version: int
