"""Reading request bodies."""

import asyncio
import typing
import unittest

from sapphirepaddle import errors
from sapphirepaddle.gateway import body, head
from sapphirepaddle.settings import entry

LIMITS = entry.CallerLimits(
    buffer_bytes=10,
    body_bytes=100,
    body_seconds=0.05,
)


def post(length: int | None) -> head.Head:
    """Return the head of a request with a body."""
    name, value = b'transfer-encoding', b'chunked'
    if length is not None:
        name, value = b'content-length', b'%d' % length
    return head.Head('POST', '/', '/', [], {name: value}, '')


class TestRead(unittest.IsolatedAsyncioTestCase):
    """Small, large, stalled and over-long bodies."""

    def receive(self, *parts: bytes) -> body.Receive:
        """Return a function that hands out parts, then stalls."""
        left = list(parts)

        async def receive() -> dict[str, typing.Any]:
            if not left:
                await asyncio.sleep(10)
            part = left.pop(0)
            more = part != b'.'
            return {'type': 'http.request', 'body': part, 'more_body': more}

        return receive

    async def code_of(self, length: int | None, *parts: bytes) -> int:
        """Return the code of a refused body."""
        with self.assertRaises(errors.RefusedError) as caught:
            found = await body.read(post(length), self.receive(*parts), LIMITS)
            if not isinstance(found, bytes):
                self.assertTrue([part async for part in found])
        return caught.exception.code.number

    async def test_small(self) -> None:
        """A small body is held whole."""
        found = await body.read(post(3), self.receive(b'ab', b'.'), LIMITS)
        self.assertEqual(found, b'ab.')

    async def test_large(self) -> None:
        """A large body is streamed."""
        parts = [b'x' * 8] * 3 + [b'.']
        found = await body.read(post(25), self.receive(*parts), LIMITS)
        assert not isinstance(found, bytes)
        chunks = [part async for part in found]
        self.assertEqual(b''.join(chunks), b'x' * 24 + b'.')
        self.assertGreater(len(chunks), 1)

    async def test_refused(self) -> None:
        """Bodies over the limit or stalled are refused."""
        self.assertEqual(await self.code_of(101), 3006)
        self.assertEqual(await self.code_of(50, b'ab'), 3017)
        self.assertEqual(await self.code_of(None, *[b'x' * 40] * 4), 3009)


if __name__ == '__main__':
    unittest.main()
