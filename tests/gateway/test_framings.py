"""Tests of messages whose end two readers could place differently."""

import asyncio
import unittest

from sapphirepaddle import errors
from sapphirepaddle.gateway import (
    attempt,
    body,
    caller_connection,
    head,
    http_server,
)
from sapphirepaddle.settings import base, entry
from tests.gateway import test_target_client
from tests.support import framings

LIMITS = entry.CallerLimits(head_seconds=0.4, body_seconds=0.4)
INNER = b'POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody' % (
    framings.INNER_PATH.encode()
)


class TestRequestFramings(unittest.IsolatedAsyncioTestCase):
    """Nothing inside a message may run as another one.

    The text behind chunks that were encoded once more was run.
    """

    async def asyncSetUp(self) -> None:
        """Start a server whose application reads bodies as the daemon does."""
        self.started: list[str] = []
        listening_socket = http_server.listen(base.Listener(port=0))
        self.port = listening_socket.getsockname()[1]
        server = http_server.create(
            self.answer, caller_connection.create_protocol_class(LIMITS)
        )
        task = asyncio.create_task(http_server.run(server, listening_socket))
        self.addAsyncCleanup(http_server.stop, server, task)

    async def answer(self, scope, receive, send) -> None:
        """Record the path of a request and answer it (ASGI)."""
        self.started.append(scope['path'])
        status = 200
        try:
            await body.read(head.read(scope), receive, LIMITS)
        except errors.RefusedError as error:
            status = error.code.http_status
        await send(
            {'type': 'http.response.start', 'status': status, 'headers': []}
        )
        await send({'type': 'http.response.body', 'body': b''})

    async def exchange(self, raw: bytes) -> bytes:
        """Send bytes; return all answers until the connection closes."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(raw)
        async with asyncio.timeout(10):
            try:
                return await reader.read()
            except ConnectionError:
                return b''
            finally:
                writer.close()

    async def test_no_reading_lets_an_inner_request_run(self) -> None:
        for name, raw in framings.messages(b'Host: x', INNER):
            self.started.clear()
            with self.subTest(name):
                await self.exchange(raw)
                self.assertNotIn(framings.INNER_PATH, self.started)

    async def test_unknown_coding_is_stated(self) -> None:
        raw = (
            b'POST /x HTTP/1.1\r\nHost: x\r\n'
            b'Transfer-Encoding: gzip, chunked\r\n\r\n' + framings.CHUNKS
        )
        answers = await self.exchange(raw + INNER)
        self.assertTrue(answers.startswith(b'HTTP/1.1 501'))
        self.assertIn(b'connection: close', answers.lower())


class TestAnswerFramings(test_target_client.TargetClientCase):
    """What a target sends behind an answer must not reach another caller."""

    async def test_no_forged_answer(self) -> None:
        for name in framings.ANSWERS:
            with self.subTest(name):

                async def script(
                    identifier: str, writer: asyncio.StreamWriter
                ) -> None:
                    following = f'r{int(identifier[1:]) + 1}'
                    writer.write(
                        framings.odd_answer(name, identifier, following)
                    )

                await self.start_raw_target(script)
                for _ in range(3):
                    try:
                        _, received = await self.send()
                    except attempt.AttemptFailedError:
                        continue
                    self.assertNotIn(b'forged', received)
