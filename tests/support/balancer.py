"""A load balancer whose list of ready daemons lags behind."""

import asyncio
import typing

from sapphirepaddle.replay import sender, trace
from sapphirepaddle.standins import fleet

LAG_SECONDS = 0.3


class BalancedSender(sender.Sender):
    """Sends each request to a daemon that was ready some time ago.

    Attributes:
        fleet: The fleet whose daemons are polled.
        ready_urls: Caller URLs of the daemons that were ready at a poll
            LAG_SECONDS ago or earlier.
    """

    fleet: fleet.Fleet
    ready_urls: list[str]

    async def run(self, request_trace: trace.Trace, progress: bool) -> None:
        """Send all requests of a trace while polling for ready daemons."""
        self.ready_urls = list(self.environment.callers)
        poll_task = asyncio.create_task(self.poll_ready())
        await super().run(request_trace, progress)
        poll_task.cancel()

    async def poll_ready(self) -> None:
        """Poll the readiness of all daemons.

        A new list is used only LAG_SECONDS after its poll.
        """
        while True:
            urls = [
                addresses.callers_url
                for addresses in self.fleet.daemons.values()
                if await asyncio.to_thread(
                    fleet.has_success_answer,
                    f'{addresses.operators_url}/ready',
                )
            ]
            await asyncio.sleep(LAG_SECONDS)
            self.ready_urls = urls

    async def exchange(
        self,
        request: trace.Request,
        sending_id: str,
        index: int,
    ) -> tuple[int, typing.Any, bytes]:
        """Send a request to one of the daemons in the current list."""
        callers = tuple(self.ready_urls)
        self.environment = self.environment.model_copy(
            update={'callers': callers}
        )
        return await super().exchange(request, sending_id, index)
