"""Probing of targets, divided among the daemons."""

import asyncio
import random

from sapphirepaddle import clock
from sapphirepaddle.fleet import observation_exchange
from sapphirepaddle.gateway import attempt, dispatch, target_client
from sapphirepaddle.routing import result, target_view, fair_queue
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters

HTTP_OK = 200


class Prober:
    """Probes the targets of the services that fall to this VM.

    A probe that fails is evidence like a failed request. One that succeeds
    is not: health endpoints lag and mislead.

    Attributes:
        settings: Times of probes.
        dispatcher: Gives the client of a target.
        exchange: Tells which services this VM probes.
        counters: Totals for metrics.
    """

    def __init__(
        self,
        settings: entry.RoutingSettings,
        dispatcher: dispatch.Dispatcher,
        exchange: observation_exchange.ObservationExchange,
        totals: counters.Counters,
    ) -> None:
        """Store the parts."""
        self.settings = settings
        self.dispatcher = dispatcher
        self.exchange = exchange
        self.counters = totals

    async def run(self) -> None:
        """Probe again and again, at times spread by chance."""
        while True:
            pause = self.settings.probe_seconds * (0.5 + random.random())
            await asyncio.sleep(pause)
            rooms = list(self.dispatcher.routing_table.queues.items())
            await asyncio.gather(
                *(
                    self.probe(room, held)
                    for service, room in rooms
                    if self.exchange.is_prober(service)
                    for held in list(room.pool.views.values())
                    if held.outstanding == 0
                ),
            )

    async def probe(
        self,
        room: fair_queue.FairQueue,
        held: target_view.TargetView,
    ) -> None:
        """Probe one target."""
        self.counters.add('probes')
        sending = target_client.OutgoingRequest(
            'GET',
            room.pool.service.probe_path,
            {},
            b'',
            self.settings.probe_timeout_seconds,
            attempt.Attempt(f'{self.dispatcher.identifier_prefix}-probe'),
        )
        client = self.dispatcher.get_client(held, room.pool.service)
        try:
            received = await client.send(sending)
        except attempt.AttemptFailedError as error:
            if error.fault is not attempt.Fault.CROSSED:
                held.record_result(result.Result.UNREACHABLE, clock.monotonic())
            return
        if received.status != HTTP_OK:
            held.record_result(result.Result.ERROR, clock.monotonic())
