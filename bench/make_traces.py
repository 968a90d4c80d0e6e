"""Write the example traces of the two deployments anew, from a seed."""

import itertools
import pathlib
import random
import typing

import orjson

SEED = 7
SAMPLES = pathlib.Path(__file__).parent.parent / 'samples'
SECONDS = 12

Json = dict[str, typing.Any]

OUTCOMES = {
    'most_runs_twice': 0,
    'most_not_run_false': 0,
    'most_crossed': 0,
    'most_keys_seen': 0,
    'most_over_rate': 0,
    'most_unanswered': 0,
    'most_false_ejections': 0,
    'least_worst_ratio': 0.99,
    'least_score_share': 1.0,
}

DEPLOYMENTS: dict[str, Json] = {
    'brimweave': {
        'reads': ('/stock/braid-{}', '/cards/card-{}'),
        'orders': '/orders/straw-{}',
        'accounts': {
            'guild-wheatbelt': 18,
            'guild-coast': 14,
            'guild-south': 9,
            'weavers-1': 3,
            'weavers-2': 3,
            'weavers-3': 2,
            'weavers-4': 1,
            'weavers-5': 1,
        },
    },
    'hejaz': {
        'reads': ('/profiles/rail-{}', '/windows/line-{}'),
        'orders': '/bookings/slot-{}',
        'accounts': {
            'trust-north': 18,
            'trust-south': 14,
            'contractor-1': 5,
            'contractor-2': 4,
            'contractor-3': 3,
            'contractor-4': 2,
            'contractor-5': 1,
            'contractor-6': 1,
        },
    },
}


def arrivals(chance: random.Random, rate: float) -> typing.Iterator[float]:
    """Yield arrival times of one account until the end of the trace."""
    at = chance.expovariate(rate)
    while at < SECONDS:
        yield round(at, 4)
        at += chance.expovariate(rate)


def requests(name: str, chance: random.Random) -> list[Json]:
    """Return the requests of a deployment, in order of time."""
    held = DEPLOYMENTS[name]
    numbers = itertools.count(1)
    found = [
        request(held, account, at, next(numbers), chance)
        for account, rate in held['accounts'].items()
        for at in arrivals(chance, rate)
    ]
    return sorted(found, key=lambda line: line['at'])


def request(
    held: Json,
    account: str,
    at: float,
    number: int,
    chance: random.Random,
) -> Json:
    """Return one request: one in five is an order."""
    line: Json = {'at': at, 'account': account}
    if chance.random() < 0.2:
        line['method'] = 'POST'
        line['path'] = held['orders'].format(number)
        line['order'] = f'order-{number}'
        line['size'] = 200
    else:
        line['path'] = chance.choice(held['reads']).format(number % 50)
    return line


def main() -> None:
    """Write one trace for each deployment."""
    for name in DEPLOYMENTS:
        head = {
            'trace': f'{name}-calm',
            'deployment': name,
            'seconds': SECONDS,
            'outcomes': OUTCOMES,
        }
        lines = [head, *requests(name, random.Random(SEED))]
        path = SAMPLES / name / 'trace.jsonl'
        path.write_bytes(b''.join(orjson.dumps(line) + b'\n' for line in lines))


if __name__ == '__main__':
    main()
