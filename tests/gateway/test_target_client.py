"""Each caller gets the whole answer to its own request."""

import asyncio
import itertools
import random
import unittest

from sapphirepaddle.gateway import attempt, target_client
from tests.support import raw_target

Fault = attempt.Fault
PATIENT_SECONDS = 10
"""Time for an answer where it is not the time that is tested."""


class ClientCase(unittest.IsolatedAsyncioTestCase):
    """A client before a raw target."""

    echo = False

    async def open(self, script: raw_target.Script) -> None:
        """Start a raw target with a script, and a client of it."""
        self.target = raw_target.RawTarget(script)
        await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        self.client = target_client.TargetClient(
            f'http://127.0.0.1:{self.target.port}',
            connect_seconds=1,
            max_connections=4,
            requires_echo=self.echo,
        )
        self.addAsyncCleanup(self.client.close)
        self.numbers = itertools.count()

    async def send(
        self,
        seconds: float = 0.3,
        method: str = 'GET',
        body: bytes = b'',
    ) -> tuple[str, bytes]:
        """Send one request; return its identifier and the answer's body."""
        identifier = f'r{next(self.numbers)}'
        sending = target_client.OutgoingRequest(
            method,
            '/x',
            {},
            body,
            seconds,
            attempt.Attempt(identifier),
        )
        received = await self.client.send(sending)
        chunks = [received.body]
        if received.stream is not None:
            chunks.extend([chunk async for chunk in received.stream])
        return identifier, b''.join(chunks)

    async def fault_of(self, **sending: object) -> Fault:
        """Send one request and return its fault."""
        with self.assertRaises(attempt.AttemptFailedError) as caught:
            await self.send(**sending)  # type: ignore[arg-type]
        return caught.exception.fault


def answering(raw: bytes, close: bool = False) -> raw_target.Script:
    """Return a script that answers the same bytes each time."""

    async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
        writer.write(raw.replace(b'ID', identifier.encode()))
        if close:
            writer.close()

    return script


class TestMalformed(ClientCase):
    """Answers that are not whole answers."""

    async def test_faults(self) -> None:
        """Each malformed answer is a fault, and may have run."""
        answers = {
            'short': b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc',
            'head cut': b'HTTP/1.1 200 OK\r\nX-Some: thi',
            'head cut after a line': b'HTTP/1.1 200 OK\r\nX-Some: x\r\n',
            'status cut': b'HTTP/1.',
            'nothing': b'',
            'not HTTP': b'garbage\r\n\r\n',
            'chunk cut': (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'
            ),
            'no last chunk': (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'2\r\nab\r\n'
            ),
            'odd chunk size': (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'1_0\r\nab\r\n0\r\n\r\n'
            ),
            'no length': b'HTTP/1.1 200 OK\r\n\r\nabc',
            'two lengths': (
                b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n'
                b'Content-Length: 3\r\n\r\nabc'
            ),
            'negative length': (
                b'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n'
            ),
            'interim': b'HTTP/1.1 100 Continue\r\n\r\n',
            'head line without colon': (
                b'HTTP/1.1 200 OK\r\nnonsense\r\nContent-Length: 0\r\n\r\n'
            ),
            'large head': (
                b'HTTP/1.1 200 OK\r\n' + b'X-A: bbbbbbbbbbbbbb\r\n' * 5000
            ),
        }
        for name, raw in answers.items():
            with self.subTest(name):
                await self.open(answering(raw, close=True))
                fault = await self.fault_of()
                self.assertIs(fault, Fault.BROKEN)

    async def test_other_identifier(self) -> None:
        """An answer that names another request is not delivered."""
        await self.open(answering(raw_target.complete_answer('other')))
        self.assertIs(await self.fault_of(), Fault.CROSSED)

    async def test_shed_of_another_request(self) -> None:
        """A "not run" that names another request proves nothing."""
        raw = (
            b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n'
            b'X-Request-Id: other\r\n\r\n'
        )
        await self.open(answering(raw))
        self.assertIs(await self.fault_of(), Fault.CROSSED)

    async def test_unreachable(self) -> None:
        """No byte left: the request provably did not run."""
        await self.open(answering(b''))
        await self.target.stop()
        self.assertIs(await self.fault_of(), Fault.UNREACHABLE)


class TestEcho(ClientCase):
    """Services whose answers must name their request."""

    echo = True

    async def test_without_identifier(self) -> None:
        """An answer that names no request is not delivered."""
        await self.open(answering(raw_target.complete_answer('x', echo=False)))
        self.assertIs(await self.fault_of(), Fault.CROSSED)


class TestReuse(ClientCase):
    """Connections that are used again."""

    async def check(self, rounds: int, seconds: float = 0.3) -> int:
        """Send many requests and check each answer byte for byte."""

        async def one() -> bool:
            try:
                identifier, body = await self.send(seconds)
            except attempt.AttemptFailedError:
                return False
            self.assertEqual(body, f'answer to {identifier}'.encode())
            return True

        async def chain() -> int:
            return sum([await one() for _ in range(rounds)])

        return sum(await asyncio.gather(*(chain() for _ in range(4))))

    async def test_late_answers(self) -> None:
        """Answers after the deadline never reach the next request."""
        chance = random.Random(1)

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(chance.choice((0, 0, 0.1)))
            writer.write(raw_target.complete_answer(identifier, echo=False))

        await self.open(script)
        self.assertGreater(await self.check(30, seconds=0.05), 20)

    async def test_duplicated_answers(self) -> None:
        """A second copy of an answer never reaches the next request."""

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            writer.write(raw_target.complete_answer(identifier, echo=False) * 2)

        await self.open(script)
        self.assertEqual(await self.check(30, PATIENT_SECONDS), 120)

    async def test_duplicates_that_come_later(self) -> None:
        """A copy that comes after the next request is sent is crossed."""

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            writer.write(raw_target.complete_answer(identifier))
            await asyncio.sleep(0.002)
            writer.write(raw_target.complete_answer(identifier))

        await self.open(script)
        self.assertGreater(await self.check(30), 0)

    async def test_over_long_answers(self) -> None:
        """Bytes beyond the stated length never reach the next request."""

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            writer.write(
                raw_target.complete_answer(identifier, echo=False) + b'more'
            )

        await self.open(script)
        self.assertEqual(await self.check(30, PATIENT_SECONDS), 120)

    async def test_cancelled_callers(self) -> None:
        """A cancelled call never leaves its answer to another."""

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.02)
            writer.write(raw_target.complete_answer(identifier, echo=False))

        await self.open(script)
        chance = random.Random(2)

        async def one() -> None:
            task = asyncio.create_task(self.send())
            await asyncio.sleep(chance.choice((0.005, 0.015, 0.1)))
            if not task.cancel():
                identifier, body = await task
                self.assertEqual(body, f'answer to {identifier}'.encode())

        for _ in range(20):
            await asyncio.gather(*(one() for _ in range(4)))

    async def test_nothing_is_sent_twice(self) -> None:
        """A connection that drops is not used to send a request again."""
        served = itertools.count()

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            if next(served) % 2:
                writer.close()
                return
            writer.write(raw_target.complete_answer(identifier))

        await self.open(script)
        for method in ('GET', 'POST', 'PUT', 'DELETE'):
            await self.send(method=method, body=b'')
            fault = await self.fault_of(method=method)
            self.assertIs(fault, Fault.BROKEN)
        sent = [
            raw_target.identifier_of(head) for head in self.target.request_heads
        ]
        self.assertEqual(len(sent), len(set(sent)))


class TestLarge(ClientCase):
    """Bodies that are streamed."""

    async def test_cut_short(self) -> None:
        """A large body that ends early does not pass as whole."""
        size = target_client.MAX_BUFFERED_BYTES * 3
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'.encode()
        await self.open(answering(head + b'x' * (size - 10), close=True))
        self.assertIs(await self.fault_of(seconds=2), Fault.BROKEN)

    async def test_whole(self) -> None:
        """A large body arrives whole."""
        size = target_client.MAX_BUFFERED_BYTES * 3
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'.encode()
        await self.open(answering(head + b'x' * size))
        _, body = await self.send(seconds=2)
        self.assertEqual(len(body), size)


if __name__ == '__main__':
    unittest.main()
