"""Tests of messages whose end two readers could place differently."""

import asyncio
import itertools
import random

from tests.edge import test_requests
from tests.support import edge_daemon_case, framings, scripted_target

FUZZ_SEED = 12
FUZZ_CONNECTIONS = 60
request = edge_daemon_case.request


class TestRequestFramings(test_requests.OneTargetCase):
    """Nothing inside a message may run as another one.

    The text behind the chunks of a request that states a length too was run.
    """

    def paths(self) -> list[str]:
        """Return the paths of the requests that ran."""
        return [
            received.path
            for target in self.targets.values()
            for received in target.received
        ]

    async def exchange(self, raw: bytes) -> bytes:
        """Send bytes; return all answers until the connection closes."""
        reader, writer = await self.connect(self.daemon)
        writer.write(raw)
        async with asyncio.timeout(20):
            try:
                return await reader.read()
            except ConnectionError:
                return b''
            finally:
                writer.close()

    async def test_no_reading_lets_an_inner_request_run(self) -> None:
        inner = request(framings.INNER_PATH, 'inner', 'POST', b'body')
        lines = request('/x', 'outer').split(b'\r\n', 1)[1].strip()
        for name, raw in framings.messages(lines, inner):
            for target in self.targets.values():
                target.received.clear()
            with self.subTest(name):
                answers = await self.exchange(raw)
                self.assertNotIn(framings.INNER_PATH, self.paths())
                self.assertLessEqual(answers.count(b'HTTP/1.1 '), 1)

    async def test_sound_request_behind_an_odd_one_does_not_run(self) -> None:
        before = request('/orders/before', 'before', 'POST', b'body')
        odd = request(
            '/orders/odd',
            'odd',
            'POST',
            b'0\r\n\r\n',
            extra=('Transfer-Encoding: chunked',),
        )
        answers = await self.exchange(before + odd + before)
        self.assertEqual(self.paths(), ['/orders/before'])
        self.assertEqual(answers.count(b'HTTP/1.1 200'), 1)
        self.assertEqual(answers.count(b'HTTP/1.1 400'), 1)

    async def test_only_what_callers_sent_runs(self) -> None:
        """Pipelines of sound and odd requests, cut at random into packets."""
        rng = random.Random(FUZZ_SEED)
        inner = request(framings.INNER_PATH, 'inner', 'POST', b'body')
        lines = request('/x', 'outer').split(b'\r\n', 1)[1].strip()
        odd = [raw for _, raw in framings.messages(lines, inner)]
        numbers = itertools.count()
        for _ in range(FUZZ_CONNECTIONS):
            sound = [
                request(f'/orders/{number}', f'n{number}', 'POST', b'body')
                for number in itertools.islice(numbers, rng.randrange(4))
            ]
            raw = b''.join(sound) + rng.choice(odd)
            reader, writer = await self.connect(self.daemon)
            while raw:
                size = rng.choice((1, 7, 60, 500))
                writer.write(raw[:size])
                raw = raw[size:]
                await asyncio.sleep(0)
            async with asyncio.timeout(20):
                try:
                    answers = await reader.read()
                except ConnectionError:
                    answers = b''
            writer.close()
            self.assertLessEqual(answers.count(b'200 '), len(sound))
        sent = [f'/orders/{number}' for number in range(next(numbers))]
        self.assertLessEqual(set(self.paths()), set(sent))
        self.assertEqual(len(self.paths()), len(set(self.paths())))

    async def test_target_gets_one_framing(self) -> None:
        raw = request('/orders/x', 'c1', extra=('Transfer-Encoding: chunked',))
        raw = (
            raw.replace(b'GET', b'POST')
            + b'4;a=b\r\nbody\r\n0\r\nX-T: 1\r\n\r\n'
        )
        reply = await self.send_raw(self.daemon, raw)
        self.assertEqual(reply.status, 200)
        headers = self.targets['o-1'].received[0].headers
        self.assertEqual(headers['content-length'], '4')
        self.assertNotIn('transfer-encoding', headers)


class TestAnswerFramings(test_requests.OneTargetCase):
    """What a target sends behind an answer must not reach another caller."""

    async def test_connection_serves_no_further_request(self) -> None:
        for number, name in enumerate(framings.ANSWERS):
            odd_identifier, next_identifier = f'odd-{number}', f'next-{number}'

            async def answer(received: scripted_target.ReceivedRequest) -> None:
                if received.identifier != odd_identifier:
                    received.answer()
                    return
                raw = framings.odd_answer(name, odd_identifier, next_identifier)
                received.writer.write(raw)

            self.targets['o-1'].script = answer
            self.targets['t-1'].script = answer
            with self.subTest(name):
                raw = request('/orders/x', odd_identifier, 'POST', b'body')
                reader, writer = await self.connect(self.daemon)
                writer.write(raw)
                async with asyncio.timeout(20):
                    await reader.read(1)
                writer.close()
                raw = request('/orders/x', next_identifier, 'POST', b'body')
                reply = await self.send_raw(self.daemon, raw)
                self.assertEqual(reply.body, b'done')
                odd, sound = [
                    received.writer
                    for received in self.targets['o-1'].received
                    if received.identifier in {odd_identifier, next_identifier}
                ]
                self.assertIsNot(odd, sound)

    async def test_answer_to_head_with_a_body(self) -> None:
        async def answer(received: scripted_target.ReceivedRequest) -> None:
            received.answer()

        self.targets['t-1'].script = answer
        reader, writer = await self.connect(self.daemon)
        writer.write(request('/reads/x', 'h1', 'HEAD'))
        async with asyncio.timeout(10):
            await reader.readuntil(b'\r\n\r\n')
        writer.close()
        await self.read('r2')
        first, second = [
            received.writer for received in self.targets['t-1'].received
        ]
        self.assertIsNot(first, second)
