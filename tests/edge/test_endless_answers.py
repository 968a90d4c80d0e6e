"""Tests of targets that send bytes which are no answer, without end."""

import asyncio
import tracemalloc

from sapphirepaddle.directory import source
from sapphirepaddle.proxy import http_message
from tests.support import edge_daemon_case, endless_target, platform_objects

request = edge_daemon_case.request

CALLERS = 24
MEMORY_BYTES = 33554432
PAUSE_SECONDS = 0.01


class EndlessCase(edge_daemon_case.EdgeDaemonCase):
    """A daemon with an endless target for orders and a sound one for reads.

    Attributes:
        endless: The endless target.
    """

    memory_bytes = MEMORY_BYTES

    async def asyncSetUp(self) -> None:
        """Start the daemon and the sound target."""
        await super().asyncSetUp()
        await self.add_target('t-1', 'reads')
        self.daemon = await self.start_daemon()

    async def start_endless(
        self, kind: str, pause_seconds: float = 0
    ) -> endless_target.EndlessTarget:
        """Start a target that answers orders with one kind of bytes."""
        target = endless_target.EndlessTarget(
            *endless_target.ENDLESS_ANSWERS[kind], pause_seconds
        )
        await target.start()
        self.addAsyncCleanup(target.stop)
        entry = platform_objects.target('orders', target.port)
        await self.source.apply_change('servers', source.Entry('o-1', entry))
        await self.wait_until(
            lambda: self.registered_port() == target.port,
        )
        return target

    def registered_port(self) -> int:
        """Return the port of the endless target as the daemon knows it."""
        known = self.daemon.components.directory.find_target('o-1')
        return known.registration.port if known else 0

    async def order(self, identifier: str) -> edge_daemon_case.Reply:
        """Send an order."""
        return await self.send_raw(
            self.daemon, request('/orders/x', identifier, 'POST', b'body')
        )

    async def read(self, identifier: str) -> edge_daemon_case.Reply:
        """Send a read, which the sound target answers."""
        return await self.send_raw(self.daemon, request('/reads/x', identifier))


class TestEndlessAnswers(EndlessCase):
    """An endless answer must end in a truthful failure.

    The daemon has to close the connection itself and must not reuse it.
    """

    async def check(
        self, kind: str, pause_seconds: float, statuses: set[int]
    ) -> None:
        """Send two orders to an endless target and check what follows."""
        target = await self.start_endless(kind, pause_seconds)
        for number in (1, 2):
            reply = await self.order(f'o{number}')
            self.assertIn(reply.status, statuses)
            self.assertNotIn('x-response-stamp', reply.headers)
            await self.wait_until(
                lambda number=number: target.closed_count == number
            )
        self.assertEqual(len(target.request_heads), 2)
        pool = self.daemon.components.attempt_runner.connection_pool
        self.assertNotIn(('127.0.0.1', target.port), pool.idle)

    async def test_fast_sender_is_cut_off_before_the_deadline(self) -> None:
        for kind in endless_target.ENDLESS_ANSWERS:
            with self.subTest(kind):
                await self.check(kind, 0, {502})

    async def test_slow_sender_is_cut_off_at_the_deadline(self) -> None:
        for kind in ('header lines', 'body without length', 'chunk extension'):
            with self.subTest(kind):
                await self.check(kind, PAUSE_SECONDS, {504})

    async def test_stated_length_over_the_limit_is_refused_at_once(
        self,
    ) -> None:
        await self.check('body with a huge length', PAUSE_SECONDS, {502})

    async def test_few_interim_answers_are_skipped(self) -> None:
        async def answer_after_interim(received) -> None:
            received.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n' * 3)
            received.answer()

        self.targets['t-1'].script = answer_after_interim
        self.assertEqual((await self.read('r1')).status, 200)


class TestOthersMeanwhile(EndlessCase):
    """Endless answers to many callers must not harm the others.

    They must neither use up the memory of the daemon nor its time.
    """

    def check_failures(
        self,
        target: endless_target.EndlessTarget,
        replies: dict[str, edge_daemon_case.Reply],
    ) -> None:
        """Check that the answers tell the truth about each order.

        An order that the target never got may be refused as not run.
        """
        received = {
            endless_target.identifier_of(head).decode()
            for head in target.request_heads
        }
        for identifier, reply in replies.items():
            if identifier in received:
                self.assertIn(reply.status, {502, 504})
            else:
                self.assertIn(reply.status, {503, 504})

    async def send_orders(
        self, identifiers: list[str]
    ) -> dict[str, edge_daemon_case.Reply]:
        """Send orders at the same time; return the replies."""
        replies = await asyncio.gather(*map(self.order, identifiers))
        return dict(zip(identifiers, replies, strict=True))

    async def test_reads_are_served_meanwhile(self) -> None:
        for kind in endless_target.ENDLESS_ANSWERS:
            with self.subTest(kind):
                target = await self.start_endless(kind)
                orders = asyncio.create_task(
                    self.send_orders([f'o{number}' for number in range(4)])
                )
                reads = [await self.read(f'r{number}') for number in range(4)]
                self.assertEqual([reply.status for reply in reads], [200] * 4)
                self.check_failures(target, await orders)

    async def test_memory_is_bounded(self) -> None:
        self.assertGreater(
            CALLERS * http_message.MAX_BODY_BYTES, 4 * MEMORY_BYTES
        )
        target = await self.start_endless('body without length')
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        replies = await self.send_orders([f'm{n}' for n in range(CALLERS)])
        _, peak = tracemalloc.get_traced_memory()
        self.check_failures(target, replies)
        self.assertLess(peak, MEMORY_BYTES)
        self.assertEqual((await self.read('after')).status, 200)
        memory = self.daemon.components.attempt_runner.answer_memory
        self.assertEqual(memory.reserved_bytes, 0)

    async def test_small_pieces_take_no_more_memory(self) -> None:
        target = await self.start_endless('chunks of one byte')
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        replies = await self.send_orders(['pieces'])
        _, peak = tracemalloc.get_traced_memory()
        self.check_failures(target, replies)
        self.assertLess(peak, MEMORY_BYTES)
