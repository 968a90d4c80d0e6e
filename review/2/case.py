"""A planned stop under load: an order that waits for room is cut off."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import testbed as testbeds

GRACE_SECONDS = 6.0
LOSS_SLACK_SECONDS = 0.2
SENT_AFTER_SIGTERM = (2.0, 2.3, 2.6, 2.8)
"""Seconds after SIGTERM at which the orders are sent; below 3."""
BUSY_SECONDS = 5.5
RETRY_AFTER_SECONDS = 1.7
FIRST_WINDOW_SECONDS = 11
"""Time after the start in which a daemon restricts its retries."""


async def play(testbed, has_trouble):
    record = testbed.record
    routes = [
        testbeds.route('book', '/book/', 'non_idempotent', 'bookings'),
    ]
    await testbed.store.put(
        'config', 'main', testbeds.configuration(7, routes, ['bookings'])
    )
    for number in range(2):
        instance = await testbed.add_instance(
            f'i-{number}', 'bookings', 2, lambda request: BUSY_SECONDS
        )
        instance.retry_after = RETRY_AFTER_SECONDS
    testbed.add_daemons()
    stopping, other = testbed.daemons
    for daemon in testbed.daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(FIRST_WINDOW_SECONDS)

    async def keep_busy(number):
        """Keep one slot busy: one order after the other, by edge-2."""
        for turn in range(3):
            client = testbeds.Client(testbed, other)
            await client.request(f'busy-{number}-{turn}', 'POST', '/book/slot')
            client.close()

    busy = [asyncio.create_task(keep_busy(number)) for number in range(4)]
    await asyncio.sleep(0.5)
    if has_trouble:
        stopping.send_signal(signal.SIGTERM)
    stop_at = record.now()

    async def order(delay):
        client = testbeds.Client(testbed, stopping)
        await asyncio.sleep(stop_at + delay - record.now())
        sent_at = record.now()
        outcome = await client.request(f'order-{delay}', 'POST', '/book/slot')
        seconds = record.now() - sent_at
        runs = sum(
            identifier == f'order-{delay}'
            for instance in testbed.instances
            for _, identifier in instance.runs
        )
        record.write(f'order-{delay}: {outcome} after {seconds:.2f} s, {runs=}')
        client.close()
        return outcome == 'closed' and seconds > LOSS_SLACK_SECONDS and not runs

    lost = await asyncio.gather(*map(order, SENT_AFTER_SIGTERM))
    for task in busy:
        task.cancel()
    await asyncio.gather(*busy, return_exceptions=True)
    record.write(f'orders lost: {sum(lost)} of {len(lost)}')
    return not any(lost)


HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

testbeds.main(__file__, play, daemon_count=2, has_trouble=HAS_TROUBLE)
