"""The store is silent for a moment; the next withdrawal of a key is missed."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import testbed as testbeds

SILENT_FROM_SECONDS = 0.25
"""Start of the silence, after the ack of a configuration."""
SILENT_SECONDS = 0.4
STABLE_SECONDS = 4.0
"""Time from the end of the silence to the withdrawal: `stabilityWindowS`, and a
second."""
APPLY_SECONDS = 2.0
"""`configApplyS`."""
PROBE_SECONDS = 5.0
"""Time for which the withdrawn key is tried after `APPLY_SECONDS`."""
ROUNDS = 6
ROUND_SECONDS = 14.5


async def play(testbed, has_trouble):
    record = testbed.record
    routes = [testbeds.route('read', '/read/', 'idempotent', 'profiles')]
    version = 7

    async def configure(keys):
        nonlocal version
        version += 2
        content = testbeds.configuration(version, routes, ['profiles'], keys)
        await testbed.store.put('config', 'main', content)
        record.write(f'operator: version {version} acked, keys {keys}')

    await configure([testbeds.KEY])
    for number, zone in enumerate(('amman-a', 'amman-b', 'amman-c')):
        await testbed.add_instance(
            f'i-{number}', 'profiles', 6, lambda request: 0.05, zone
        )
    testbed.add_daemons()
    for daemon in testbed.daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(6)
    late_runs = 0
    for turn in range(ROUNDS):
        started_at = record.now()
        withdrawn_key = f'withdrawn-in-round-{turn}'
        await configure([testbeds.KEY, withdrawn_key])
        await asyncio.sleep(SILENT_FROM_SECONDS)
        testbed.store.is_silent = has_trouble
        record.write(f'store: silent {has_trouble}')
        await asyncio.sleep(SILENT_SECONDS)
        testbed.store.is_silent = False
        record.write('store: answers')
        await asyncio.sleep(STABLE_SECONDS)
        await configure([testbeds.KEY])
        await asyncio.sleep(APPLY_SECONDS + 0.1)
        probes_end_at = record.now() + PROBE_SECONDS
        while record.now() < probes_end_at:
            for daemon in testbed.daemons:
                client = testbeds.Client(testbed, daemon)
                name = f'probe-{turn}-{record.now():.2f}-{daemon.name}'
                status = await client.request(
                    name, 'GET', '/read/profile', key=withdrawn_key
                )
                client.close()
                late_runs += status == 200
            await asyncio.sleep(1)
        record.write(f'round {turn}: requests run with the key: {late_runs}')
        if late_runs:
            return False
        await asyncio.sleep(ROUND_SECONDS - (record.now() - started_at))
    return True


HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

testbeds.main(__file__, play, daemon_count=3, has_trouble=HAS_TROUBLE)
