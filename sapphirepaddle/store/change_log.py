"""Change log of the configuration in the platform's object store.

Each accepted change is one object whose key contains its revision. A change
is accepted by creating its object, so that only one of two concurrent writers
of a revision succeeds.
"""

import asyncio
import typing

from sapphirepaddle import errors
from sapphirepaddle.objects import change, configuration
from sapphirepaddle.store import object_store, stored_object

KEY_PREFIX: typing.Final = 'fleet/changes/'
REVISION_DIGITS: typing.Final = 12
READ_BACK_SECONDS: typing.Final = 0.2
"""Pause before each retry of a write whose answer was lost."""
MAX_READ_BACK_ATTEMPTS: typing.Final = 25
"""Maximum number of retries of a write whose answer was lost."""


def change_key(revision: int) -> str:
    """Return the key of a change, zero-padded so that keys sort by revision."""
    return f'{KEY_PREFIX}{revision:0{REVISION_DIGITS}d}'


def change_revision(stored_change: stored_object.StoredObject) -> int:
    """Return the revision of a stored change."""
    return int(stored_change.key.removeprefix(KEY_PREFIX))


async def append(
    objects: object_store.ObjectStore, new_change: change.Change
) -> None:
    """Append a change to the log, which accepts it.

    After a lost answer the write is retried, and the token in the stored
    change shows whether it is this one.

    Raises:
        RevisionTakenError: If another change has the revision.
        PlatformUnavailableError: If the platform does not answer; the change
            may have been accepted.
    """
    try:
        await objects.write(
            change_key(new_change.revision), new_change.encode(), 0
        )
    except errors.VersionConflictError:
        await verify_stored_change(objects, new_change)
    except errors.PlatformUnavailableError:
        await retry_lost_write(objects, new_change)


async def verify_stored_change(
    objects: object_store.ObjectStore, new_change: change.Change
) -> None:
    """Check by its token that the stored change is the new one.

    Raises:
        RevisionTakenError: If another change has the revision.
        PlatformUnavailableError: If the platform does not answer.
    """
    stored_change = await objects.read(change_key(new_change.revision))
    if stored_change is None or stored_change.body is None:
        raise errors.RevisionTakenError(f'revision {new_change.revision}')
    if change.decode(stored_change.body).token != new_change.token:
        raise errors.RevisionTakenError(f'revision {new_change.revision}')


async def retry_lost_write(
    objects: object_store.ObjectStore, new_change: change.Change
) -> None:
    """Retry a write whose answer was lost.

    The retry is safe, as it succeeds only if no change has the revision.

    Raises:
        RevisionTakenError: If another change has the revision.
        PlatformUnavailableError: If the platform answers none of the
            attempts.
    """
    for _ in range(MAX_READ_BACK_ATTEMPTS):
        await asyncio.sleep(READ_BACK_SECONDS)
        try:
            await objects.write(
                change_key(new_change.revision),
                new_change.encode(),
                0,
            )
        except errors.PlatformUnavailableError:
            continue
        except errors.VersionConflictError:
            return await verify_stored_change(objects, new_change)
        return None
    raise errors.PlatformUnavailableError(f'revision {new_change.revision}')


async def load_changes(
    objects: object_store.ObjectStore,
    after_revision: int = 0,
) -> list[stored_object.StoredObject]:
    """Return the stored changes after a revision, ordered by revision.

    Raises:
        PlatformUnavailableError: If the platform does not answer.
    """
    stored_changes: list[stored_object.StoredObject] = []
    last_key = change_key(after_revision)
    while True:
        page = await objects.list_page(KEY_PREFIX, last_key)
        stored_changes.extend(page)
        if not page:
            return stored_changes
        last_key = page[-1].key


async def load_configuration(
    objects: object_store.ObjectStore,
) -> configuration.Configuration:
    """Build the configuration by applying all stored changes.

    Raises:
        PlatformUnavailableError: If the platform does not answer.
        ConfigurationError: If a change cannot be decoded.
    """
    loaded_configuration = configuration.Configuration()
    for stored_change in await load_changes(objects):
        loaded_configuration.apply(change.decode(stored_change.body or b''))
    return loaded_configuration
