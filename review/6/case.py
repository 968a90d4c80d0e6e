"""An instance starts to leave while a daemon reads the pages of the list."""

import asyncio
import os
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
OTHER_INSTANCES = 600
ORDER_INSTANCES = 20
LEAVING_INSTANCES = 4
LINK_BYTES_PER_SECOND = 625_000  # 5 Mbit/s
SERVES_ON_SECONDS = 8.0
ORDERS_PER_SECOND = 100
WORK_SECONDS = 0.5


async def main(record, folder, daemons):
    """Run the case and return its exit code."""
    store = standins.Store(record)
    store_address = await store.start()
    instances = []
    names = sorted(
        f'i-{random.getrandbits(40):010x}'
        for _ in range(OTHER_INSTANCES + ORDER_INSTANCES)
    )
    # Evenly spread over the list; those that leave are on its first page.
    step = len(names) // ORDER_INSTANCES
    order_names = set(names[::step][:ORDER_INSTANCES])
    for number, name in enumerate(names):
        service = 'orders' if name in order_names else 'lookups'
        instance = standins.Instance(
            name, service, standins.ZONES[number % 3], record, WORK_SECONDS
        )
        await instance.start()
        instances.append(instance)
        await store.put('servers', name, instance.entry())
    orders = [one for one in instances if one.service == 'orders']
    leaving = orders[1 : 1 + LEAVING_INSTANCES]
    tenants = [
        {
            'name': 'guild',
            'apiKeys': ['key-guild'],
            'priority': 0,
            'ratePerS': 0,
            'burst': 0,
        }
    ]
    routes = [standins.order_route('orders'), standins.order_route('lookups')]
    content = standins.configuration(7, routes, tenants, ('orders', 'lookups'))
    await store.put('config', 'main', content)
    store.bytes_per_second = LINK_BYTES_PER_SECOND

    seeds = [standins.daemon_ip(number) for number in (1, 2, 3)]
    for number in range(1, 5):
        zone = standins.ZONES[(number - 1) // 2]
        daemons.append(
            standins.Daemon(number, zone, folder, store_address, seeds, record)
        )
        daemons[-1].start()
    await asyncio.gather(*(daemon.wait_until_ready() for daemon in daemons))
    await asyncio.sleep(5)

    clients = standins.Clients(record)
    restarted = daemons[1]
    in_rotation = list(daemons)
    is_sending = True

    async def send_orders():
        number = 0
        while is_sending:
            daemon = in_rotation[number % len(in_rotation)]
            clients.send(daemon, f'/orders/{number}', 'key-guild')
            number += 1
            await asyncio.sleep(1 / ORDERS_PER_SECOND)

    sending = asyncio.create_task(send_orders())
    await asyncio.sleep(3)

    first_page_read = asyncio.Event()
    acked_at = 0.0

    def note_page(kind, after, is_truncated):
        if kind == 'servers' and not after and is_truncated:
            first_page_read.set()

    if HAS_TROUBLE:
        in_rotation.remove(restarted)
        restarted.signal(signal.SIGTERM)
        await restarted.wait_for_exit()
        store.on_page = note_page
        restarted.start()
        await asyncio.wait_for(first_page_read.wait(), 20)
        store.on_page = None
    await asyncio.sleep(0.05)
    for instance in leaving:
        instance.is_leaving = True
        # The last one never reports draining: its entry is removed.
        is_removed = instance is leaving[-1]
        entry = None if is_removed else instance.entry()
        await store.put('servers', instance.name, entry)
        acked_at = record.now()
        state = 'gone' if is_removed else 'draining'
        record.write(f'store acks: {instance.name} is {state}')
    if HAS_TROUBLE:
        await restarted.wait_until_ready()
        in_rotation.append(restarted)
    await asyncio.sleep(acked_at + SERVES_ON_SECONDS - record.now())
    for instance in leaving:
        instance.exit()
        record.write(f'{instance.name} exits')
        await store.put('servers', instance.name, None)
    await asyncio.sleep(1.5)
    is_sending = False
    await sending
    while clients.tasks:
        await asyncio.sleep(0.1)

    by_identifier = {one.identifier: one for one in clients.outcomes}
    late = []
    for instance in leaving:
        for arrived_at, identifier in instance.arrivals:
            outcome = by_identifier[identifier]
            in_touch_at = outcome.daemon.started_at + standins.STABILITY_SECONDS
            is_late = arrived_at > acked_at + standins.DRAIN_SECONDS
            if is_late and outcome.sent_at > in_touch_at:
                late.append((arrived_at - acked_at, outcome, instance))
    for seconds, outcome, instance in late:
        record.write(
            f'late: {outcome.identifier} reached {instance.name} from '
            f'{outcome.daemon.name} {seconds:.2f} s after the ack, answered '
            f'{outcome.status}'
        )
    by_daemon = {
        daemon.name: sum(one.daemon is daemon for _, one, _ in late)
        for daemon in daemons
    }
    lost = [one for _, one, _ in late if one.status != 200]
    statuses = {}
    for one in clients.outcomes:
        statuses[one.status] = statuses.get(one.status, 0) + 1
    record.close(
        f'trouble: {HAS_TROUBLE}',
        f'orders: {len(clients.outcomes)}, answers: {statuses}',
        f'orders that reached a leaving instance more than '
        f'{standins.DRAIN_SECONDS:g} s after the ack, from machines in touch: '
        f'{len(late)}, by machine {by_daemon}',
        f'of these lost when the instance ended: {len(lost)}',
    )
    return 1 if late else 0


sys.exit(standins.run(main, FOLDER))
