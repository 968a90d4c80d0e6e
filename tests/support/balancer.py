"""A balancer with a lagging list of ready daemons."""

import asyncio
import typing

from sapphirepaddle.replay import sender, trace
from sapphirepaddle.standins import fleet

LAG_SECONDS = 0.3


class BalancedSender(sender.Sender):
    """Sends each request to a daemon that was ready a while ago.

    Attributes:
        running: The fleet.
        ready: URLs of daemons that were ready.
    """

    fleet: fleet.Fleet
    ready_urls: list[str]

    async def run(self, recorded: trace.Trace, progress: bool) -> None:
        """Send everything while the list of ready daemons is kept."""
        self.ready_urls = list(self.environment.callers)
        keeping = asyncio.create_task(self.poll_ready())
        await super().run(recorded, progress)
        keeping.cancel()

    async def poll_ready(self) -> None:
        """Ask every daemon whether it is ready, and show it later."""
        while True:
            ready = [
                place.callers_url
                for place in self.fleet.daemons.values()
                if await asyncio.to_thread(
                    fleet.has_success_answer,
                    f'{place.operators_url}/ready',
                )
            ]
            await asyncio.sleep(LAG_SECONDS)
            self.ready_urls = ready

    async def exchange(
        self,
        request: trace.Request,
        sending: str,
        place: int,
    ) -> tuple[int, typing.Any, bytes]:
        """Send a request to one of the ready daemons."""
        callers = tuple(self.ready_urls)
        self.environment = self.environment.model_copy(
            update={'callers': callers}
        )
        return await super().exchange(request, sending, place)
