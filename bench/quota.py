"""Comparison of strategies to limit a client account over all daemons.

Run with python -m bench.quota. The same trace runs on virtual time at 36
daemons with skewed arrivals: half of the requests go to one sixth of the
daemons. In "owners lost" three daemons fail at the sixth second while the
platform does not answer, so that no other daemon can take over their
partitions. "At most 6 parts of 10" splits an account into shards at no more
than six owners, each with a burst of at least ten.
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
from sapphirepaddle.limits import quota_limiter, quota_shard
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
    """Static split: each daemon admits an equal, fixed share of the quota.

    Attributes:
        daemons: Number of daemons.
        buckets: Share of this daemon by client account.
    """

    def __init__(self, daemons: int) -> None:
        """Initialize a limiter without accounts."""
        self.daemons = daemons
        self.buckets: dict[str, quota_shard.QuotaShard] = {}

    async def admit(self, account: client_account.ClientAccount) -> None:
        """Admit a request within this daemon's share.

        A share of the burst below one request is rounded up, as otherwise a
        small account would never be served.

        Raises:
            RefusedError: If the share is used up.
        """
        now = clock.monotonic()
        bucket = self.buckets.get(account.name)
        if bucket is None:
            burst_share = max(1, account.burst / self.daemons)
            bucket = quota_shard.QuotaShard(
                account.rate / self.daemons,
                burst_share,
                now - burst_share * self.daemons / account.rate,
            )
            self.buckets[account.name] = bucket
        bucket.accrue(now)
        if bucket.available < 1:
            raise errors.RefusedError(codes.OVER_RATE)
        bucket.available -= 1


class QuotaSimulation(policy_simulation.Simulation):
    """A deployment with one of the strategies.

    Attributes:
        strategy: Name of the strategy.
        lost_vms: VMs that get no more requests.
    """

    def __init__(self, deployment: str, strategy: str, scenario: str) -> None:
        """Create the deployment with the policy "ours"."""
        self.strategy = strategy
        self.lost_vms: set[str] = set()
        super().__init__(deployment, 'ours', scenario, policy.DAEMONS)
        self.policy = strategy

    def create_limiter(
        self,
        settings: entry.LimitSettings,
        node: policy_simulation.Node,
        daemon_counters: counters.Counters,
    ) -> limiter.Limiter:
        """Create the limiter of client accounts of a daemon."""
        if self.strategy == 'static split':
            return StaticLimiter(policy.DAEMONS)
        shard_settings = settings.model_copy(
            update=STRATEGY_SETTINGS[self.strategy]
        )
        node.owner.settings = shard_settings
        return quota_limiter.QuotaLimiter(
            shard_settings, node.owner, node.mesh, daemon_counters
        )

    def choose_node(self) -> policy_simulation.Node:
        """Return the daemon that gets the next request, with skew."""
        live_nodes = [
            node
            for node in self.nodes
            if node.members.local_vm not in self.lost_vms
        ]
        busy_nodes = live_nodes[: len(live_nodes) // 6]
        return self.rng.choice(
            busy_nodes if self.rng.random() < 0.5 else live_nodes,
        )

    async def inject_faults(self) -> None:
        """Make some quota owners unreachable in the scenario "owners lost"."""
        await asyncio.sleep(policy_simulation.FAULT_AT_SECONDS)
        if self.scenario == 'owners lost':
            for node in self.nodes[-LOST_OWNERS:]:
                self.lost_vms.add(node.members.local_vm)
                node.mesh.message_handlers[messages.TokenRequest] = never_answer


async def never_answer(_body: object, _sender: str) -> None:
    """Delay the answer beyond the end of the run."""
    await asyncio.sleep(3600)


def measure(
    deployment: str, scenario: str, strategy: str, seed: int
) -> policy.Row:
    """Run one scenario with one strategy and a seed."""
    policy_simulation.SEED.number = seed
    policy.silence_logs()
    return policy.run_simulation(
        functools.partial(QuotaSimulation, deployment, strategy, scenario),
    )


def main() -> None:
    """Run all scenarios, print a table and write it to docs/design."""
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
        group_rows = [row for _, row in group]
        worst = statistics.median(row.worst_ratio for row in group_rows)
        refused = statistics.median(
            row.refused_within_rate for row in group_rows
        )
        lines.append(
            f'| {" | ".join(key)} | {worst:.3f} | {refused:g} |',
        )
    print('\n'.join(lines))
    folder = pathlib.Path(__file__).parent.parent / 'docs' / 'design'
    text = '\n'.join([f'Seeds {SEEDS}, medians.', '', *lines, ''])
    (folder / 'quota-figures.md').write_text(f'# Quota figures\n\n{text}')


if __name__ == '__main__':
    main()
