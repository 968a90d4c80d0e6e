"""Tests that only a complete answer to the same request is delivered."""

import asyncio
import itertools
import random
import unittest

from sapphirepaddle.gateway import attempt, target_client
from tests.support import endless_target, malformed_status, raw_target

Fault = attempt.Fault
LONG_TIMEOUT_SECONDS = 10
"""Timeout that does not expire in tests without slow answers."""


class TargetClientCase(unittest.IsolatedAsyncioTestCase):
    """A client of a target that sends raw bytes."""

    requires_echo = False

    async def start_raw_target(self, script: raw_target.Script) -> None:
        """Start a raw target with a script and create a client for it."""
        await self.start_target(raw_target.RawTarget(script))

    async def start_target(
        self, target: raw_target.RawTarget | endless_target.EndlessTarget
    ) -> None:
        """Start a target and create a client for it."""
        self.target = target
        await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        self.client = target_client.TargetClient(
            f'http://127.0.0.1:{self.target.port}',
            connect_seconds=1,
            max_connections=4,
            requires_echo=self.requires_echo,
        )
        self.addAsyncCleanup(self.client.close)
        self.request_numbers = itertools.count()

    async def send(
        self,
        timeout_seconds: float = 0.3,
        method: str = 'GET',
        body: bytes = b'',
    ) -> tuple[str, bytes]:
        """Send a request; return its identifier and the answer's body."""
        identifier = f'r{next(self.request_numbers)}'
        request = target_client.OutgoingRequest(
            method,
            '/x',
            {},
            body,
            timeout_seconds,
            attempt.Attempt(identifier),
        )
        target_answer = await self.client.send(request)
        chunks = [target_answer.body]
        if target_answer.stream is not None:
            chunks.extend([chunk async for chunk in target_answer.stream])
        return identifier, b''.join(chunks)

    async def send_expecting_fault(self, **arguments: object) -> Fault:
        """Send a request that fails; return the fault."""
        with self.assertRaises(attempt.AttemptFailedError) as caught:
            await self.send(**arguments)  # type: ignore[arg-type]
        return caught.exception.fault


def fixed_answer_script(raw: bytes, close: bool = False) -> raw_target.Script:
    """Return a script that answers each request with the same bytes.

    ``ID`` in the bytes stands for the identifier of the request.
    """

    async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
        writer.write(raw.replace(b'ID', identifier.encode()))
        if close:
            writer.close()

    return script


class TestMalformed(TargetClientCase):
    """Malformed, truncated and misdirected answers must not reach the caller.

    Targets fail while they send an answer, or send one for another request.
    """

    async def test_malformed_answers(self) -> None:
        """Each malformed answer is a fault after which it may have run."""
        answers = {
            'short': b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc',
            'truncated head': b'HTTP/1.1 200 OK\r\nX-Some: thi',
            'head truncated after a line': b'HTTP/1.1 200 OK\r\nX-Some: x\r\n',
            'truncated status line': b'HTTP/1.',
            'no bytes': b'',
            'not HTTP': b'garbage\r\n\r\n',
            'truncated chunk': (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'
            ),
            'no last chunk': (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'2\r\nab\r\n'
            ),
            'chunk size with underscore': (
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
                await self.start_raw_target(
                    fixed_answer_script(raw, close=True)
                )
                fault = await self.send_expecting_fault()
                self.assertIs(fault, Fault.BROKEN)

    async def test_status_that_is_no_final_one(self) -> None:
        """Neither an answer nor a statement that the request did not run."""
        for status, extra in itertools.product(
            malformed_status.STATUSES, (b'X-Other: 1', b'X-Not-Run: 1')
        ):
            raw = (
                b'HTTP/1.1 %s Status\r\nX-Request-Id: ID\r\n'
                b'%s\r\nContent-Length: 2\r\n\r\nok' % (status, extra)
            )
            with self.subTest(status=status, extra=extra):
                await self.start_raw_target(
                    fixed_answer_script(raw, close=True)
                )
                fault = await self.send_expecting_fault()
                self.assertIs(fault, Fault.BROKEN)

    async def test_answer_that_ends_within_its_head(self) -> None:
        """The head is cut behind each of its bytes."""
        head = b'HTTP/1.1 200 OK\r\nX-Some: x\r\nContent-Length: 12\r\n\r\n'
        for cut in range(len(head)):
            with self.subTest(head[:cut]):
                await self.start_raw_target(
                    fixed_answer_script(head[:cut], close=True)
                )
                fault = await self.send_expecting_fault()
                self.assertIs(fault, Fault.BROKEN)

    async def test_mismatched_identifier(self) -> None:
        """An answer with the identifier of another request is rejected."""
        await self.start_raw_target(
            fixed_answer_script(raw_target.complete_answer('other'))
        )
        self.assertIs(await self.send_expecting_fault(), Fault.CROSSED)

    async def test_refusal_of_another_request(self) -> None:
        """A "not run" for another request does not count as a refusal."""
        raw = (
            b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n'
            b'X-Request-Id: other\r\n\r\n'
        )
        await self.start_raw_target(fixed_answer_script(raw))
        self.assertIs(await self.send_expecting_fault(), Fault.CROSSED)

    async def test_unreachable(self) -> None:
        """A target that cannot be connected to is unreachable."""
        await self.start_raw_target(fixed_answer_script(b''))
        await self.target.stop()
        self.assertIs(await self.send_expecting_fault(), Fault.UNREACHABLE)


class TestEcho(TargetClientCase):
    """An answer without the request identifier may belong to another request.

    It is rejected for services whose targets always return the identifier.
    """

    requires_echo = True

    async def test_without_identifier(self) -> None:
        """An answer without a request identifier is rejected."""
        await self.start_raw_target(
            fixed_answer_script(raw_target.complete_answer('x', echo=False))
        )
        self.assertIs(await self.send_expecting_fault(), Fault.CROSSED)


class TestReuse(TargetClientCase):
    """No caller may get the answer to another request on a reused connection.

    Unread bytes are left there by late, duplicate or too long answers and by
    cancelled requests. aiosonic also resends requests when one drops.
    """

    async def count_answers(
        self, rounds: int, timeout_seconds: float = 0.3
    ) -> int:
        """Send requests over four parallel chains; return how many succeed.

        Each answer must have exactly the body meant for its request.
        """

        async def send_once() -> bool:
            try:
                identifier, body = await self.send(timeout_seconds)
            except attempt.AttemptFailedError:
                return False
            self.assertEqual(body, f'answer to {identifier}'.encode())
            return True

        async def send_rounds() -> int:
            return sum([await send_once() for _ in range(rounds)])

        return sum(await asyncio.gather(*(send_rounds() for _ in range(4))))

    async def test_late_answers(self) -> None:
        """An answer after the timeout is never given to the next request."""
        rng = random.Random(1)

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(rng.choice((0, 0, 0.1)))
            writer.write(raw_target.complete_answer(identifier, echo=False))

        await self.start_raw_target(script)
        self.assertGreater(
            await self.count_answers(30, timeout_seconds=0.05), 20
        )

    async def test_duplicated_answers(self) -> None:
        """A duplicate of an answer is never given to the next request."""

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            writer.write(raw_target.complete_answer(identifier, echo=False) * 2)

        await self.start_raw_target(script)
        self.assertEqual(
            await self.count_answers(30, LONG_TIMEOUT_SECONDS), 120
        )

    async def test_delayed_duplicates(self) -> None:
        """A duplicate that arrives after the next request is rejected."""

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            writer.write(raw_target.complete_answer(identifier))
            await asyncio.sleep(0.002)
            writer.write(raw_target.complete_answer(identifier))

        await self.start_raw_target(script)
        self.assertGreater(await self.count_answers(30), 0)

    async def test_excess_bytes(self) -> None:
        """Bytes after the declared length never reach the next request."""

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            writer.write(
                raw_target.complete_answer(identifier, echo=False) + b'more'
            )

        await self.start_raw_target(script)
        self.assertEqual(
            await self.count_answers(30, LONG_TIMEOUT_SECONDS), 120
        )

    async def test_refusals_written_twice(self) -> None:
        """A refusal ends its connection, so that no copy follows on it."""
        head = b'HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: '
        for refusal in (head + b'0\r\n\r\n', head + b'4\r\n\r\nnull'):
            await self.check_refusal_written_twice(refusal)

    async def check_refusal_written_twice(self, refusal: bytes) -> None:
        """Check the request after a refusal without identifier."""
        connections = set()

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            connections.add(writer)
            if len(connections) > 1:
                writer.write(raw_target.complete_answer(identifier))
                return
            writer.write(refusal)
            await asyncio.sleep(0.02)
            writer.write(refusal)

        await self.start_raw_target(script)
        self.assertIs(await self.send_expecting_fault(), Fault.REFUSED)
        await self.send()
        self.assertEqual(len(connections), 2)

    async def test_cancelled_callers(self) -> None:
        """The answer to a cancelled request is never given to another."""

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.02)
            writer.write(raw_target.complete_answer(identifier, echo=False))

        await self.start_raw_target(script)
        rng = random.Random(2)

        async def send_and_cancel() -> None:
            task = asyncio.create_task(self.send())
            await asyncio.sleep(rng.choice((0.005, 0.015, 0.1)))
            if not task.cancel():
                identifier, body = await task
                self.assertEqual(body, f'answer to {identifier}'.encode())

        for _ in range(20):
            await asyncio.gather(*(send_and_cancel() for _ in range(4)))

    async def test_no_automatic_resend(self) -> None:
        """A request is not sent again when a reused connection drops."""
        request_counter = itertools.count()

        async def script(identifier: str, writer: asyncio.StreamWriter) -> None:
            if next(request_counter) % 2:
                writer.close()
                return
            writer.write(raw_target.complete_answer(identifier))

        await self.start_raw_target(script)
        for method in ('GET', 'POST', 'PUT', 'DELETE'):
            await self.send(method=method, body=b'')
            fault = await self.send_expecting_fault(method=method)
            self.assertIs(fault, Fault.BROKEN)
        sent_identifiers = [
            raw_target.identifier_of(head) for head in self.target.request_heads
        ]
        self.assertEqual(len(sent_identifiers), len(set(sent_identifiers)))


class TestLargeBodies(TargetClientCase):
    """A truncated large body must not be taken for a complete one.

    Large bodies are streamed, so the target can fail after the head was sent.
    """

    async def test_truncated_body(self) -> None:
        """A large body that ends early is a fault."""
        size = target_client.MAX_BUFFERED_BYTES * 3
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'.encode()
        await self.start_raw_target(
            fixed_answer_script(head + b'x' * (size - 10), close=True)
        )
        self.assertIs(
            await self.send_expecting_fault(timeout_seconds=2), Fault.BROKEN
        )

    async def test_complete_body(self) -> None:
        """A large body is received completely."""
        size = target_client.MAX_BUFFERED_BYTES * 3
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'.encode()
        await self.start_raw_target(fixed_answer_script(head + b'x' * size))
        _, body = await self.send(timeout_seconds=2)
        self.assertEqual(len(body), size)


if __name__ == '__main__':
    unittest.main()
