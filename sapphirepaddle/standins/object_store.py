"""A small stand-in of the platform's store, with faults."""

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
SILENCE_SECONDS: typing.Final = 3600
PATH_PARTS: typing.Final = 4

Fields = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """What goes wrong at the store.

    Attributes:
        delay: Seconds before each answer.
        is_refusing: Whether every call is refused.
        is_silent: Whether no call is answered.
        are_answers_lost: Whether writes are done and not answered.
    """

    delay_seconds: float = 0
    is_refusing: bool = False
    is_silent: bool = False
    loses_answers: bool = False


class ObjectStoreStandin(handler.Handler):
    """Answers calls to objects that are held in memory.

    Attributes:
        source: The objects.
        faults: What goes wrong now.
        page_objects: Objects in one part of a list.
    """

    def __init__(self, held: memory_source.MemorySource) -> None:
        """Start without faults."""
        self.source = held
        self.faults = StoreFaults()
        self.page_objects = PAGE_OBJECTS

    async def handle(self, received: request.Request) -> answer.Answer:
        """Answer one call."""
        await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.is_silent:
            await asyncio.sleep(SILENCE_SECONDS)
        if self.faults.is_refusing:
            return render(UNAVAILABLE, {})
        parts = received.path.split('/')
        if len(parts) < PATH_PARTS:
            return render(NOT_FOUND, {})
        kind = parts[PATH_PARTS - 1]
        name = '/'.join(parts[PATH_PARTS:])
        if received.method == b'GET':
            return await self.read(kind, query_of(received))
        status = await self.change(kind, urls.unquote(name), received)
        if self.faults.loses_answers:
            await asyncio.sleep(SILENCE_SECONDS)
        return render(status, {})

    async def read(self, kind: str, query: dict[str, str]) -> answer.Answer:
        """Return a part of a list, or the changes after a revision."""
        if 'watch' in query:
            return await self.watch(kind, query)
        reading = await self.source.list_all(kind, is_stale(query))
        after = query.get('after', '')
        listed = sorted(
            (entry for entry in reading.entries if entry.name > after),
            key=lambda entry: entry.name,
        )
        page = listed[: self.page_objects]
        return render(
            OK,
            {
                'items': [wrap(entry) for entry in page],
                'truncated': len(listed) > len(page),
                'currentRev': reading.revision,
            },
        )

    async def watch(self, kind: str, query: dict[str, str]) -> answer.Answer:
        """Return the changes after a revision."""
        seconds = int(query['waitMs']) / MILLISECONDS_PER_SECOND
        try:
            reading = await self.source.watch(
                kind,
                int(query['watch']),
                seconds,
                is_stale(query),
            )
        except errors.HistoryLostError:
            return render(GONE, {})
        events = [
            {'object': wrap(entry), 'deleted': entry.content is None}
            for entry in reading.entries
        ]
        return render(OK, {'events': events, 'currentRev': reading.revision})

    async def change(
        self,
        kind: str,
        name: str,
        received: request.Request,
    ) -> int:
        """Create, replace or remove an object."""
        held = self.source.objects.setdefault(kind, {})
        if received.method == b'DELETE':
            known = name in held
            await self.source.apply_change(kind, source.Entry(name, None))
            return OK if known else NOT_FOUND
        fields = orjson.loads(received.body)
        own = fields['metadata']['name']
        if received.method == b'POST' and own in held:
            return CONFLICT
        await self.source.apply_change(kind, source.Entry(own, fields['spec']))
        return OK

    def refuse(self, status: int, detail: str) -> answer.Answer:
        """Return the answer to what is no proper request."""
        return answer.Answer(status, [], detail.encode())


def is_stale(query: dict[str, str]) -> bool:
    """Tell whether an older answer will do."""
    return query.get('allowStale') == '1'


def query_of(received: request.Request) -> dict[str, str]:
    """Return the query of a call."""
    query = received.target.partition(b'?')[2].decode()
    return dict(urls.parse_qsl(query))


def wrap(entry: source.Entry) -> Fields:
    """Return an object as it is served."""
    return {'metadata': {'name': entry.name}, 'spec': entry.content}


def render(status: int, fields: Fields) -> answer.Answer:
    """Return an answer with a JSON body."""
    headers = [(b'Content-Type', b'application/json')]
    return answer.Answer(status, headers, orjson.dumps(fields))
