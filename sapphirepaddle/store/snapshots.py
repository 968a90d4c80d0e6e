"""Snapshots of the configuration in the platform's object store.

A snapshot saves new daemons from reading the whole change log. Its parts are
written first, then the head that refers to them, by a conditional write. The
parts of the previous snapshot are kept until the next one is written, for
daemons that are still reading them. Changes more than KEPT_CHANGES revisions
before a snapshot are deleted from the log.
"""

import dataclasses
import itertools
import typing

import orjson
import pydantic

from sapphirepaddle import errors
from sapphirepaddle.objects import change, configuration, kinds
from sapphirepaddle.store import change_log, object_store, stored_object

HEAD_KEY: typing.Final = 'snapshot-head'
KEY_PREFIX: typing.Final = 'snapshots/'
MAX_OBJECTS_PER_PART: typing.Final = 1000
KEPT_CHANGES: typing.Final = 1000
KINDS: typing.Final = (
    'availability_zone',
    'service',
    'target',
    'route',
    'client_account',
    'key',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Refers to the parts of the newest snapshot.

    Attributes:
        revision: Revision of the configuration; 0 for no snapshot.
        parts: Number of parts.
        earlier: Revision of the previous snapshot; 0 for none.
        earlier_parts: Number of parts of the previous snapshot.
        oldest: Revision of the oldest change still in the log.
    """

    revision: int = 0
    parts: int = 0
    earlier: int = 0
    earlier_parts: int = 0
    oldest: int = 1


HEAD_ADAPTER: typing.Final = pydantic.TypeAdapter(Head)
PART_ADAPTER: typing.Final = pydantic.TypeAdapter(list[change.Put])


def part_key(revision: int, number: int) -> str:
    """Return the key of a part of a snapshot."""
    return f'{KEY_PREFIX}{revision}/{number}'


def list_objects(current: configuration.Configuration) -> list[change.Put]:
    """Return all objects of a configuration as puts, by kind."""
    return [
        change.Put(kind=kind, body=orjson.loads(orjson.dumps(entry)))
        for kind in KINDS
        for entry in current.objects_of_kind(kind).values()
    ]


def encode_parts(current: configuration.Configuration) -> list[bytes]:
    """Encode a configuration as JSON lists of puts, one for each part."""
    puts = list_objects(current)
    starts = range(0, len(puts), MAX_OBJECTS_PER_PART)
    return [
        orjson.dumps(puts[start : start + MAX_OBJECTS_PER_PART])
        for start in starts
    ]


def add_objects(
    loaded_configuration: configuration.Configuration,
    puts: typing.Iterable[change.Put],
) -> None:
    """Add the objects of puts to a configuration.

    Raises:
        ConfigurationError: If an object cannot be decoded.
    """
    for put in puts:
        entry = kinds.find(put.kind).parse(put.body)
        loaded_configuration.objects_of_kind(put.kind)[entry.name] = entry


async def read_head(
    objects: object_store.ObjectStore,
) -> stored_object.StoredObject | None:
    """Return the stored head, or None if there is no snapshot.

    Raises:
        PlatformUnavailableError: If the platform does not answer.
    """
    return await objects.read(HEAD_KEY)


def decode_head(stored_head: stored_object.StoredObject | None) -> Head:
    """Decode a head; without a stored one return that of no snapshot."""
    if stored_head is None or stored_head.body is None:
        return Head()
    return HEAD_ADAPTER.validate_json(stored_head.body)


async def read(
    objects: object_store.ObjectStore,
) -> configuration.Configuration | None:
    """Return the configuration of the newest snapshot, or None.

    Raises:
        PlatformUnavailableError: If the platform does not answer, or a part
            was deleted while the snapshot was read.
        ConfigurationError: If an object cannot be decoded.
    """
    head = decode_head(await read_head(objects))
    if not head.revision:
        return None
    loaded_configuration = configuration.Configuration(revision=head.revision)
    for number in range(head.parts):
        stored_part = await objects.read(part_key(head.revision, number))
        if stored_part is None or stored_part.body is None:
            raise errors.PlatformUnavailableError(
                'part of the snapshot was deleted'
            )
        add_objects(
            loaded_configuration, PART_ADAPTER.validate_json(stored_part.body)
        )
    return loaded_configuration


async def write(
    objects: object_store.ObjectStore,
    current: configuration.Configuration,
) -> Head:
    """Write a snapshot and delete the objects that it makes obsolete.

    Returns:
        The new head.

    Raises:
        VersionConflictError: If another daemon wrote a snapshot at the same
            time.
        PlatformUnavailableError: If the platform does not answer.
    """
    revision = current.revision
    parts = encode_parts(current)
    stored_head = await read_head(objects)
    previous_head = decode_head(stored_head)
    for number, body in enumerate(parts):
        await put_part(objects, part_key(revision, number), body)
    head = Head(
        revision=revision,
        parts=len(parts),
        earlier=previous_head.revision,
        earlier_parts=previous_head.parts,
        oldest=max(previous_head.oldest, revision - KEPT_CHANGES),
    )
    version = stored_head.version if stored_head else 0
    await objects.write(HEAD_KEY, orjson.dumps(head), version)
    await delete_objects(objects, obsolete_keys(previous_head, head))
    return head


async def put_part(
    objects: object_store.ObjectStore, key: str, body: bytes
) -> None:
    """Write a part, replacing one left by a failed attempt.

    Raises:
        PlatformError: If the platform does not answer, or another daemon
            wrote the part at the same time.
    """
    stored_part = await objects.read(key)
    await objects.write(key, body, stored_part.version if stored_part else 0)


def obsolete_keys(previous_head: Head, new_head: Head) -> typing.Iterator[str]:
    """Return the keys of parts and changes that a new head makes obsolete."""
    part_keys = (
        part_key(previous_head.earlier, number)
        for number in range(previous_head.earlier_parts)
    )
    change_keys = (
        change_log.change_key(revision)
        for revision in range(previous_head.oldest, new_head.oldest)
    )
    return itertools.chain(part_keys, change_keys)


async def delete_objects(
    objects: object_store.ObjectStore,
    keys: typing.Iterable[str],
) -> None:
    """Delete the objects that exist under some keys.

    Raises:
        VersionConflictError: If an object was changed at the same time.
        PlatformUnavailableError: If the platform does not answer.
    """
    for key in keys:
        entry = await objects.read(key)
        if entry is not None:
            await objects.delete(key, entry.version)
