"""Tests of requests through an edge daemon to misbehaving targets."""

import asyncio

from sapphirepaddle.proxy import caller_connection
from tests.support import (
    edge_daemon_case,
    malformed_status,
    platform_objects,
    scripted_target,
)

ReceivedRequest = scripted_target.ReceivedRequest
request = edge_daemon_case.request
RUNNING_COUNT = caller_connection.MAX_PIPELINED_REQUESTS
NOT_EXECUTED = 'X-Not-Executed: 1'
CUT_COUNT = 150
"""More than the bytes of a head, so that it is cut behind each of them."""


def answer_with(status: bytes, extra: str) -> scripted_target.Script:
    """Return a script that answers with a status and a header, and closes."""

    async def answer_and_close(received: ReceivedRequest) -> None:
        stamp = '' if extra == NOT_EXECUTED else 'stamp'
        head = received.head(200, 2, extra, stamp=stamp)
        received.writer.write(head.replace(b' 200 ', b' %s ' % status, 1))
        received.writer.write(b'ok')
        received.writer.close()

    return answer_and_close


class OneTargetCase(edge_daemon_case.EdgeDaemonCase):
    """A daemon with one target for each service."""

    script = staticmethod(scripted_target.answer_ok)

    async def asyncSetUp(self) -> None:
        """Start the targets and the daemon."""
        await super().asyncSetUp()
        await self.add_target('t-1', 'reads', self.script)
        await self.add_target('o-1', 'orders', self.script)
        self.daemon = await self.start_daemon()

    async def read(self, identifier: str = 'r1') -> edge_daemon_case.Reply:
        """Send an idempotent request to the service `reads`."""
        return await self.send_raw(self.daemon, request('/reads/x', identifier))

    async def order(self, identifier: str = 'o1') -> edge_daemon_case.Reply:
        """Send a non-idempotent request to the service `orders`."""
        raw_request = request('/orders/x', identifier, 'POST', b'body')
        return await self.send_raw(self.daemon, raw_request)


class TestForwarding(OneTargetCase):
    """A request must reach its target unchanged, or be refused.

    Callers may forge headers that only the daemon sets, smuggle a request in
    the body of another, or send more than the limits allow.
    """

    async def test_request_arrives_unchanged(self) -> None:
        raw_request = request(
            '/orders/a%20b?c=1&d',
            'id-1',
            'POST',
            b'body',
            extra=('X-Tenant-Id: forged', 'X-Expect-Instance: forged'),
        )
        reply = await self.send_raw(self.daemon, raw_request)
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.body, b'done')
        self.assertEqual(reply.headers['x-response-stamp'], 'stamp')
        received = self.targets['o-1'].received[0]
        self.assertEqual(received.path, '/orders/a%20b?c=1&d')
        self.assertEqual(received.body, b'body')
        self.assertEqual(received.headers['x-request-id'], 'id-1')
        self.assertEqual(received.headers['x-tenant-id'], 'first')
        self.assertEqual(received.headers['x-expect-instance'], 'o-1')
        self.assertNotIn('authorization', received.headers)
        self.assertLessEqual(int(received.headers['x-deadline-ms']), 1500)

    async def test_chunked_body_arrives_whole(self) -> None:
        head = request('/orders/x', 'c1', extra=('Transfer-Encoding: chunked',))
        raw_request = (
            head.replace(b'GET', b'POST') + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        )
        reply = await self.send_raw(self.daemon, raw_request)
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.targets['o-1'].received[0].body, b'abcde')

    async def test_unknown_and_missing_keys_are_refused(self) -> None:
        for key in ('', 'unknown'):
            raw_request = request('/reads/x', key=key)
            reply = await self.send_raw(self.daemon, raw_request)
            self.assertEqual(reply.status, 401)
        self.assertEqual(self.targets['t-1'].received, [])

    async def test_two_keys_are_malformed(self) -> None:
        extra = (f'Authorization: Bearer {platform_objects.SECOND_KEY}',)
        reply = await self.send_raw(
            self.daemon, request('/reads/x', extra=extra)
        )
        self.assertEqual(reply.status, 400)
        self.assertEqual(self.targets['t-1'].received, [])

    async def test_open_route_needs_no_key(self) -> None:
        reply = await self.send_raw(self.daemon, request('/open/x', key=''))
        self.assertEqual(reply.status, 200)

    async def test_unknown_route(self) -> None:
        reply = await self.send_raw(self.daemon, request('/none/x'))
        self.assertEqual(reply.status, 404)

    async def test_smuggled_request_is_not_run(self) -> None:
        inner = request('/reads/smuggled', 'inner')
        extra = ('Transfer-Encoding: chunked', f'Content-Length: {len(inner)}')
        raw_request = request('/reads/x', extra=extra) + b'0\r\n\r\n'
        reader, writer = await self.connect(self.daemon)
        writer.write(raw_request + inner)
        async with asyncio.timeout(10):
            await reader.read()
        writer.close()
        paths = [received.path for received in self.targets['t-1'].received]
        self.assertNotIn('/reads/smuggled', paths)

    async def test_large_head_and_body(self) -> None:
        raw_request = request('/reads/x', extra=('X-Long: ' + 'x' * 5000,))
        self.assertEqual(
            (await self.send_raw(self.daemon, raw_request)).status, 431
        )
        raw_request = request('/orders/x', method='POST', body=b'x' * 100001)
        self.assertEqual(
            (await self.send_raw(self.daemon, raw_request)).status, 413
        )
        self.assertEqual(self.targets['o-1'].received, [])

    async def test_body_memory_is_shared_by_connections(self) -> None:
        head = request('/orders/x', method='POST', extra=('X-Part: 1',))
        head = head.replace(b'Content-Length: 0', b'Content-Length: 99999')
        connections = [await self.connect(self.daemon) for _ in range(2)]
        for _, writer in connections:
            writer.write(head + b'x' * 60000)
        memory = self.daemon.components.forwarder.memory
        request_size = len(head) - len(b'  HTTP/1.1\r\n\r\n') + 60000
        await self.wait_until(lambda: memory.reserved_bytes == 2 * request_size)
        raw_request = request('/orders/x', method='POST', body=b'x' * 60000)
        reply = await self.send_raw(self.daemon, raw_request)
        self.assertEqual(reply.status, 503)
        for _, writer in connections:
            writer.close()
        await self.wait_until(lambda: memory.reserved_bytes == 0)

    async def test_slow_head_is_refused(self) -> None:
        reader, writer = await self.connect(self.daemon)
        writer.write(b'GET /reads/x HTTP/1.1\r\n')
        reply = await edge_daemon_case.read_reply(reader)
        self.assertEqual(reply.status, 408)
        writer.close()


class TestConnections(OneTargetCase):
    """Each caller must get the answers to its requests, in their order.

    Pipelined requests may finish out of order, and a request whose caller
    has disconnected would occupy its target for nothing.
    """

    async def answer_by_path(self, received: ReceivedRequest) -> None:
        """Answer with the path, 0.2 seconds late if it ends in `slow`."""
        if received.path.endswith('slow'):
            await asyncio.sleep(0.2)
        received.answer(body=received.path.encode())

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        self.targets['t-1'].script = self.answer_by_path
        reader, writer = await self.connect(self.daemon)
        writer.write(request('/reads/slow', 'p1') + request('/reads/b', 'p2'))
        first = await edge_daemon_case.read_reply(reader)
        second = await edge_daemon_case.read_reply(reader)
        self.assertEqual(first.body, b'/reads/slow')
        self.assertEqual(second.body, b'/reads/b')
        self.assertEqual(second.headers['x-request-id'], 'p2')
        writer.close()

    async def test_disconnect_cancels_request(self) -> None:
        started = asyncio.Event()

        async def hang(_received: ReceivedRequest) -> None:
            started.set()
            await asyncio.sleep(5)

        self.targets['t-1'].script = hang
        _, writer = await self.connect(self.daemon)
        writer.write(request('/reads/x', 'gone'))
        await started.wait()
        writer.close()
        target = self.targets['t-1']
        await self.wait_until(lambda: target.disconnected == ['gone'])

    async def pipeline(
        self, count: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send pipelined requests and wait until the first ones run.

        Their targets answer when `release` is set.
        """
        self.release = asyncio.Event()

        async def answer_when_released(received: ReceivedRequest) -> None:
            await self.release.wait()
            received.answer(body=received.identifier.encode())

        self.targets['t-1'].script = answer_when_released
        reader, writer = await self.connect(self.daemon)
        for number in range(count):
            writer.write(request('/reads/x', f'p{number}'))
        await self.wait_until(
            lambda: len(self.targets['t-1'].received) == RUNNING_COUNT
        )
        return reader, writer

    async def test_disconnect_behind_waiting_requests(self) -> None:
        # Targets worked on, and got requests after their caller had left.
        for count in (24, 400):
            with self.subTest(count=count):
                _, writer = await self.pipeline(count)
                writer.close()
                target = self.targets['t-1']
                await self.wait_until(
                    lambda: len(target.disconnected) == RUNNING_COUNT,
                    seconds=10,
                )
                self.release.set()
                self.assertEqual(len(target.received), RUNNING_COUNT)
                target.received.clear()
                target.disconnected.clear()

    async def test_waiting_requests_are_given_what_is_left(self) -> None:
        _, writer = await self.pipeline(RUNNING_COUNT + 1)
        await asyncio.sleep(0.5)
        self.release.set()
        received = self.targets['t-1'].received
        await self.wait_until(lambda: len(received) > RUNNING_COUNT)
        self.assertLessEqual(int(received[-1].headers['x-deadline-ms']), 1000)
        writer.close()

    async def test_too_many_waiting_requests_close_the_connection(
        self,
    ) -> None:
        reader, writer = await self.pipeline(400)
        (connection,) = self.daemon.components.caller_listener.connections
        await self.wait_until(lambda: connection.is_closing)
        self.release.set()
        count = RUNNING_COUNT + caller_connection.MAX_WAITING_REQUESTS
        replies = [
            await edge_daemon_case.read_reply(reader) for _ in range(count)
        ]
        self.assertEqual(
            [reply.headers['x-request-id'] for reply in replies],
            [f'p{number}' for number in range(count)],
        )
        self.assertEqual(
            [
                number
                for number, reply in enumerate(replies)
                if 'connection' in reply.headers
            ],
            [count - 1],
        )
        self.assertEqual(await reader.read(), b'')
        writer.close()

    async def test_half_close_closes_connection(self) -> None:
        started = asyncio.Event()

        async def hang(_received: ReceivedRequest) -> None:
            started.set()
            await asyncio.sleep(5)

        self.targets['t-1'].script = hang
        reader, writer = await self.connect(self.daemon)
        writer.write(request('/reads/x', 'half'))
        await started.wait()
        writer.write_eof()
        self.assertEqual(await reader.read(), b'')
        writer.close()

    async def test_many_requests_on_one_connection(self) -> None:
        reader, writer = await self.connect(self.daemon)
        for number in range(20):
            writer.write(request('/reads/x', f'k{number}'))
            reply = await edge_daemon_case.read_reply(reader)
            self.assertEqual(reply.headers['x-request-id'], f'k{number}')
        writer.close()


class TestAnswers(OneTargetCase):
    """Answers that are incomplete, unproved or to another request.

    A caller must not get them as the answer to its request.
    """

    async def reply_to(
        self, script: scripted_target.Script
    ) -> edge_daemon_case.Reply:
        """Return the answer to an order whose target runs the script."""
        self.targets['o-1'].script = script
        return await self.order()

    async def test_target_failure_is_passed_on(self) -> None:
        async def fail(received: ReceivedRequest) -> None:
            received.answer(500, b'why')

        reply = await self.reply_to(fail)
        self.assertEqual((reply.status, reply.body), (500, b'why'))
        self.assertEqual(reply.headers['x-response-stamp'], 'stamp')

    async def test_truncated_answer(self) -> None:
        async def truncate(received: ReceivedRequest) -> None:
            received.writer.write(received.head(200, 10) + b'half')
            received.writer.close()

        self.assertEqual((await self.reply_to(truncate)).status, 502)

    async def test_answer_that_ends_within_its_head(self) -> None:
        # Of another system, callers got a 200 with an empty or short body.
        async def stop_in_head(received: ReceivedRequest) -> None:
            head = received.head(200, 4, 'X-Last: header')
            cut = int(received.identifier) % len(head)
            received.writer.write(head[:cut])
            received.writer.close()

        self.targets['o-1'].script = stop_in_head
        statuses = [
            (await self.order(str(cut))).status for cut in range(CUT_COUNT)
        ]
        self.assertEqual(statuses, [502] * CUT_COUNT)
        self.assertEqual(len(self.targets['o-1'].received), CUT_COUNT)

    async def test_malformed_answer(self) -> None:
        async def send_garbage(received: ReceivedRequest) -> None:
            received.writer.write(b'\x00\x01 no answer\r\n\r\n')

        self.assertEqual((await self.reply_to(send_garbage)).status, 502)

    async def test_status_that_is_no_final_one(self) -> None:
        # Of another system, callers got a status of 000 as an answer.
        for number, status in enumerate(malformed_status.STATUSES):
            for extra in ('X-Other: 1', NOT_EXECUTED):
                with self.subTest(status=status, extra=extra):
                    self.targets['o-1'].script = answer_with(status, extra)
                    reply = await self.order(f'{number}-{extra[2]}')
                    self.assertEqual(reply.status, 502)
        self.assertEqual(
            len(self.targets['o-1'].received),
            2 * len(malformed_status.STATUSES),
        )

    async def test_success_without_stamp(self) -> None:
        async def omit_stamp(received: ReceivedRequest) -> None:
            received.writer.write(received.head(200, 2, stamp='') + b'ok')

        self.assertEqual((await self.reply_to(omit_stamp)).status, 502)

    async def test_encoded_body(self) -> None:
        async def encode(received: ReceivedRequest) -> None:
            head = received.head(200, 2, 'Content-Encoding: gzip')
            received.writer.write(head + b'ok')

        self.assertEqual((await self.reply_to(encode)).status, 502)

    async def test_answer_without_length_ends_with_connection(self) -> None:
        async def omit_length(received: ReceivedRequest) -> None:
            received.writer.write(received.head(200, None) + b'whole body')
            received.writer.close()

        reply = await self.reply_to(omit_length)
        self.assertEqual((reply.status, reply.body), (200, b'whole body'))

    async def test_answer_without_length_that_is_reset(self) -> None:
        async def reset(received: ReceivedRequest) -> None:
            received.writer.write(received.head(200, None) + b'half')
            await received.writer.drain()
            await asyncio.sleep(0.05)
            received.reset()

        self.assertEqual((await self.reply_to(reset)).status, 502)

    async def test_503_without_not_run_header_is_not_passed_on(self) -> None:
        async def answer_503(received: ReceivedRequest) -> None:
            received.answer(503, b'')

        self.assertEqual((await self.reply_to(answer_503)).status, 502)

    async def test_late_answer_to_another_request(self) -> None:
        async def answer_twice(received: ReceivedRequest) -> None:
            old_head = received.head(200, 3, identifier='older')
            received.writer.write(old_head + b'old')
            received.answer(body=b'new')

        reply = await self.reply_to(answer_twice)
        self.assertEqual((reply.status, reply.body), (200, b'new'))
        self.assertEqual(reply.headers['x-request-id'], 'o1')

    async def test_bytes_after_answer_are_discarded(self) -> None:
        async def answer_twice(received: ReceivedRequest) -> None:
            received.answer(body=b'mine')
            received.answer(body=b'more')

        self.targets['t-1'].script = answer_twice
        bodies = [(await self.read(f'e{number}')).body for number in range(4)]
        self.assertEqual(bodies, [b'mine'] * 4)

    async def test_early_answer_to_a_long_body(self) -> None:
        async def answer(received: ReceivedRequest) -> None:
            received.answer(413, b'too long')

        self.targets['o-1'].script = answer
        raw_request = request('/orders/x', 'long', 'POST', b'x' * 90000)
        reply = await self.send_raw(self.daemon, raw_request)
        self.assertEqual(reply.status, 413)

    async def test_silent_target_times_out(self) -> None:
        async def hang(_received: ReceivedRequest) -> None:
            await asyncio.sleep(5)

        reply = await self.reply_to(hang)
        self.assertEqual(reply.status, 504)


class TestRetries(edge_daemon_case.EdgeDaemonCase):
    """Which requests are retried at another target.

    A non-idempotent request that may have run must not be sent again.
    """

    async def start(self, script: scripted_target.Script) -> None:
        """Start a bad and a good target for each service."""
        for service in ('reads', 'orders'):
            await self.add_target(f'{service}-bad', service, script)
            await self.add_target(f'{service}-good', service, zone='b')
        self.daemon = await self.start_daemon()

    async def send(self, service: str) -> edge_daemon_case.Reply:
        """Send a request, first to the bad target of its service."""
        bad = self.targets[f'{service}-bad']
        method = 'POST' if service == 'orders' else 'GET'
        raw_request = request(f'/{service}/x', 'r', method)
        reply = await self.send_raw(self.daemon, raw_request)
        self.assertEqual(bad.arrival_counts['r'], 1)
        return reply

    def count_arrivals(self, service: str) -> int:
        """Return how often a service's targets got the request."""
        return sum(
            self.targets[f'{service}-{suffix}'].arrival_counts['r']
            for suffix in ('bad', 'good')
        )

    async def test_failed_read_is_retried_at_another_target(self) -> None:
        async def fail(received: ReceivedRequest) -> None:
            received.answer(500, b'')

        await self.start(fail)
        self.assertEqual((await self.send('reads')).status, 200)
        self.assertEqual(self.count_arrivals('reads'), 2)

    async def test_order_that_may_have_run_is_not_retried(self) -> None:
        async def reset(received: ReceivedRequest) -> None:
            received.reset()

        await self.start(reset)
        self.assertEqual((await self.send('orders')).status, 502)
        self.assertEqual(self.count_arrivals('orders'), 1)

    async def test_failed_order_is_not_retried(self) -> None:
        async def fail(received: ReceivedRequest) -> None:
            received.answer(500, b'')

        await self.start(fail)
        self.assertEqual((await self.send('orders')).status, 500)
        self.assertEqual(self.count_arrivals('orders'), 1)

    async def test_refused_order_is_retried_at_another_target(self) -> None:
        async def refuse(received: ReceivedRequest) -> None:
            received.refuse()

        await self.start(refuse)
        self.assertEqual((await self.send('orders')).status, 200)
        self.assertEqual(self.count_arrivals('orders'), 2)

    async def test_misdirected_order_is_retried_at_another_target(self) -> None:
        async def misdirect(received: ReceivedRequest) -> None:
            received.writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                b'X-Instance-Id: other\r\nContent-Length: 0\r\n\r\n',
            )

        await self.start(misdirect)
        self.assertEqual((await self.send('orders')).status, 200)

    async def test_order_reaches_target_beside_unreachable_one(self) -> None:
        await self.add_target('orders-good', 'orders', zone='b')
        unreachable = platform_objects.target(
            'orders', edge_daemon_case.free_port()
        )
        await self.source.apply_change(
            'servers',
            edge_daemon_case.source.Entry('orders-dead', unreachable),
        )
        self.daemon = await self.start_daemon()
        raw_request = request('/orders/x', 'r', 'POST')
        self.assertEqual(
            (await self.send_raw(self.daemon, raw_request)).status, 200
        )

    async def test_refusal_by_all_targets(self) -> None:
        async def refuse(received: ReceivedRequest) -> None:
            received.refuse()

        await self.add_target('orders-bad', 'orders', refuse)
        self.daemon = await self.start_daemon()
        raw_request = request('/orders/x', 'r', 'POST')
        reply = await self.send_raw(self.daemon, raw_request)
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers['retry-after']), 0)

    async def test_attempts_are_bounded(self) -> None:
        async def fail(received: ReceivedRequest) -> None:
            received.answer(500, b'')

        for number in range(4):
            await self.add_target(f'reads-{number}', 'reads', fail)
        self.daemon = await self.start_daemon()
        reply = await self.send_raw(self.daemon, request('/reads/x', 'r'))
        self.assertEqual(reply.status, 500)
        arrival_count = sum(
            target.arrival_counts['r'] for target in self.targets.values()
        )
        self.assertEqual(arrival_count, 2)

    async def test_retry_gets_remaining_deadline(self) -> None:
        async def fail_late(received: ReceivedRequest) -> None:
            await asyncio.sleep(0.3)
            received.answer(500, b'')

        await self.start(fail_late)
        await self.send('reads')
        first = self.targets['reads-bad'].received[0].headers['x-deadline-ms']
        second = self.targets['reads-good'].received[0].headers['x-deadline-ms']
        self.assertLessEqual(int(second), int(first) - 250)
