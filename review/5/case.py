"""A planned stop discards answers that wait behind a slow one."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import testbed as testbeds

SENT_AFTER_SIGTERM = (0.3, 0.6, 0.9, 1.2)
"""Seconds after SIGTERM at which two reads are sent on one connection."""
SLOW_SECONDS = 5.5
QUICK_SECONDS = 0.1


async def play(testbed, has_trouble):
    record = testbed.record
    routes = [
        testbeds.route(
            'read',
            '/read/',
            'idempotent',
            'windows',
            timeoutS=10,
            maxAttempts=1,
        )
    ]
    await testbed.store.put(
        'config', 'main', testbeds.configuration(7, routes, ['windows'])
    )
    for number in range(2):
        await testbed.add_instance(
            f'i-{number}',
            'windows',
            6,
            lambda request: (
                SLOW_SECONDS if 'slow' in request.first_line else QUICK_SECONDS
            ),
        )
    testbed.add_daemons()
    stopping = testbed.daemons[0]
    for daemon in testbed.daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(5)
    clients = [testbeds.Client(testbed, stopping) for _ in SENT_AFTER_SIGTERM]
    for number, client in enumerate(clients):
        await client.request(f'first-{number}', 'GET', '/read/quick')
    if has_trouble:
        stopping.send_signal(signal.SIGTERM)
    stop_at = record.now()

    async def read_two(client, delay):
        """Send two reads at once; return whether the quick one was lost."""
        await asyncio.sleep(stop_at + delay - record.now())
        slow = asyncio.create_task(
            client.request(f'slow-{delay}', 'GET', '/read/slow')
        )
        await asyncio.sleep(0)
        record.write(f'client: quick-{delay} GET /read/quick behind it')
        headers = (
            ('Host', testbeds.HOST),
            ('X-Request-Id', f'quick-{delay}'),
            ('X-Deadline-Ms', '20000'),
            ('Authorization', f'Bearer {testbeds.KEY}'),
        )
        client.writer.write(
            testbeds.render('GET /read/quick HTTP/1.1', headers)
        )
        await slow
        try:
            answer = await testbeds.read_message(client.reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            answer = None
        outcome = answer.first_line if answer else 'closed without an answer'
        runs = sum(
            identifier == f'quick-{delay}'
            for instance in testbed.instances
            for _, identifier in instance.runs
        )
        record.write(f'client: quick-{delay} {outcome}, {runs=}')
        client.close()
        return answer is None and runs > 0

    lost = await asyncio.gather(*map(read_two, clients, SENT_AFTER_SIGTERM))
    record.write(
        f'reads that were answered by an instance and lost: {sum(lost)}'
    )
    return not any(lost)


HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

testbeds.main(__file__, play, daemon_count=2, has_trouble=HAS_TROUBLE)
