"""Tests of targets that write an earlier refusal once more."""

import asyncio

from tests.edge import test_requests
from tests.support import edge_daemon_case, scripted_target

REFUSAL = (
    'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n{}'
    'Retry-After: 5\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n'
)
WITHOUT_IDENTIFIER = REFUSAL.format('').encode()
OF_EARLIER_REQUEST = REFUSAL.format('X-Request-Id: o0\r\n').encode()


class TestRepeatedRefusals(test_requests.OneTargetCase):
    """A refusal belongs to one request only.

    Written once more on a kept connection, it must not be taken for the
    answer to a later request, which the target runs.
    """

    refusal = WITHOUT_IDENTIFIER

    async def repeat_refusal(
        self, received: scripted_target.ReceivedRequest
    ) -> None:
        """Answer, after the copy of a refusal on a connection in use again."""
        if received.identifier == 'last':
            received.writer.write(self.refusal)
            await received.writer.drain()
            await asyncio.sleep(0.05)
        received.answer(body=b'done')

    async def send_last_order(self) -> edge_daemon_case.Reply:
        """Use all targets, then send an order on a kept connection."""
        for number in range(4):
            await self.order(f'o{number}')
        return await self.order('last')

    async def test_order_runs_once_and_is_answered(self) -> None:
        await self.add_target('o-2', 'orders', self.repeat_refusal)
        self.targets['o-1'].script = self.repeat_refusal
        for refusal in (WITHOUT_IDENTIFIER, OF_EARLIER_REQUEST):
            with self.subTest(refusal=refusal):
                self.refusal = refusal
                reply = await self.send_last_order()
                self.assertEqual((reply.status, reply.body), (200, b'done'))
                arrivals = sum(
                    self.targets[name].arrival_counts.pop('last')
                    for name in ('o-1', 'o-2')
                    if 'last' in self.targets[name].arrival_counts
                )
                self.assertEqual(arrivals, 1)

    async def test_copy_in_place_of_an_answer_promises_nothing(self) -> None:
        async def answer_by_copy(
            received: scripted_target.ReceivedRequest,
        ) -> None:
            if received.identifier == 'last':
                received.writer.write(WITHOUT_IDENTIFIER)
                received.writer.close()
                return
            received.answer()

        self.targets['o-1'].script = answer_by_copy
        reply = await self.send_last_order()
        self.assertEqual(reply.status, 502)

    async def test_copy_behind_an_answer_on_a_new_connection(self) -> None:
        async def answer_others_first(
            received: scripted_target.ReceivedRequest,
        ) -> None:
            received.writer.write(
                received.head(200, 0, identifier='other') + WITHOUT_IDENTIFIER
            )
            await asyncio.sleep(0.05)
            received.answer(body=b'done')

        self.targets['o-1'].script = answer_others_first
        reply = await self.order()
        self.assertEqual((reply.status, reply.body), (200, b'done'))

    async def test_refusal_on_a_new_connection_is_trusted(self) -> None:
        async def refuse(received: scripted_target.ReceivedRequest) -> None:
            received.writer.write(WITHOUT_IDENTIFIER)

        self.targets['o-1'].script = refuse
        reply = await self.order()
        self.assertEqual(reply.status, 503)
