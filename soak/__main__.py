"""Run the soak: python -m soak [--seed N ...] [--seconds S] [--daemons N]."""

import argparse
import asyncio
import pathlib
import random
import sys

from soak import runner

MAX_SHOWN_FINDINGS = 20
REGRESSIONS = pathlib.Path(__file__).with_name('seeds.txt')


def report(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed, print what came of it, return what was broken."""
    logs = pathlib.Path(options.logs) / str(seed) if options.logs else None
    size = runner.Size(options.seconds, options.daemons, options.callers)
    outcome = asyncio.run(runner.run(seed, size, logs=logs))
    print(
        f'seed {seed}: {outcome.sent} sent, {outcome.served} served,'
        f' {outcome.faults}, {len(outcome.findings)} findings,'
        f' logs in {outcome.logs}',
        flush=True,
    )
    for finding in outcome.findings[:MAX_SHOWN_FINDINGS]:
        print(f'  {finding}', flush=True)
    return outcome.findings


def main() -> None:
    """Run seeds one after the other; exit with 1 if one broke a promise."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seed', type=int, nargs='*', default=[])
    parser.add_argument('--fresh', type=int, default=0)
    parser.add_argument('--regressions', action='store_true')
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--daemons', type=int, default=6)
    parser.add_argument('--callers', type=int, default=24)
    parser.add_argument('--logs', default='')
    options = parser.parse_args()
    seeds = list(options.seed)
    if options.regressions:
        seeds.extend(read_regressions())
    draw = random.SystemRandom()
    seeds.extend(draw.randrange(10**6) for _ in range(options.fresh))
    broken = [seed for seed in seeds if report(seed, options)]
    print(f'{len(seeds) - len(broken)} of {len(seeds)} seeds held')
    sys.exit(bool(broken))


def read_regressions() -> list[int]:
    """Return the seeds that once failed."""
    lines = REGRESSIONS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


if __name__ == '__main__':
    main()
