"""Bounds on what callers send."""

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
    """Answer every request."""
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b'ok'})


class TestBounds(unittest.IsolatedAsyncioTestCase):
    """A listener with small bounds."""

    async def asyncSetUp(self) -> None:
        """Start the listener."""
        opened = http_server.listen(base.Listener(port=0))
        self.port = opened.getsockname()[1]
        self.server = http_server.create(
            answer_ok,
            caller_connection.create_protocol_class(LIMITS),
        )
        self.serving = asyncio.create_task(
            http_server.run(self.server, opened),
        )

    async def asyncTearDown(self) -> None:
        """Stop the listener."""
        await http_server.stop(self.server, self.serving)

    async def exchange(self, *parts: bytes, pause: float = 0) -> bytes:
        """Send parts and return all that comes back until the end."""
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

    async def test_large_head(self) -> None:
        """A head over the bound gets 431 and the end of the connection."""
        raw = b'GET / HTTP/1.1\r\nHost: x\r\n' + b'X-A: bbbb\r\n' * 400
        found = await self.exchange(raw)
        self.assertTrue(found.startswith(b'HTTP/1.1 431'), found)
        self.assertIn(b'x-run: not run', found)

    async def test_slow_head(self) -> None:
        """A head that does not end gets 408, also a later one."""
        found = await self.exchange(b'GET / HTTP/1.1\r\nHost: x\r\n')
        self.assertTrue(found.startswith(b'HTTP/1.1 408'), found)
        whole = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
        found = await self.exchange(whole, b'GET / HT', pause=0.1)
        self.assertIn(b'408', found)

    async def test_whole_requests(self) -> None:
        """Requests within the bounds are answered, pipelined ones too."""
        whole = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
        last = b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        found = await self.exchange(whole + whole, last, pause=0.05)
        self.assertEqual(found.count(b'200 OK'), 3)

    async def test_unread_body(self) -> None:
        """A request answered before its body was read gets its answer."""
        size = 1_000_000
        raw = f'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n'
        last = b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        parts = [b'x' * 100_000] * 10
        found = await self.exchange(raw.encode(), *parts, last, pause=0.01)
        self.assertEqual(found.count(b'200 OK'), 2, found)

    async def test_endless_unread_body(self) -> None:
        """A body that nobody reads is discarded up to the limit only."""
        raw = (
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        chunk = b'%x\r\n%b\r\n' % (60_000, b'x' * 60_000)
        try:
            found = await self.exchange(raw, *[chunk] * 40, pause=0.01)
        except ConnectionError:
            return
        self.assertNotEqual(found, b'still open')

    async def test_random_heads(self) -> None:
        """Random bytes never end the listener."""
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
        last = b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        self.assertIn(b'200 OK', await self.exchange(last))


def request(
    *given: tuple[bytes, bytes],
    path: str = '/x',
) -> head.Head:
    """Return the head of a request."""
    scope: dict[str, typing.Any] = {
        'method': 'GET',
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'client': ('10.0.0.1', 1),
        'headers': list(given),
    }
    return head.read(scope)


class TestHeaders(unittest.TestCase):
    """Which headers pass."""

    def test_forward(self) -> None:
        """Keys and hop-by-hop headers are left out, lists are joined."""
        passed = headers.filter_request_headers(
            request(
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
            passed,
            {
                'accept': 'a, b',
                'cookie': 'c=1; d=2',
                'X-Forwarded-For': '1.1.1.1, 10.0.0.1',
                'Via': '1.1 sapphirepaddle',
            },
        )

    def test_backward(self) -> None:
        """Hop-by-hop headers are left out, repeated ones stay apart."""
        passed = headers.filter_answer_headers(
            [
                ('Set-Cookie', 'a=1'),
                ('Set-Cookie', 'b=2'),
                ('Connection', 'close'),
                ('Transfer-Encoding', 'chunked'),
                ('Content-Encoding', 'gzip'),
            ],
        )
        self.assertEqual(
            passed,
            [
                (b'set-cookie', b'a=1'),
                (b'set-cookie', b'b=2'),
                (b'content-encoding', b'gzip'),
                (b'via', b'1.1 sapphirepaddle'),
            ],
        )

    def test_dot_segments(self) -> None:
        """Paths that a target could resolve to another one are told."""
        for path in ('/a/../b', '/./a', '//a', '/a\\..\\b', '/a/..'):
            self.assertTrue(request(path=path).has_dot_segment(), path)
        for path in ('/a/b', '/a..b', '/a.b/c', '/...'):
            self.assertFalse(request(path=path).has_dot_segment(), path)


class TestRoutes(unittest.TestCase):
    """Finding a route."""

    def test_longest_whole_segments(self) -> None:
        """The longest prefix of whole segments wins."""
        table = route_table.RouteTable(
            route.Route(
                name=prefix.strip('/') or 'root', prefix=prefix, service='s'
            )
            for prefix in ('/', '/a', '/a/b/')
        )
        found = {
            path: getattr(table.find(path), 'name', None)
            for path in ('/a', '/a/x', '/a/b', '/a/b/c', '/ab', '/')
        }
        self.assertEqual(
            found,
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
