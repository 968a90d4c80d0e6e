"""Client of the platform's object store."""

import asyncio
import re
import typing
from collections import abc
from urllib import parse as urls

import orjson

from sapphirepaddle import errors
from sapphirepaddle.directory import revisions, source
from sapphirepaddle.platform import names, object_parser
from sapphirepaddle.proxy import http_client, http_message
from sapphirepaddle.telemetry import logs

MILLISECONDS_PER_SECOND: typing.Final = 1000
CALL_TIMEOUT_SECONDS: typing.Final = 1.5
"""Timeout of a call; the store normally answers in milliseconds."""
LIST_TIMEOUT_SECONDS: typing.Final = 2.5
"""Timeout of each page of a list; a page has up to one megabyte, which takes
1.6 s on a link of 5 Mbit/s."""
WATCH_GRACE_SECONDS: typing.Final = 1.0
"""Extra time for the answer of a watch beyond its requested wait."""
MAX_INLINE_BYTES: typing.Final = 65536
"""Size of an answer above which it is decoded in a thread."""
REVISION_KEY: typing.Final = 'currentRev'
ERA_HEADER: typing.Final = b'store-era'
ERA: typing.Final = re.compile(b'[0-9]{1,9}')
HTTP_OK: typing.Final = 200
HTTP_NOT_FOUND: typing.Final = 404
HTTP_CONFLICT: typing.Final = 409
HTTP_GONE: typing.Final = 410


class ObjectSource(source.Source):
    """Source of objects in the platform's object store.

    Attributes:
        http_client: Client that makes the calls.
        logger: Log of items that have no name.
    """

    def __init__(self, client: http_client.HttpClient) -> None:
        """Initialize with an HTTP client for the store's address."""
        super().__init__()
        self.http_client = client
        self.logger = logs.get_logger('source')

    async def list_all(
        self,
        kind: str,
        is_stale_allowed: bool,
    ) -> source.ReadResult:
        """Return all objects of a kind, read page by page.

        Pages may reflect different revisions: objects change between them, and
        stale pages may come from different copies.

        Raises:
            SourceError: If a page that is not the last one names no object,
                so that what follows it cannot be read.
            HistoryLostError: If the store returned from an older copy between
                two pages.
        """
        query = stale_query(is_stale_allowed)
        entries: list[source.Entry] = []
        page_revisions: list[revisions.Revision] = []
        while True:
            path = object_path(kind, query=query)
            answer = await self.call(
                'GET', path, timeout_seconds=LIST_TIMEOUT_SECONDS
            )
            page = self.read_entries(
                answer.get('items') or (), object_parser.read_entry
            )
            entries.extend(page)
            page_revisions.append(
                self.era.position(read_revision(answer.get(REVISION_KEY)))
            )
            if self.era.has_passed(page_revisions[0]):
                raise errors.HistoryLostError(path)
            if not answer.get('truncated'):
                return source.ReadResult(
                    min(page_revisions), entries, max(page_revisions)
                )
            if not page:
                raise errors.SourceError('page of a list without names')
            query = query | {'after': page[-1].name}

    async def watch(
        self,
        kind: str,
        revision: revisions.Revision,
        seconds: float,
        is_stale_allowed: bool,
    ) -> source.ReadResult:
        """Wait for changes after a revision."""
        query = stale_query(is_stale_allowed) | {
            'watch': str(revision.number),
            'waitMs': str(int(seconds * MILLISECONDS_PER_SECOND)),
        }
        answer = await self.call(
            'GET',
            object_path(kind, query=query),
            timeout_seconds=seconds + WATCH_GRACE_SECONDS,
        )
        if self.era.has_passed(revision):
            raise errors.HistoryLostError(kind)
        return source.ReadResult(
            self.era.position(
                read_revision(answer.get(REVISION_KEY) or revision.number)
            ),
            self.read_entries(
                answer.get('events') or (), object_parser.read_event
            ),
        )

    def read_entries(
        self,
        items: abc.Iterable[object_parser.Fields],
        read: abc.Callable[[object_parser.Fields], source.Entry | None],
    ) -> list[source.Entry]:
        """Return the entries of items; those without a name are logged."""
        entries = [read(fields) for fields in items]
        if None in entries:
            self.logger.warning(
                'items without a name', count=entries.count(None)
            )
        return [entry for entry in entries if entry is not None]

    async def create(self, kind: str, entry: source.Entry) -> bool:
        """Create an object; return whether it did not exist before."""
        try:
            await self.call('POST', object_path(kind), encode_entry(entry))
        except ConflictError:
            return False
        return True

    async def put(self, kind: str, entry: source.Entry) -> None:
        """Create an object, or replace it if it exists."""
        if not await self.create(kind, entry):
            await self.call(
                'PUT', object_path(kind, entry.name), encode_entry(entry)
            )

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; a missing one is no error."""
        await self.call('DELETE', object_path(kind, name))

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> source.Content:
        """Make one call and decode its answer.

        Raises:
            SourceError: If the store does not answer or refuses.
            OutdatedAnswerError: If the answer is of an older era than one
                already known.
            HistoryLostError: If it no longer keeps the requested history.
            ConflictError: If the object to create exists.
        """
        self.calls += 1
        answer = await self.http_client.call(
            method, path, body, timeout_seconds
        )
        era = read_era(answer)
        if era is not None:
            self.era.learn(era, 'source')
        self.check_era(path, era)
        content = await read_content(method, path, answer)
        # A large answer is decoded in a thread, while others arrive.
        self.check_era(path, era)
        return content

    def check_era(self, path: str, era: int | None) -> None:
        """Check that an answer is of the newest era.

        Raises:
            OutdatedAnswerError: If it is of an older one.
        """
        if era is not None and self.era.has_ended(era):
            self.era.record_outdated(path, era)
            raise errors.OutdatedAnswerError(path)


async def read_content(
    method: str, path: str, answer: http_message.ReceivedAnswer
) -> source.Content:
    """Return the decoded body of an answer, or raise what its status says."""
    if answer.status == HTTP_GONE:
        raise errors.HistoryLostError(path)
    if answer.status == HTTP_CONFLICT:
        raise ConflictError(path)
    if answer.status == HTTP_NOT_FOUND and method == 'DELETE':
        return {}
    if answer.status // 100 != HTTP_OK // 100:
        raise errors.SourceError(f'{method} {path}: status {answer.status}')
    return await decode(bytes(answer.body))


class ConflictError(errors.SourceError):
    """The object to create already exists."""


def read_revision(field: typing.Any) -> int:
    """Return the revision of the store that an answer states.

    Raises:
        SourceError: If it is not a number.
    """
    try:
        return int(field)
    except (TypeError, ValueError, OverflowError) as error:
        raise errors.SourceError('answer without a revision') from error


def read_era(answer: http_message.ReceivedAnswer) -> int | None:
    """Return the era that an answer states; None if it states no number."""
    stated = [
        text for name, text in answer.headers if name.lower() == ERA_HEADER
    ]
    if len(stated) != 1 or not ERA.fullmatch(stated[0]):
        return None
    return int(stated[0])


def encode_entry(entry: source.Entry) -> bytes:
    """Return the body of a call that writes an object."""
    return orjson.dumps(
        {'metadata': {'name': entry.name}, 'spec': entry.content}
    )


async def decode(body: bytes) -> source.Content:
    """Decode a body that must be a JSON object; an empty body is {}.

    A large one is decoded in a thread, while the event loop serves requests.

    Raises:
        SourceError: If it is not a JSON object.
    """
    try:
        if len(body) > MAX_INLINE_BYTES:
            return await asyncio.to_thread(object_parser.parse, body)
        return object_parser.parse(body)
    except ValueError as error:
        raise errors.SourceError('answer is not a JSON object') from error


def stale_query(is_stale_allowed: bool) -> dict[str, str]:
    """Return the query parameters that allow a stale answer."""
    return {'allowStale': '1'} if is_stale_allowed else {}


def object_path(
    kind: str,
    name: str = '',
    query: dict[str, str] | None = None,
) -> str:
    """Return the URL path of a kind or of one object."""
    path = names.OBJECTS_PATH + kind
    if name:
        path = f'{path}/{urls.quote(name, safe="")}'
    if query:
        path = f'{path}?{urls.urlencode(query)}'
    return path
