"""Tests of answers that look like refusals and do not prove it."""

from tests.edge import test_requests
from tests.support import scripted_target


class TestUnprovedRefusals(test_requests.OneTargetCase):
    """An order whose answer does not prove that it did not run may have run.

    It must neither be sent to another target nor be refused as not run. A
    faulty target answers with a status of refusals after it ran the order.
    """

    async def asyncSetUp(self) -> None:
        """Start a second target for orders."""
        await super().asyncSetUp()
        await self.add_target('o-2', 'orders')

    async def check(self, status: int, *lines: str, stamp: str = '') -> None:
        """Check an order that each target answers in this way."""

        async def answer(received: scripted_target.ReceivedRequest) -> None:
            received.writer.write(received.head(status, 0, *lines, stamp=stamp))

        for name in ('o-1', 'o-2'):
            self.targets[name].script = answer
        reply = await self.order()
        self.assertEqual(reply.status, 502)
        arrivals = sum(
            self.targets[name].arrival_counts['o1'] for name in ('o-1', 'o-2')
        )
        self.assertEqual(arrivals, 1)

    async def test_status_of_misdirected_requests_alone(self) -> None:
        await self.check(421)

    async def test_misdirected_request_at_the_expected_target(self) -> None:
        for name in ('o-1', 'o-2'):
            self.targets[name].script = self.answer_as(name)
        reply = await self.order()
        self.assertEqual(reply.status, 502)

    async def test_refusal_with_the_stamp_of_a_run(self) -> None:
        await self.check(503, 'X-Not-Executed: 1', stamp='stamp')

    async def test_success_that_says_not_run(self) -> None:
        await self.check(200, 'X-Not-Executed: 1')

    def answer_as(self, name: str) -> scripted_target.Script:
        """Return a script that answers 421 under a name."""

        async def answer(received: scripted_target.ReceivedRequest) -> None:
            received.writer.write(
                received.head(421, 0, f'X-Instance-Id: {name}', stamp='')
            )

        return answer
