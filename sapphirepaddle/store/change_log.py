"""The change log of the configuration in the platform.

Each accepted change is one object, created under its revision. Creating the
object is the acceptance: of two writers of one revision one succeeds.
"""

import asyncio
import typing

from sapphirepaddle import errors
from sapphirepaddle.objects import change, configuration
from sapphirepaddle.store import object_store, stored_object

KEY_PREFIX: typing.Final = 'fleet/changes/'
REVISION_DIGITS: typing.Final = 12
READ_BACK_SECONDS: typing.Final = 0.2
MAX_READ_BACK_ATTEMPTS: typing.Final = 25


def key_of(revision: int) -> str:
    """Return the key of a change."""
    return f'{KEY_PREFIX}{revision:0{REVISION_DIGITS}d}'


def revision_of(entry: stored_object.StoredObject) -> int:
    """Return the revision of a stored change."""
    return int(entry.key.removeprefix(KEY_PREFIX))


async def append(
    objects: object_store.ObjectStore, entry: change.Change
) -> None:
    """Make a change accepted.

    A lost answer is read back: the entry's token tells whose it is.

    Raises:
        RevisionTakenError: If another change took the revision.
        PlatformUnavailableError: If the platform stays silent; the change
            may have been accepted.
    """
    try:
        await objects.write(key_of(entry.revision), entry.encode(), 0)
    except errors.VersionConflictError:
        await verify_stored_change(objects, entry)
    except errors.PlatformUnavailableError:
        await retry_lost_write(objects, entry)


async def verify_stored_change(
    objects: object_store.ObjectStore, entry: change.Change
) -> None:
    """Check that the stored change is this one.

    Raises:
        RevisionTakenError: If it is another one.
    """
    held = await objects.read(key_of(entry.revision))
    if held is None or held.body is None:
        raise errors.RevisionTakenError(f'revision {entry.revision}')
    if change.decode(held.body).token != entry.token:
        raise errors.RevisionTakenError(f'revision {entry.revision}')


async def retry_lost_write(
    objects: object_store.ObjectStore, entry: change.Change
) -> None:
    """Find out what became of a write whose answer was lost.

    The write is repeated, which is safe: it only succeeds where no change
    has the revision.

    Raises:
        RevisionTakenError: If another change has it.
        PlatformUnavailableError: If the platform stays silent.
    """
    for _ in range(MAX_READ_BACK_ATTEMPTS):
        await asyncio.sleep(READ_BACK_SECONDS)
        try:
            await objects.write(
                key_of(entry.revision),
                entry.encode(),
                0,
            )
        except errors.PlatformUnavailableError:
            continue
        except errors.VersionConflictError:
            return await verify_stored_change(objects, entry)
        return None
    raise errors.PlatformUnavailableError(f'revision {entry.revision}')


async def load_changes(
    objects: object_store.ObjectStore,
    after: int = 0,
) -> list[stored_object.StoredObject]:
    """Return the stored changes after a revision, in order.

    Raises:
        PlatformUnavailableError: If the platform does not answer.
    """
    found: list[stored_object.StoredObject] = []
    last = key_of(after)
    while True:
        page = await objects.list_page(KEY_PREFIX, last)
        found.extend(page)
        if not page:
            return found
        last = page[-1].key


async def load_configuration(
    objects: object_store.ObjectStore,
) -> configuration.Configuration:
    """Return the configuration after all accepted changes.

    Raises:
        PlatformUnavailableError: If the platform does not answer.
        ConfigurationError: If a change cannot be read.
    """
    current = configuration.Configuration()
    for entry in await load_changes(objects):
        current.apply(change.decode(entry.body or b''))
    return current
