"""Tests of the object store client against a stand-in server."""

import asyncio
import contextlib
import itertools
import threading
import typing
import unittest
from collections import abc
from unittest import mock

from sapphirepaddle import errors
from sapphirepaddle.directory import memory_source, revisions, source
from sapphirepaddle.edge import listener
from sapphirepaddle.platform import object_parser, object_source
from sapphirepaddle.proxy import http_client, http_message
from sapphirepaddle.settings import edge
from sapphirepaddle.standins import object_store
from tests.support import edge_daemon_case

PAGE_OBJECTS = 2
Change = abc.Callable[[], abc.Awaitable[typing.Any]]


class TestObjectSource(unittest.IsolatedAsyncioTestCase):
    """Every failure of the store must show as SourceError.

    The stand-in refuses calls, does not answer, loses answers or history.
    """

    async def asyncSetUp(self) -> None:
        """Start the stand-in with small pages."""
        port = edge_daemon_case.free_port()
        self.memory = memory_source.MemorySource()
        self.store = object_store.ObjectStoreStandin(self.memory)
        self.store.page_objects = PAGE_OBJECTS
        self.listener = listener.Listener(
            edge.Address('127.0.0.1', port),
            self.store,
        )
        await self.listener.open()
        self.addAsyncCleanup(self.listener.shut_down)
        self.source = object_source.ObjectSource(
            http_client.HttpClient('127.0.0.1', port),
        )

    async def put(self, name: str, **content: int) -> None:
        """Write an object."""
        await self.source.put('kind', source.Entry(name, content))

    async def test_list_is_read_page_by_page(self) -> None:
        for name in 'abcde':
            await self.put(name, number=1)
        read_result = await self.source.list_all('kind', is_stale_allowed=True)
        self.assertEqual(
            [entry.name for entry in read_result.entries], [*'abcde']
        )
        self.assertEqual(read_result.revision, self.memory.revision)

    async def list_with_change(self, change: Change) -> source.ReadResult:
        """Read a list of five objects; one changes after the first page."""
        for name in 'abcde':
            await self.put(name, number=1)
        call = self.source.call
        calls = itertools.count()

        async def call_and_change(
            *args: object, **options: object
        ) -> source.Content:
            page = await call(*args, **options)
            if next(calls) == 0:
                await change()
            return page

        with mock.patch.object(self.source, 'call', call_and_change):
            return await self.source.list_all('kind', is_stale_allowed=False)

    async def changes_since(
        self, read_result: source.ReadResult
    ) -> list[source.Entry]:
        """Return the changes that a watch from a list finds."""
        watched = await self.source.watch(
            'kind', read_result.revision, 0.1, is_stale_allowed=False
        )
        return watched.entries

    async def test_change_between_pages_is_not_missed(self) -> None:
        # A daemon that restarted sent requests to a target that had left.
        read_result = await self.list_with_change(
            lambda: self.source.delete('kind', 'a')
        )
        self.assertEqual(
            await self.changes_since(read_result), [source.Entry('a', None)]
        )
        self.assertEqual(read_result.newest_revision, self.memory.revision)

    async def test_last_object_of_a_page_is_deleted(self) -> None:
        read_result = await self.list_with_change(
            lambda: self.source.delete('kind', 'b')
        )
        self.assertEqual(
            [entry.name for entry in read_result.entries], [*'abcde']
        )
        self.assertEqual(
            await self.changes_since(read_result), [source.Entry('b', None)]
        )

    async def test_later_page_of_an_older_copy(self) -> None:
        numbers = iter((9, 7, 8))
        pages = [
            {
                'items': [{'metadata': {'name': name}, 'spec': {}}],
                'truncated': name != 'c',
                'currentRev': next(numbers),
            }
            for name in 'abc'
        ]
        with mock.patch.object(
            self.source, 'call', mock.AsyncMock(side_effect=pages)
        ):
            read_result = await self.source.list_all(
                'kind', is_stale_allowed=True
            )
        self.assertEqual(
            (read_result.revision, read_result.newest_revision),
            (revisions.Revision(0, 7), revisions.Revision(0, 9)),
        )

    async def test_page_without_names_does_not_end_a_list(self) -> None:
        # The targets of the pages that follow would count as gone.
        page = {'items': [{'spec': {}}], 'truncated': True, 'currentRev': 9}
        with (
            mock.patch.object(
                self.source, 'call', mock.AsyncMock(return_value=page)
            ),
            self.assertRaises(errors.SourceError),
        ):
            await self.source.list_all('kind', is_stale_allowed=False)

    async def test_put_replaces(self) -> None:
        await self.put('a', number=1)
        await self.put('a', number=2)
        self.assertEqual(self.memory.objects['kind']['a'], {'number': 2})

    async def test_large_answer_is_decoded_beside_the_event_loop(self) -> None:
        # Requests waited for seconds while an odd item was split.
        started = asyncio.Event()
        finished = threading.Event()
        loop = asyncio.get_running_loop()

        def parse(_body: bytes) -> dict[str, bool]:
            loop.call_soon_threadsafe(started.set)
            return {'has_loop_run': finished.wait(timeout=10)}

        self.enterContext(mock.patch.object(object_parser, 'parse', parse))
        body = b' ' * (object_source.MAX_INLINE_BYTES + 1)
        decoding = asyncio.create_task(object_source.decode(body))
        await started.wait()
        finished.set()
        self.assertEqual(await decoding, {'has_loop_run': True})

    async def test_each_answer_states_the_era(self) -> None:
        """A status that refuses the call, and a write, state it as well."""
        calls = (
            lambda: self.source.list_all('kind', is_stale_allowed=True),
            lambda: self.source.watch(
                'kind', revisions.Revision(9, 99), 0, is_stale_allowed=False
            ),
            lambda: self.source.delete('kind', 'missing'),
            lambda: self.put('a', number=1),
            lambda: self.put('a', number=2),
        )
        for era, call in enumerate(calls, 2):
            self.memory.served_era = era
            with contextlib.suppress(errors.HistoryLostError):
                await call()
            self.assertEqual(self.source.era.number, era)
        self.store.faults.is_refusing = True
        self.memory.served_era = 20
        with self.assertRaises(errors.SourceError):
            await self.put('b', number=1)
        self.assertEqual(self.source.era.number, 20)

    async def test_answer_of_an_older_era_is_not_used(self) -> None:
        self.memory.served_era = 1
        await self.put('a', number=1)
        self.source.era.learn(2, 'peer')
        calls = (
            lambda: self.source.list_all('kind', is_stale_allowed=False),
            lambda: self.source.watch(
                'kind', revisions.Revision(2, 1), 0, is_stale_allowed=True
            ),
            lambda: self.source.watch(
                'kind', revisions.Revision(2, 99), 0, is_stale_allowed=True
            ),
            lambda: self.put('a', number=2),
        )
        for call in calls:
            with self.assertRaises(errors.OutdatedAnswerError):
                await call()
        self.assertEqual(self.source.era.number, 2)

    async def test_number_given_out_again_is_no_position(self) -> None:
        # The changes behind such a number were missed for good.
        self.memory.served_era = 1
        await self.put('a', number=1)
        read_result = await self.source.list_all('kind', is_stale_allowed=False)
        await self.memory.return_from_copy(1)
        for name in 'bcd':
            await self.put(name, number=1)
        with self.assertRaises(errors.HistoryLostError):
            await self.changes_since(read_result)

    async def test_return_between_the_pages_of_a_list(self) -> None:
        self.memory.served_era = 1
        await self.put('z', number=1)
        with self.assertRaises(errors.HistoryLostError):
            await self.list_with_change(
                lambda: self.memory.return_from_copy(self.memory.number - 1)
            )

    async def test_malformed_era_changes_nothing(self) -> None:
        for text in (b'', b'-1', b'2 3', b'0x3', b'1e3', b'9' * 40, b'\xb2'):
            self.assertIsNone(self.read_era((b'Store-Era', text)))
        twice = [(b'Store-Era', b'1'), (b'store-era', b'2')]
        self.assertIsNone(self.read_era(*twice))
        self.assertEqual(self.read_era((b'STORE-ERA', b'12')), 12)

    def read_era(self, *headers: tuple[bytes, bytes]) -> int | None:
        """Return the era that an answer with some headers states."""
        return object_source.read_era(
            http_message.ReceivedAnswer(
                status=200, headers=[*headers], body=b'', is_reusable=True
            )
        )

    async def test_answer_without_a_revision_is_an_error(self) -> None:
        # Any other error would end the watch.
        for revision in ({}, {'currentRev': None}, {'currentRev': [1]}):
            answer = {'items': [], 'events': []} | revision
            parse = mock.Mock(return_value=answer)
            with (
                self.subTest(revision=revision),
                mock.patch.object(object_parser, 'parse', parse),
                self.assertRaises(errors.SourceError),
            ):
                await self.source.list_all('kind', is_stale_allowed=False)
        answer = {'events': [], 'currentRev': 'text'}
        parse = mock.Mock(return_value=answer)
        with (
            mock.patch.object(object_parser, 'parse', parse),
            self.assertRaises(errors.SourceError),
        ):
            await self.source.watch(
                'kind', revisions.Revision(0, 1), 0, is_stale_allowed=False
            )

    async def test_names_are_quoted(self) -> None:
        await self.put('a/b c', number=1)
        await self.put('a/b c', number=2)
        await self.source.delete('kind', 'a/b c')
        self.assertEqual(self.memory.objects['kind'], {})

    async def test_deletion_of_a_missing_object_succeeds(self) -> None:
        await self.source.delete('kind', 'a')

    async def test_watch_returns_changes_and_deletions(self) -> None:
        await self.put('a', number=1)
        revision = self.memory.revision
        await self.put('b', number=2)
        await self.source.delete('kind', 'a')
        read_result = await self.source.watch('kind', revision, 0.1, False)
        self.assertEqual(
            read_result.entries,
            [source.Entry('b', {'number': 2}), source.Entry('a', None)],
        )

    async def test_watch_without_changes(self) -> None:
        read_result = await self.source.watch(
            'kind', self.memory.revision, 0.05, False
        )
        self.assertEqual(read_result.entries, [])

    async def test_refusals_are_errors(self) -> None:
        self.store.faults.is_refusing = True
        with self.assertRaises(errors.SourceError):
            await self.source.list_all('kind', is_stale_allowed=False)

    async def test_history_lost(self) -> None:
        await self.put('a', number=1)
        self.memory.drop_history()
        with self.assertRaises(errors.HistoryLostError):
            await self.source.watch(
                'kind', revisions.Revision(0, 1), 0.1, False
            )

    async def test_timeout_is_an_error(self) -> None:
        self.store.faults.is_silent = True
        with self.assertRaises(errors.SourceError):
            await self.source.watch('kind', revisions.Revision(0, 8), 0, False)

    async def test_lost_answer_of_a_completed_write_is_an_error(
        self,
    ) -> None:
        self.store.faults.loses_answers = True
        with self.assertRaises(errors.SourceError):
            await self.put('a', number=1)
        self.assertIn('a', self.memory.objects['kind'])

    async def test_refused_connection_is_an_error(self) -> None:
        unreachable_source = object_source.ObjectSource(
            http_client.HttpClient('127.0.0.1', edge_daemon_case.free_port()),
        )
        with self.assertRaises(errors.SourceError):
            await unreachable_source.list_all('kind', is_stale_allowed=False)
