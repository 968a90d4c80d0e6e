"""Ways to hold a client account to its rate over all daemons, compared.

Run with python -m bench.quota. The same trace is run on virtual time at 36
daemons, requests arriving skewed: half of them at one sixth of the daemons.
In "owners lost" three daemons are gone from the sixth second on while the
platform is silent, so that nobody can take over what they held. "At most 6
parts of 10" is an account spread over at most six owners, each with a burst
of at least ten.
"""

import asyncio
import concurrent.futures
import functools
import itertools
import pathlib
import statistics

from bench import policy, policy_simulation
from sapphirepaddle import clock, codes, errors
from sapphirepaddle.gateway import limiter
from sapphirepaddle.limits import quota_shard, quota_limiter
from sapphirepaddle.objects import client_account
from sapphirepaddle.peers import messages
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import counters

STRATEGIES = (
    'static split',
    'single holder',
    'at most 12 parts of 4',
    'at most 6 parts of 10',
)
STRATEGY_SETTINGS = {
    'single holder': {'parts': 1},
    'at most 12 parts of 4': {'parts': 12, 'part_burst': 4},
    'at most 6 parts of 10': {'parts': 6, 'part_burst': 10},
}
SCENARIOS = ('calm', 'flood', 'owners lost')
SEEDS = (1, 2, 3, 4)
LOST_OWNERS = 3
WORKERS = 6


class StaticLimiter(limiter.Limiter):
    """Each daemon admits its fixed share, and nothing moves."""

    def __init__(self, daemons: int) -> None:
        """Start without accounts."""
        self.daemons = daemons
        self.buckets: dict[str, quota_shard.QuotaShard] = {}

    async def admit(self, account: client_account.ClientAccount) -> None:
        """Admit a request within this daemon's share.

        A share of the burst below one request is rounded up; else a small
        account could never be served.

        Raises:
            RefusedError: If the share is used up.
        """
        now = clock.monotonic()
        held = self.buckets.get(account.name)
        if held is None:
            share = max(1, account.burst / self.daemons)
            held = quota_shard.QuotaShard(
                account.rate / self.daemons,
                share,
                now - share * self.daemons / account.rate,
            )
            self.buckets[account.name] = held
        held.accrue(now)
        if held.available < 1:
            raise errors.RefusedError(codes.OVER_RATE)
        held.available -= 1


class QuotaSimulation(policy_simulation.Simulation):
    """A deployment with one of the ways."""

    def __init__(self, deployment: str, way: str, scenario: str) -> None:
        """Create the deployment."""
        self.strategy = way
        self.lost_vms: set[str] = set()
        super().__init__(deployment, 'ours', scenario, policy.DAEMONS)
        self.policy = way

    def create_limiter(
        self,
        settings: entry.LimitSettings,
        node: policy_simulation.Node,
        totals: counters.Counters,
    ) -> limiter.Limiter:
        """Return what limits client accounts at a daemon."""
        if self.strategy == 'static split':
            return StaticLimiter(policy.DAEMONS)
        parts = settings.model_copy(update=STRATEGY_SETTINGS[self.strategy])
        node.owner.settings = parts
        return quota_limiter.QuotaLimiter(parts, node.owner, node.mesh, totals)

    def choose_node(self) -> policy_simulation.Node:
        """Return the daemon that gets the next request; some get more."""
        alive = [
            node
            for node in self.nodes
            if node.members.local_vm not in self.lost_vms
        ]
        crowded = alive[: len(alive) // 6]
        return self.rng.choice(
            crowded if self.rng.random() < 0.5 else alive,
        )

    async def inject_faults(self) -> None:
        """Lose owners of quota."""
        await asyncio.sleep(policy_simulation.FAULT_AT_SECONDS)
        if self.scenario == 'owners lost':
            for node in self.nodes[-LOST_OWNERS:]:
                self.lost_vms.add(node.members.local_vm)
                node.mesh.message_handlers[messages.TokenRequest] = never_answer


async def never_answer(_body: object, _sender: str) -> None:
    """Never answer."""
    await asyncio.sleep(3600)


def measure(deployment: str, scenario: str, way: str, seed: int) -> policy.Row:
    """Run one scenario with one way."""
    policy_simulation.SEED.number = seed
    policy.silence_logs()
    return policy.run_simulation(
        functools.partial(QuotaSimulation, deployment, way, scenario),
    )


def main() -> None:
    """Run everything and print a table."""
    jobs = list(
        itertools.product(('brimweave', 'hejaz'), SCENARIOS, STRATEGIES, SEEDS),
    )
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as workers:
        rows = list(workers.map(measure, *zip(*jobs, strict=True)))
    lines = [
        '| deployment | scenario | way | worst account | refused within rate |',
        '|---|---|---|---|---|',
    ]
    for key, group in itertools.groupby(
        zip(jobs, rows, strict=True),
        lambda pair: pair[0][:3],
    ):
        found = [row for _, row in group]
        worst = statistics.median(row.worst_ratio for row in found)
        refused = statistics.median(row.refused_within_rate for row in found)
        lines.append(
            f'| {" | ".join(key)} | {worst:.3f} | {refused:g} |',
        )
    print('\n'.join(lines))
    folder = pathlib.Path(__file__).parent.parent / 'docs' / 'design'
    text = '\n'.join([f'Seeds {SEEDS}, medians.', '', *lines, ''])
    (folder / 'quota-figures.md').write_text(f'# Quota figures\n\n{text}')


if __name__ == '__main__':
    main()
