"""Snapshots of the configuration in the platform.

A snapshot saves new daemons from reading the whole change log. Its objects
are written first, then the head that names them, by conditional update. The
objects of the snapshot before stay until the next one, for readers that are
on their way. Changes well before a snapshot are deleted from the log.
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
    """Names the objects of the newest snapshot.

    Attributes:
        revision: Revision of the configuration.
        parts: Number of its objects.
        earlier: Revision of the snapshot before; 0 for none.
        earlier_parts: Number of its objects.
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
    """Return the key of an object of a snapshot."""
    return f'{KEY_PREFIX}{revision}/{number}'


def encode_parts(current: configuration.Configuration) -> list[bytes]:
    """Return a configuration as encoded lists of puts."""
    puts = [
        change.Put(kind=kind, body=orjson.loads(orjson.dumps(entry)))
        for kind in KINDS
        for entry in current.objects_of_kind(kind).values()
    ]
    starts = range(0, len(puts), MAX_OBJECTS_PER_PART)
    return [
        orjson.dumps(puts[start : start + MAX_OBJECTS_PER_PART])
        for start in starts
    ]


def add_objects(
    newer: configuration.Configuration,
    puts: typing.Iterable[change.Put],
) -> None:
    """Add objects to a configuration.

    Raises:
        ConfigurationError: If an object cannot be read.
    """
    for put in puts:
        entry = kinds.find(put.kind).parse(put.body)
        newer.objects_of_kind(put.kind)[entry.name] = entry


async def read_head(
    objects: object_store.ObjectStore,
) -> stored_object.StoredObject | None:
    """Return the stored head.

    Raises:
        PlatformUnavailableError: If the platform does not answer.
    """
    return await objects.read(HEAD_KEY)


def decode_head(held: stored_object.StoredObject | None) -> Head:
    """Return the head; that of no snapshot if there is none."""
    if held is None or held.body is None:
        return Head()
    return HEAD_ADAPTER.validate_json(held.body)


async def read(
    objects: object_store.ObjectStore,
) -> configuration.Configuration | None:
    """Return the configuration of the newest snapshot, if there is one.

    Raises:
        PlatformUnavailableError: If the platform does not answer, or an
            object was deleted meanwhile.
        ConfigurationError: If an object cannot be read.
    """
    head = decode_head(await read_head(objects))
    if not head.revision:
        return None
    newer = configuration.Configuration(revision=head.revision)
    for number in range(head.parts):
        held = await objects.read(part_key(head.revision, number))
        if held is None or held.body is None:
            raise errors.PlatformUnavailableError('snapshot moved on')
        add_objects(newer, PART_ADAPTER.validate_json(held.body))
    return newer


async def write(
    objects: object_store.ObjectStore,
    current: configuration.Configuration,
) -> Head:
    """Write a snapshot and delete what it makes needless.

    Returns:
        The new head.

    Raises:
        VersionConflictError: If another daemon wrote one meanwhile.
        PlatformUnavailableError: If the platform does not answer.
    """
    revision = current.revision
    parts = encode_parts(current)
    held = await read_head(objects)
    before = decode_head(held)
    for number, body in enumerate(parts):
        await put_part(objects, part_key(revision, number), body)
    head = Head(
        revision=revision,
        parts=len(parts),
        earlier=before.revision,
        earlier_parts=before.parts,
        oldest=max(before.oldest, revision - KEPT_CHANGES),
    )
    version = held.version if held else 0
    await objects.write(HEAD_KEY, orjson.dumps(head), version)
    await delete_all(objects, obsolete_keys(before, head))
    return head


async def put_part(
    objects: object_store.ObjectStore, key: str, body: bytes
) -> None:
    """Write an object, over one left by an attempt that failed.

    Raises:
        PlatformError: If the platform does not answer.
    """
    held = await objects.read(key)
    await objects.write(key, body, held.version if held else 0)


def obsolete_keys(before: Head, head: Head) -> typing.Iterator[str]:
    """Return the keys that a new snapshot makes needless."""
    old_parts = (
        part_key(before.earlier, number)
        for number in range(before.earlier_parts)
    )
    old_changes = (
        change_log.key_of(revision)
        for revision in range(before.oldest, head.oldest)
    )
    return itertools.chain(old_parts, old_changes)


async def delete_all(
    objects: object_store.ObjectStore,
    keys: typing.Iterable[str],
) -> None:
    """Delete objects.

    Raises:
        PlatformUnavailableError: If the platform does not answer.
    """
    for key in keys:
        held = await objects.read(key)
        if held is not None:
            await objects.delete(key, held.version)
