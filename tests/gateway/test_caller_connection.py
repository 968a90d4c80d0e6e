"""Tests of limits on requests, forwarded headers and route lookup."""

import asyncio
import typing
import unittest

import hypothesis
from hypothesis import strategies

from sapphirepaddle.gateway import (
    caller_connection,
    head,
    headers,
    http_server,
    route_table,
)
from sapphirepaddle.objects import route
from sapphirepaddle.settings import base, entry

LIMITS = entry.CallerLimits(
    head_bytes=2048,
    head_seconds=0.4,
    body_bytes=1_000_000,
)


async def answer_ok(scope, receive, send) -> None:
    """Answer every request without reading its body (ASGI)."""
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b'ok'})


class TestPipelinedRequests(unittest.IsolatedAsyncioTestCase):
    """A caller that leaves must be noticed behind requests that wait.

    Targets went on working, as reading paused behind the second request.
    """

    async def asyncSetUp(self) -> None:
        """Start a server whose application records what is cancelled."""
        self.release = asyncio.Event()
        self.started: list[str] = []
        self.cancelled: list[str] = []
        listening_socket = http_server.listen(base.Listener(port=0))
        self.server = http_server.create(
            self.answer_when_released,
            caller_connection.create_protocol_class(LIMITS),
        )
        server_task = asyncio.create_task(
            http_server.run(self.server, listening_socket)
        )
        self.addAsyncCleanup(http_server.stop, self.server, server_task)
        self.addCleanup(self.release.set)
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', listening_socket.getsockname()[1]
        )
        self.addCleanup(self.writer.close)

    async def answer_when_released(self, scope, receive, send) -> None:
        """Answer with the path after `release` is set (ASGI)."""
        scope[caller_connection.CANCELLER_KEY].task = asyncio.current_task()
        self.started.append(scope['path'])
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.append(scope['path'])
            return
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': []}
        )
        body = scope['path'].encode()
        await send({'type': 'http.response.body', 'body': body})

    def send_requests(self, count: int) -> None:
        """Send requests, each with its number for the path."""
        for number in range(count):
            self.writer.write(b'GET /%d HTTP/1.1\r\nHost: x\r\n\r\n' % number)

    async def wait_until(self, condition: typing.Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_running_request_of_a_caller_that_left_is_cancelled(
        self,
    ) -> None:
        for count in (2, 24, 400):
            with self.subTest(count=count):
                self.send_requests(count)
                await self.wait_until(lambda: self.started == ['/0'])
                self.writer.close()
                await self.wait_until(lambda: self.cancelled == ['/0'])
                self.assertEqual(self.started, ['/0'])
            self.started.clear()
            self.cancelled.clear()
            port = self.server.servers[0].sockets[0].getsockname()[1]
            self.reader, self.writer = await asyncio.open_connection(
                '127.0.0.1', port
            )

    async def test_all_that_were_read_are_answered_in_order(self) -> None:
        self.send_requests(400)
        await self.wait_until(lambda: bool(self.started))
        await asyncio.sleep(0.2)
        self.release.set()
        answers = await self.reader.read()
        count = caller_connection.MAX_PIPELINED_REQUESTS + 1
        self.assertEqual(self.started, [f'/{one}' for one in range(count)])
        self.assertEqual(answers.count(b'HTTP/1.1 200'), count)
        self.assertEqual(answers.count(b'connection: close'), 1)


class TestBounds(unittest.IsolatedAsyncioTestCase):
    """A caller must not stop the server or keep a connection occupied.

    Heads are oversized, slow or random, and bodies arrive after the answer.
    The limits are small.
    """

    async def asyncSetUp(self) -> None:
        """Start the server."""
        listening_socket = http_server.listen(base.Listener(port=0))
        self.port = listening_socket.getsockname()[1]
        self.server = http_server.create(
            answer_ok,
            caller_connection.create_protocol_class(LIMITS),
        )
        self.server_task = asyncio.create_task(
            http_server.run(self.server, listening_socket),
        )

    async def asyncTearDown(self) -> None:
        """Stop the server."""
        await http_server.stop(self.server, self.server_task)

    async def exchange(self, *parts: bytes, pause: float = 0) -> bytes:
        """Send parts; return what is received until the connection ends."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause)
        try:
            async with asyncio.timeout(2):
                return await reader.read()
        except TimeoutError:
            return b'still open'
        finally:
            writer.close()

    async def test_oversized_head(self) -> None:
        """An oversized head is answered by 431 and the connection closed."""
        request_bytes = (
            b'GET / HTTP/1.1\r\nHost: x\r\n' + b'X-A: bbbb\r\n' * 400
        )
        response = await self.exchange(request_bytes)
        self.assertTrue(response.startswith(b'HTTP/1.1 431'), response)
        self.assertIn(b'x-run: not run', response)

    async def test_slow_head(self) -> None:
        """An incomplete head is answered by 408, also after a request."""
        response = await self.exchange(b'GET / HTTP/1.1\r\nHost: x\r\n')
        self.assertTrue(response.startswith(b'HTTP/1.1 408'), response)
        complete_request = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
        response = await self.exchange(complete_request, b'GET / HT', pause=0.1)
        self.assertIn(b'408', response)

    async def test_valid_requests(self) -> None:
        """Requests within the limits are answered, also pipelined ones."""
        request_bytes = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
        closing_request = (
            b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        )
        responses = await self.exchange(
            request_bytes + request_bytes, closing_request, pause=0.05
        )
        self.assertEqual(responses.count(b'200 OK'), 3)

    async def test_unread_body(self) -> None:
        """A request answered before its body is read gets its answer."""
        size = 1_000_000
        request_head_text = (
            f'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n'
        )
        closing_request = (
            b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        )
        parts = [b'x' * 100_000] * 10
        responses = await self.exchange(
            request_head_text.encode(), *parts, closing_request, pause=0.01
        )
        self.assertEqual(responses.count(b'200 OK'), 2, responses)

    async def test_endless_unread_body(self) -> None:
        """The connection is closed if an unread body exceeds the limit."""
        head_bytes = (
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        chunk = b'%x\r\n%b\r\n' % (60_000, b'x' * 60_000)
        try:
            response = await self.exchange(
                head_bytes, *[chunk] * 40, pause=0.01
            )
        except ConnectionError:
            return
        self.assertNotEqual(response, b'still open')

    async def test_random_heads(self) -> None:
        """Random bytes never stop the server."""
        generated: list[bytes] = []

        @hypothesis.given(strategies.binary(max_size=60))
        @hypothesis.settings(max_examples=60, database=None)
        def collect(raw: bytes) -> None:
            generated.append(raw)

        collect()
        await asyncio.gather(
            *(
                self.exchange(raw, b'GET / HTTP/1.1\r\n' + raw + b'\r\n\r\n')
                for raw in generated
            ),
        )
        closing_request = (
            b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        )
        self.assertIn(b'200 OK', await self.exchange(closing_request))


def request_head(
    *pairs: tuple[bytes, bytes],
    path: str = '/x',
) -> head.Head:
    """Return the head of a request."""
    scope: dict[str, typing.Any] = {
        'method': 'GET',
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'client': ('10.0.0.1', 1),
        'headers': list(pairs),
    }
    return head.read(scope)


class TestHeaders(unittest.TestCase):
    """Keys and hop-by-hop headers must not be forwarded.

    Paths that a target could normalize would bypass the lookup of the route.
    """

    def test_request_headers(self) -> None:
        """Keys and hop-by-hop headers are removed, repeated ones joined."""
        forwarded = headers.filter_request_headers(
            request_head(
                (b'authorization', b'Bearer k'),
                (b'x-api-key', b'k'),
                (b'connection', b'keep-alive, X-Hop'),
                (b'x-hop', b'1'),
                (b'te', b'trailers'),
                (b'accept', b'a'),
                (b'accept', b'b'),
                (b'cookie', b'c=1'),
                (b'cookie', b'd=2'),
                (b'x-forwarded-for', b'1.1.1.1'),
            ),
        )
        self.assertEqual(
            forwarded,
            {
                'accept': 'a, b',
                'cookie': 'c=1; d=2',
                'X-Forwarded-For': '1.1.1.1, 10.0.0.1',
                'Via': '1.1 sapphirepaddle',
            },
        )

    def test_answer_headers(self) -> None:
        """Hop-by-hop headers are removed, repeated ones stay separate."""
        forwarded = headers.filter_answer_headers(
            [
                ('Set-Cookie', 'a=1'),
                ('Set-Cookie', 'b=2'),
                ('Connection', 'close'),
                ('Transfer-Encoding', 'chunked'),
                ('Content-Encoding', 'gzip'),
            ],
        )
        self.assertEqual(
            forwarded,
            [
                (b'set-cookie', b'a=1'),
                (b'set-cookie', b'b=2'),
                (b'content-encoding', b'gzip'),
                (b'via', b'1.1 sapphirepaddle'),
            ],
        )

    def test_dot_segments(self) -> None:
        """Paths that a target could normalize to another one are detected."""
        for path in ('/a/../b', '/./a', '//a', '/a\\..\\b', '/a/..'):
            self.assertTrue(request_head(path=path).has_dot_segment(), path)
        for path in ('/a/b', '/a..b', '/a.b/c', '/...'):
            self.assertFalse(request_head(path=path).has_dot_segment(), path)


class TestRoutes(unittest.TestCase):
    """A request must not run under the rules of another route.

    This would happen if a prefix matched a part of a path segment, or a shorter
    prefix won over a longer one.
    """

    def test_longest_whole_segments(self) -> None:
        """The longest matching prefix of whole path segments wins."""
        table = route_table.RouteTable(
            route.Route(
                name=prefix.strip('/') or 'root', prefix=prefix, service='s'
            )
            for prefix in ('/', '/a', '/a/b/')
        )
        matched_names = {
            path: getattr(table.find(path), 'name', None)
            for path in ('/a', '/a/x', '/a/b', '/a/b/c', '/ab', '/')
        }
        self.assertEqual(
            matched_names,
            {
                '/a': 'a',
                '/a/x': 'a',
                '/a/b': 'a/b',
                '/a/b/c': 'a/b',
                '/ab': 'root',
                '/': 'root',
            },
        )


if __name__ == '__main__':
    unittest.main()
