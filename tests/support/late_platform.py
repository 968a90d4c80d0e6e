"""A platform whose reply to one path is late."""

import asyncio
import re

import orjson

from tests.support import raw_target

LATE_SECONDS = 0.3
"""Delay of a reply that the client no longer waits for."""


class LatePlatform(raw_target.RawTarget):
    """A platform whose reply to one key is late.

    Its replies name the key and, as a version, the length of the key.
    """

    def __init__(self) -> None:
        """Initialize without calls."""
        super().__init__(self.reply)

    async def reply(self, _: str, writer: asyncio.StreamWriter) -> None:
        """Reply to the newest call; late if its key is 'late'."""
        found = re.search('/objects/([a-z]+)', self.request_heads[-1])
        key = found.group(1) if found else ''
        if key == 'late':
            await asyncio.sleep(LATE_SECONDS)
        body = orjson.dumps({'key': key, 'body': '', 'version': len(key)})
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)
