"""Tests of the reading of request bodies."""

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


def post_head(length: int | None) -> head.Head:
    """Return the head of a POST; None stands for a chunked body."""
    name, value = b'transfer-encoding', b'chunked'
    if length is not None:
        name, value = b'content-length', b'%d' % length
    return head.Head('POST', '/', '/', [], {name: value}, '')


class TestRead(unittest.IsolatedAsyncioTestCase):
    """A caller must not occupy memory or a connection with its body.

    Bodies exceed the limits, as declared or as sent, or stall.
    """

    def receive(self, *parts: bytes) -> body.Receive:
        """Return an ASGI receive function that yields the parts, then stalls.

        The part b'.' ends the body.
        """
        remaining_parts = list(parts)

        async def receive() -> dict[str, typing.Any]:
            if not remaining_parts:
                await asyncio.sleep(10)
            part = remaining_parts.pop(0)
            has_more = part != b'.'
            return {'type': 'http.request', 'body': part, 'more_body': has_more}

        return receive

    async def refusal_code(self, length: int | None, *parts: bytes) -> int:
        """Return the result code of a refused body."""
        with self.assertRaises(errors.RefusedError) as caught:
            request_body = await body.read(
                post_head(length), self.receive(*parts), LIMITS
            )
            if not isinstance(request_body, bytes):
                self.assertTrue([part async for part in request_body])
        return caught.exception.code.number

    async def test_small(self) -> None:
        """A small body is buffered completely."""
        request_body = await body.read(
            post_head(3), self.receive(b'ab', b'.'), LIMITS
        )
        self.assertEqual(request_body, b'ab.')

    async def test_large(self) -> None:
        """A large body is streamed."""
        parts = [b'x' * 8] * 3 + [b'.']
        request_body = await body.read(
            post_head(25), self.receive(*parts), LIMITS
        )
        assert not isinstance(request_body, bytes)
        chunks = [part async for part in request_body]
        self.assertEqual(b''.join(chunks), b'x' * 24 + b'.')
        self.assertGreater(len(chunks), 1)

    async def test_refused(self) -> None:
        """Oversized and stalled bodies are refused."""
        self.assertEqual(await self.refusal_code(101), 3006)
        self.assertEqual(await self.refusal_code(50, b'ab'), 3017)
        self.assertEqual(await self.refusal_code(None, *[b'x' * 40] * 4), 3009)


if __name__ == '__main__':
    unittest.main()
