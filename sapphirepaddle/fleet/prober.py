"""Health probes of targets, divided among the daemons."""

import asyncio
import random

from sapphirepaddle import clock
from sapphirepaddle.fleet import observation_exchange
from sapphirepaddle.gateway import attempt, dispatch, target_client
from sapphirepaddle.routing import fair_queue, result, target_view
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters

HTTP_OK = 200


class Prober:
    """Probes the targets of the services assigned to this VM.

    A failed probe is evidence like a failed request. A successful one is
    not, since health endpoints lag behind and may report a faulty target as
    healthy.

    Attributes:
        settings: Interval and timeout of probes.
        dispatcher: Provides the client of a target.
        exchange: Determines which services this VM probes.
        counters: Totals for metrics.
    """

    def __init__(
        self,
        settings: entry.RoutingSettings,
        dispatcher: dispatch.Dispatcher,
        exchange: observation_exchange.ObservationExchange,
        totals: counters.Counters,
    ) -> None:
        """Initialize a prober."""
        self.settings = settings
        self.dispatcher = dispatcher
        self.exchange = exchange
        self.counters = totals

    async def run(self) -> None:
        """Probe idle targets periodically; runs until cancelled.

        The interval is drawn between 0.5 and 1.5 times `probe_seconds`, so
        that daemons do not probe at the same time.
        """
        while True:
            interval_seconds = self.settings.probe_seconds * (
                0.5 + random.random()
            )
            await asyncio.sleep(interval_seconds)
            queues = list(self.dispatcher.routing_table.queues.items())
            await asyncio.gather(
                *(
                    self.probe(queue, view)
                    for service, queue in queues
                    if self.exchange.is_prober(service)
                    for view in list(queue.pool.views.values())
                    if view.outstanding == 0
                ),
            )

    async def probe(
        self,
        queue: fair_queue.FairQueue,
        view: target_view.TargetView,
    ) -> None:
        """Probe one target and record a failure as a result."""
        self.counters.add('probes')
        request = target_client.OutgoingRequest(
            'GET',
            queue.pool.service.probe_path,
            {},
            b'',
            self.settings.probe_timeout_seconds,
            attempt.Attempt(f'{self.dispatcher.identifier_prefix}-probe'),
        )
        request.accepts_stream = False
        client = self.dispatcher.get_client(view, queue.pool.service)
        try:
            reply = await client.send(request)
        except attempt.AttemptFailedError as error:
            if error.fault is not attempt.Fault.CROSSED:
                view.record_result(result.Result.UNREACHABLE, clock.monotonic())
            return
        if reply.status != HTTP_OK:
            view.record_result(result.Result.ERROR, clock.monotonic())
