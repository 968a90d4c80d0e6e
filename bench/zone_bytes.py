"""Bytes that the daemons of a zone send each other, by the size of the zone.

Run with python -m bench.zone_bytes. Payload of datagrams, counted in memory on
virtual time: each daemon records two results a second, and no other zone sends.
"""

import itertools
import typing

from sapphirepaddle.directory import revisions
from sapphirepaddle.peers import count_exchange, digest, digest_codec
from tests.support import pooling_case

ZONE_SIZES: typing.Final = (16, 33, 69, 98)
SECONDS: typing.Final = 4
TICKS_PER_RESULT: typing.Final = 10
REGISTRATION_BYTES: typing.Final = 300
"""Typical size of a registration as the store serves it."""


def measure(zone_size: int) -> tuple[float, float, float]:
    """Return what a zone with some daemons sends.

    Returns:
        Kilobytes per second of the daemon that sends most, of the median one,
        and datagrams that each daemon receives per second.
    """
    case = pooling_case.PoolingCase()
    case.zones = ('a',) * zone_size
    case.setUp()
    network = case.network
    network.bytes_by_sender.clear()
    datagrams_before = network.datagrams_sent
    ends_at = case.now + SECONDS
    for tick in itertools.count():
        case.now += count_exchange.SAME_ZONE_BATCH_SECONDS + 0.001
        if case.now > ends_at:
            break
        for number, daemon in enumerate(case.daemons):
            if (tick + number) % TICKS_PER_RESULT == 0:
                target = daemon.directory.find_target('t-1')
                target.record_answer(is_good=True, now=case.now)
                daemon.record_send_end(target, is_bad=False)
            daemon.send_due(case.now)
    case.doCleanups()
    rates = sorted(
        network.bytes_by_sender[f'host-{number}'] / SECONDS / 1000
        for number in range(zone_size)
    )
    datagrams = network.datagrams_sent - datagrams_before
    return rates[-1], rates[zone_size // 2], datagrams / SECONDS / zone_size


def relay_kilobytes(zone_size: int) -> float:
    """Return what a reader sends to relay one change, in kilobytes."""
    change = digest.RegistrationChange(
        'i-0123456789', b'x' * REGISTRATION_BYTES
    )
    message = digest.RegistrationChanges(
        base_fingerprint=1,
        revision=revisions.Revision(0, 1),
        is_last=True,
        changes=(change,),
    )
    return len(digest_codec.encode(message)) * (zone_size - 1) / 1000


def main() -> None:
    """Print a row for each size."""
    for zone_size in ZONE_SIZES:
        busiest, median, datagrams = measure(zone_size)
        row = (
            f'{busiest:.0f}',
            f'{median:.1f}',
            f'{datagrams:.0f}',
            f'{relay_kilobytes(zone_size):.1f}',
        )
        print(f'| {zone_size} | {" | ".join(row)} |')


if __name__ == '__main__':
    main()
