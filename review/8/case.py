"""The loss of one machine makes the other one keep instances that left."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INSTANCES = 10
LEAVING_INSTANCES = 2
ORDERS_PER_SECOND = 120
KILL_SECONDS = 1.3
LEAVE_SECONDS = 3.9
ZONE = 'zone-a'


async def main(record, folder, daemons):
    """Run the case and return its exit code."""
    store = standins.Store(record)
    instances = []
    for number in range(INSTANCES):
        instance = standins.Instance(
            f'i-{number:08x}', 'orders', ZONE, record, 0.3
        )
        await instance.start()
        instances.append(instance)
        await store.put('servers', instance.name, instance.entry())
    tenants = [
        {
            'name': 'guild',
            'apiKeys': ['key-guild'],
            'priority': 0,
            'ratePerS': 0,
            'burst': 0,
        }
    ]
    content = standins.configuration(
        7, [standins.order_route('orders')], tenants, ('orders',)
    )
    await store.put('config', 'main', content)
    seeds = [standins.daemon_ip(number) for number in (1, 2)]
    for number in (1, 2):
        store_address = await store.start(number - 1)
        daemons.append(
            standins.Daemon(number, ZONE, folder, store_address, seeds, record)
        )
        daemons[-1].start()
    await asyncio.gather(*(daemon.wait_until_ready() for daemon in daemons))
    await asyncio.sleep(5)

    clients = standins.Clients(record)
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

    # The machine that reads the list most is the one that is lost, soon after
    # an answer to the other one, whose calls wait for longer.
    answers = ([], [])
    answered = asyncio.Event()

    def note_watch(machine, kind, is_stale):
        if kind != 'servers' or is_stale:
            return
        answers[machine].append(record.now())
        own, other = answers[machine], answers[1 - machine]
        if other and len(own) > len(other) and own[-1] - other[-1] < 1.5:
            answered.set()

    store.on_watch = note_watch
    await asyncio.sleep(7)
    answered.clear()
    await asyncio.wait_for(answered.wait(), 20)
    answered_at = record.now()
    reader = max(daemons, key=lambda one: len(answers[daemons.index(one)]))
    record.write(f'{reader.name} has read the list last')
    store.on_watch = None
    await asyncio.sleep(answered_at + KILL_SECONDS - record.now())
    if HAS_TROUBLE:
        in_rotation.remove(reader)
        reader.signal(signal.SIGKILL)
        await reader.wait_for_exit()
    await asyncio.sleep(answered_at + LEAVE_SECONDS - record.now())
    acked_at = {}
    for instance in instances[:LEAVING_INSTANCES]:
        instance.is_leaving = True
        await store.put('servers', instance.name, None)
        acked_at[instance] = record.now()
        record.write(f'store acks: {instance.name} is gone')
    await asyncio.sleep(5)
    is_sending = False
    await sending
    while clients.tasks:
        await asyncio.sleep(0.1)

    by_identifier = {one.identifier: one for one in clients.outcomes}
    late = []
    for instance, moment in acked_at.items():
        for arrived_at, identifier in instance.arrivals:
            seconds = arrived_at - moment
            daemon = by_identifier[identifier].daemon
            if seconds > standins.DRAIN_SECONDS:
                late.append((seconds, daemon))
                record.write(
                    f'late: {identifier} reached {instance.name} from '
                    f'{daemon.name} {seconds:.3f} s after the ack'
                )
    by_daemon = {
        daemon.name: sum(one is daemon for _, one in late) for daemon in daemons
    }
    statuses = {}
    for one in clients.outcomes:
        statuses[one.status] = statuses.get(one.status, 0) + 1
    latest = max((seconds for seconds, _ in late), default=0)
    record.close(
        f'trouble: {HAS_TROUBLE}',
        f'orders: {len(clients.outcomes)}, answers: {statuses}',
        f'orders that reached an instance more than '
        f'{standins.DRAIN_SECONDS:g} s after the ack of its leaving: '
        f'{len(late)}, by machine {by_daemon}, the latest after {latest:.2f} s',
    )
    return 1 if late else 0


sys.exit(standins.run(main, FOLDER))
