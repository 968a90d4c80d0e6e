"""Command line of the soak test.

python -m soak [--seed N ...] [--fresh N] [--regressions] [--seconds S]
[--daemons N] [--callers N] [--returns] [--logs FOLDER]
"""

import argparse
import asyncio
import pathlib
import random
import sys

from soak import runner

MAX_SHOWN_FINDINGS = 20
REGRESSIONS_PATH = pathlib.Path(__file__).with_name('seeds.txt')


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed, print its result and return the findings."""
    logs = pathlib.Path(options.logs) / str(seed) if options.logs else None
    size = runner.Size(
        options.seconds, options.daemons, options.callers, options.returns
    )
    result = asyncio.run(runner.run(seed, size, logs=logs))
    print(
        f'seed {seed}: {result.sent} sent, {result.served} served,'
        f' {result.faults}, {len(result.findings)} findings,'
        f' logs in {result.logs}',
        flush=True,
    )
    for finding in result.findings[:MAX_SHOWN_FINDINGS]:
        print(f'  {finding}', flush=True)
    return result.findings


def main() -> None:
    """Run the seeds one after the other; exit with 1 if any has findings."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seed', type=int, nargs='*', default=[])
    parser.add_argument('--fresh', type=int, default=0)
    parser.add_argument('--regressions', action='store_true')
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--daemons', type=int, default=6)
    parser.add_argument('--callers', type=int, default=24)
    parser.add_argument('--returns', action='store_true')
    parser.add_argument('--logs', default='')
    options = parser.parse_args()
    seeds = list(options.seed)
    if options.regressions:
        seeds.extend(read_regressions())
    rng = random.SystemRandom()
    seeds.extend(rng.randrange(10**6) for _ in range(options.fresh))
    failed_seeds = [seed for seed in seeds if run_seed(seed, options)]
    print(f'{len(seeds) - len(failed_seeds)} of {len(seeds)} seeds passed')
    sys.exit(bool(failed_seeds))


def read_regressions() -> list[int]:
    """Return the seeds of earlier failures, listed in seeds.txt."""
    lines = REGRESSIONS_PATH.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


if __name__ == '__main__':
    main()
