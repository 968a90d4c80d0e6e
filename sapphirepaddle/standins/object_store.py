"""Stand-in for the platform's object store, with fault injection."""

import asyncio
import dataclasses
import typing
from urllib import parse as urls

import orjson

from sapphirepaddle import errors
from sapphirepaddle.directory import memory_source, source
from sapphirepaddle.gateway import answer
from sapphirepaddle.proxy import handler, request

OK: typing.Final = 200
NOT_FOUND: typing.Final = 404
CONFLICT: typing.Final = 409
GONE: typing.Final = 410
UNAVAILABLE: typing.Final = 503
PAGE_OBJECTS: typing.Final = 500
MILLISECONDS_PER_SECOND: typing.Final = 1000
NO_ANSWER_SECONDS: typing.Final = 3600
# Parts of a path up to the kind, with the empty one before the first slash.
PATH_PARTS: typing.Final = 4

Fields = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults of the store stand-in.

    Attributes:
        delay_seconds: Added latency of each call.
        is_refusing: Whether every call gets status 503.
        is_silent: Whether no call gets a response.
        loses_answers: Whether writes take effect but get no response.
    """

    delay_seconds: float = 0
    is_refusing: bool = False
    is_silent: bool = False
    loses_answers: bool = False


class ObjectStoreStandin(handler.Handler):
    """Serves the object API of the store from memory.

    Attributes:
        source: Objects by kind, in memory.
        faults: Faults in force.
        page_objects: Largest number of objects in one page of a list.
    """

    def __init__(self, memory_objects: memory_source.MemorySource) -> None:
        """Initialize the store without faults."""
        self.source = memory_objects
        self.faults = StoreFaults()
        self.page_objects = PAGE_OBJECTS

    async def handle(self, received: request.Request) -> answer.Answer:
        """Handle one call of the object API."""
        await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.is_silent:
            await asyncio.sleep(NO_ANSWER_SECONDS)
        answered = await self.execute(received)
        if self.source.served_era:
            era = b'%d' % self.source.served_era
            answered.headers.append((b'Store-Era', era))
        return answered

    async def execute(self, received: request.Request) -> answer.Answer:
        """Execute one call of the object API."""
        if self.faults.is_refusing:
            return json_answer(UNAVAILABLE, {})
        parts = received.path.split('/')
        if len(parts) < PATH_PARTS:
            return json_answer(NOT_FOUND, {})
        kind = parts[PATH_PARTS - 1]
        name = '/'.join(parts[PATH_PARTS:])
        if received.method == b'GET':
            return await self.read(kind, parse_query(received))
        status = await self.change(kind, urls.unquote(name), received)
        if self.faults.loses_answers:
            await asyncio.sleep(NO_ANSWER_SECONDS)
        return json_answer(status, {})

    async def read(self, kind: str, query: dict[str, str]) -> answer.Answer:
        """Return one page of a list, or the changes after a revision."""
        if 'watch' in query:
            return await self.watch(kind, query)
        read_result = await self.source.serve_list(kind, accepts_stale(query))
        after = query.get('after', '')
        remaining = sorted(
            (entry for entry in read_result.entries if entry.name > after),
            key=lambda entry: entry.name,
        )
        page = remaining[: self.page_objects]
        return json_answer(
            OK,
            {
                'items': [encode_object(entry) for entry in page],
                'truncated': len(remaining) > len(page),
                'currentRev': read_result.revision.number,
            },
        )

    async def watch(self, kind: str, query: dict[str, str]) -> answer.Answer:
        """Return the changes after a revision; wait if there are none yet.

        The status is 410 if the revision is no longer in the history.
        """
        seconds = int(query['waitMs']) / MILLISECONDS_PER_SECOND
        try:
            read_result = await self.source.serve_watch(
                kind, int(query['watch']), seconds, accepts_stale(query)
            )
        except errors.HistoryLostError:
            return json_answer(GONE, {})
        events = [
            {'object': encode_object(entry), 'deleted': entry.content is None}
            for entry in read_result.entries
        ]
        return json_answer(
            OK, {'events': events, 'currentRev': read_result.revision.number}
        )

    async def change(
        self,
        kind: str,
        name: str,
        received: request.Request,
    ) -> int:
        """Create, replace or delete an object and return the HTTP status."""
        objects_by_name = self.source.objects.setdefault(kind, {})
        if received.method == b'DELETE':
            exists = name in objects_by_name
            await self.source.apply_change(kind, source.Entry(name, None))
            return OK if exists else NOT_FOUND
        fields = orjson.loads(received.body)
        object_name = fields['metadata']['name']
        if received.method == b'POST' and object_name in objects_by_name:
            return CONFLICT
        await self.source.apply_change(
            kind, source.Entry(object_name, fields['spec'])
        )
        return OK

    def refuse(self, status: int, detail: str) -> answer.Answer:
        """Return the response to a malformed request."""
        return answer.Answer(status, [], detail.encode())


def accepts_stale(query: dict[str, str]) -> bool:
    """Return whether the caller accepts a stale result."""
    return query.get('allowStale') == '1'


def parse_query(received: request.Request) -> dict[str, str]:
    """Return the query parameters of a call by name."""
    query = received.target.partition(b'?')[2].decode()
    return dict(urls.parse_qsl(query))


def encode_object(entry: source.Entry) -> Fields:
    """Return the JSON representation of an object."""
    return {'metadata': {'name': entry.name}, 'spec': entry.content}


def json_answer(status: int, fields: Fields) -> answer.Answer:
    """Return a response with a JSON body."""
    headers = [(b'Content-Type', b'application/json')]
    return answer.Answer(status, headers, orjson.dumps(fields))
