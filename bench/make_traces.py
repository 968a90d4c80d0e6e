"""Generate the sample traces of the two deployments from a fixed seed."""

import itertools
import pathlib
import random
import typing

import orjson

SEED = 7
SAMPLES_FOLDER = pathlib.Path(__file__).parent.parent / 'samples'
TRACE_SECONDS = 12

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


def arrival_times(rng: random.Random, rate: float) -> typing.Iterator[float]:
    """Yield the arrival times of one account in seconds, a Poisson process."""
    at = rng.expovariate(rate)
    while at < TRACE_SECONDS:
        yield round(at, 4)
        at += rng.expovariate(rate)


def create_requests(deployment_name: str, rng: random.Random) -> list[Json]:
    """Return the requests of a deployment, sorted by time."""
    deployment = DEPLOYMENTS[deployment_name]
    numbers = itertools.count(1)
    unsorted_requests = [
        create_request(deployment, account, at, next(numbers), rng)
        for account, rate in deployment['accounts'].items()
        for at in arrival_times(rng, rate)
    ]
    return sorted(unsorted_requests, key=lambda entry: entry['at'])


def create_request(
    deployment: Json,
    account: str,
    at: float,
    number: int,
    rng: random.Random,
) -> Json:
    """Return one request; one in five is an order."""
    entry: Json = {'at': at, 'account': account}
    if rng.random() < 0.2:
        entry['method'] = 'POST'
        entry['path'] = deployment['orders'].format(number)
        entry['order'] = f'order-{number}'
        entry['size'] = 200
    else:
        entry['path'] = rng.choice(deployment['reads']).format(number % 50)
    return entry


def main() -> None:
    """Write a trace for each deployment."""
    for name in DEPLOYMENTS:
        header = {
            'trace': f'{name}-calm',
            'deployment': name,
            'seconds': TRACE_SECONDS,
            'outcomes': OUTCOMES,
        }
        lines = [header, *create_requests(name, random.Random(SEED))]
        path = SAMPLES_FOLDER / name / 'trace.jsonl'
        path.write_bytes(b''.join(orjson.dumps(line) + b'\n' for line in lines))


if __name__ == '__main__':
    main()
