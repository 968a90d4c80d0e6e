"""Run proofs with their mechanism switched off: each must fail.

Run with python -m tests.mechanisms_off [PART OF A NAME ...]. Code that
switches a mechanism off runs first in every daemon and in the test itself.
"""

import concurrent.futures
import dataclasses
import os
import subprocess
import sys

RUN = (
    "import os, unittest; exec(os.environ['PADDLE_PRELUDE']); "
    'unittest.main(module=None)'
)


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A proof and what switches its mechanism off.

    Attributes:
        name: The mechanism.
        proof: The test.
        prelude: Python code.
    """

    name: str
    proof: str
    prelude: str


MUTATIONS = (
    Mutation(
        'claims of idempotency keys',
        'proofs.test_at_most_once.TestRepeats.test_same_key_at_once',
        'from sapphirepaddle.gateway import app\n'
        'app.Gateway.needs_claim = lambda self, request: False',
    ),
    Mutation(
        'a fault after a byte left may have run',
        'proofs.test_at_most_once.TestRepeats.test_gray_targets',
        'from sapphirepaddle.gateway import attempt\n'
        'attempt.NOT_RUN_FAULTS = frozenset(attempt.Fault)',
    ),
    Mutation(
        'leased tokens count against the burst',
        'limits.test_quota_shard.TestQuotaShard',
        'from sapphirepaddle.limits import quota_shard\n'
        'quota_shard.QuotaShard.leased = lambda self: 0',
    ),
    Mutation(
        'quota of the whole fleet',
        'proofs.test_rate.TestNoFaults',
        'from sapphirepaddle.limits import quota_limiter\n'
        'async def admit(self, account):\n    pass\n'
        'quota_limiter.QuotaLimiter.admit = admit',
    ),
    Mutation(
        'ownership is in doubt after a pause',
        'limits.test_owner.TestPause',
        'from sapphirepaddle.limits import owner\n'
        'owner.QuotaOwner.check_pause = lambda self, now: None',
    ),
    Mutation(
        'a key is checked again before sending',
        'proofs.test_keys.TestWithdrawn.test_waiting_request',
        'from sapphirepaddle.gateway import request_progress\n'
        'request_progress.check_before_send = lambda request, progress: None',
    ),
    Mutation(
        'withdrawals spread as news',
        'proofs.test_keys.TestWithdrawn.test_platform_silent',
        'from sapphirepaddle import entry_components\n'
        'entry_components.EntryComponents.handle_key_withdrawal = (\n'
        '    lambda self, item: None)',
    ),
    Mutation(
        'a cut-off daemon refuses keys',
        'proofs.test_keys.TestPartitionedDaemon',
        'from sapphirepaddle import entry_components\n'
        'entry_components.EntryComponents.is_isolated = lambda self: False',
    ),
    Mutation(
        'changes spread between daemons',
        'proofs.test_configuration.TestInForce.test_silent_after_acceptance',
        'from sapphirepaddle.fleet import configuration_sync as sync\n'
        'sync.ConfigurationSync.handle_changes = lambda *arguments: None\n'
        'sync.ConfigurationSync.fetch_if_behind = lambda *arguments: None',
    ),
    Mutation(
        'a creation is conditional',
        'proofs.test_configuration.TestRace',
        'from sapphirepaddle.operators import confirmer\n'
        'confirmer.check_basis = lambda agreed, current: None',
    ),
    Mutation(
        'guards of connections to targets',
        'gateway.test_target_client.TestReuse',
        'from aiosonic import connection as plain\n'
        'from sapphirepaddle.gateway import target_connection\n'
        'target_connection.TargetConnection = plain.Connection',
    ),
    Mutation(
        'short answers do not pass',
        'gateway.test_target_client.TestMalformed',
        'from aiosonic import connection as plain\n'
        'from sapphirepaddle.gateway import target_connection\n'
        'target_connection.TargetConnection = plain.Connection',
    ),
    Mutation(
        'the floor',
        'routing.test_capacity_floor.TestRoutingSet',
        'from sapphirepaddle.routing import capacity_floor\n'
        'capacity_floor.select_routing_set = lambda given, share: frozenset('
        'held.name for held in given '
        'if not held.is_unavailable and not held.ejected)',
    ),
    Mutation(
        'the floor, over processes',
        'proofs.test_floor_and_leaving.TestFloor',
        'from sapphirepaddle.routing import capacity_floor\n'
        'capacity_floor.select_routing_set = lambda given, share: frozenset('
        'held.name for held in given '
        'if not held.is_unavailable and not held.ejected)',
    ),
    Mutation(
        'emptied zones get no new work',
        'proofs.test_floor_and_leaving.TestLeaving.test_emptied_zone',
        'from sapphirepaddle.routing import pool\n'
        'original = pool.ServicePool.configure\n'
        'def configure(self, configured, targets, emptied):\n'
        '    original(self, configured, targets, frozenset())\n'
        'pool.ServicePool.configure = configure',
    ),
    Mutation(
        'keys are left out of what targets see',
        'proofs.test_keys.TestKeyNotLeaked',
        'from sapphirepaddle.gateway import headers\n'
        "headers.NOT_FORWARDED -= {b'authorization', b'x-api-key'}",
    ),
    Mutation(
        'an older configuration is never taken up',
        'objects.test_configuration.TestInForce.test_never_back',
        'from sapphirepaddle.gateway import active_configuration\n'
        'def replace(self, newer):\n'
        '    self.configuration = newer\n'
        '    return True\n'
        'active_configuration.ActiveConfiguration.replace = replace',
    ),
    Mutation(
        'a caller that left cancels its read',
        'proofs.test_caller_disconnected.TestCallerDisconnected.'
        'test_read_is_cancelled',
        'from sapphirepaddle.gateway import caller_connection\n'
        'caller_connection.TaskCanceller.cancel_task = lambda self: None',
    ),
    Mutation(
        'a planned stop waits',
        'proofs.test_planned_stop',
        'from sapphirepaddle import entry_daemon\n'
        'async def stop_callers(self, server, serving):\n'
        "    self.trigger('leave')\n"
        "    self.trigger('drain')\n"
        '    server.force_exit = True\n'
        '    serving.cancel()\n'
        'entry_daemon.EntryDaemon.stop_callers = stop_callers',
    ),
    Mutation(
        'edge: orders are sent again only if they did not run',
        'edge.test_requests.TestRetries',
        'from sapphirepaddle.proxy import sender\n'
        'sender.RetryingSender.may_retry = (\n'
        '    lambda self, wanted, is_hedge: wanted.send_count < 3)',
    ),
    Mutation(
        'edge: answers need identifier, stamp and a plain body',
        'edge.test_requests.TestAnswers',
        'from sapphirepaddle.proxy import attempt, attempt_result as end\n'
        'attempt.classify_success = lambda wanted, marks, received: (\n'
        '    end.AttemptResult(end.AttemptResultKind.ANSWERED, "", received)'
        ')',
    ),
    Mutation(
        'edge: own headers are not passed on',
        'platform.test_decoding.TestHeaderCodec',
        'from sapphirepaddle.platform import header_codec\n'
        'header_codec.PROXY_ONLY_HEADERS = frozenset()',
    ),
    Mutation(
        'edge: a misdirected target is passed over',
        'routing.test_service_targets.TestServiceTargets',
        'from sapphirepaddle.routing import candidate\n'
        'candidate.Candidate.record_misdirected = lambda self, now: None',
    ),
    Mutation(
        'edge: quota is drained by what others admit',
        'peers.test_fleet',
        'from sapphirepaddle.limits import account_quotas as quotas\n'
        'quotas.AccountQuotas.record_peer_admissions = (\n'
        '    lambda self, name, count: None)',
    ),
    Mutation(
        'edge: the part of a silent daemon stands still',
        'peers.test_fleet.TestZonePartition',
        'from sapphirepaddle import clock\n'
        'from sapphirepaddle.peers import fleet\n'
        'fleet.Fleet.elapsed_fleet_time = lambda self: clock.monotonic()',
    ),
    Mutation(
        'edge: repeats have a budget',
        'limits.test_fleet_retry_budget',
        'from sapphirepaddle.limits import fleet_retry_budget\n'
        'fleet_retry_budget.FleetRetryBudget.is_below = lambda *given: True',
    ),
    Mutation(
        'edge: changed registrations are taken up',
        'edge.test_daemon.TestTargets',
        'from sapphirepaddle.directory import target_list\n'
        'target_list.TargetList.apply_changes = lambda self, entries: None',
    ),
    Mutation(
        'edge: versions only rise',
        'edge.test_daemon.TestConfiguration',
        'from sapphirepaddle.directory import directory\n'
        'directory.Directory.version = 0',
    ),
    Mutation(
        'edge: a new daemon asks peers in an outage',
        'edge.test_daemon.TestConfiguration',
        'from sapphirepaddle.edge import state_synchronizer\n'
        'async def fetch(self):\n    pass\n'
        'state_synchronizer.StateSynchronizer.fetch_from_any_peer = fetch',
    ),
    Mutation(
        'edge: a planned stop waits for running requests',
        'edge.test_daemon.TestStop',
        'from sapphirepaddle.edge import daemon\n'
        'async def stop(self):\n'
        "    self.trigger('leave')\n"
        'daemon.EdgeDaemon.stop = stop',
    ),
    Mutation(
        'edge: a caller that left ends its request',
        'edge.test_requests.TestConnections',
        'from sapphirepaddle.proxy import caller_connection\n'
        'async def wait_until_disconnected(self, reading):\n'
        '    import asyncio\n'
        '    await asyncio.sleep(60)\n'
        'caller_connection.CallerConnection.wait_until_disconnected = (\n'
        '    wait_until_disconnected)',
    ),
    Mutation(
        'edge: suspicion raises the cost of a target',
        'routing.test_service_targets',
        'from sapphirepaddle.routing import candidate\n'
        'candidate.Candidate.failure_probability = lambda self, now: 0',
    ),
    Mutation(
        'edge: targets at rest get a request',
        'peers.test_coverage.TestCoverage.test_healthy_targets_are_used',
        'from sapphirepaddle.routing import service_targets as targets\n'
        'targets.ServiceTargets.most_overdue = lambda self, given, now: None',
    ),
    Mutation(
        'edge: an introduction is handed on in its zone',
        'peers.test_introduction_exchange',
        'from sapphirepaddle.peers import introduction\n'
        'from sapphirepaddle.peers import introduction_exchange as exchange\n'
        'exchange.IntroductionExchange.handle_hello = lambda self, hello: (\n'
        '    self.fleet.add(introduction.to_member(hello)))',
    ),
    Mutation(
        'edge: few targets are compared',
        'routing.test_service_targets.TestManyTargets',
        'from sapphirepaddle.routing import service_targets\n'
        'service_targets.ZONE_SAMPLE_SIZE = 99',
    ),
    Mutation(
        'edge: a digest that does not come back goes to all',
        'peers.test_hub_selector',
        'from sapphirepaddle.peers import hub_selector\n'
        'hub_selector.HubSelector.check_hub = lambda self, near, now: True',
    ),
    Mutation(
        'edge: daemons behind a reader read anew',
        'edge.test_reader_role.TestReaderRole.'
        'test_other_daemons_follow_readers',
        'from sapphirepaddle.edge import reader_role\n'
        'reader_role.ReaderRole.readers_ahead = lambda self: []',
    ),
    Mutation(
        'edge: lost readers are replaced',
        'edge.test_reader_role.TestReaderRole.test_lost_readers_are_replaced',
        'from sapphirepaddle.peers import fleet\n'
        'fleet.MAX_READER_SILENCE_SECONDS = 1e9',
    ),
    Mutation(
        'edge: an overtaken digest adds nothing',
        'peers.test_hub_selector',
        'from sapphirepaddle.peers import peer_totals\n'
        'def record_total(self, kind, key, total, now):\n'
        '    known = self.totals.get((kind, key), 0)\n'
        '    self.totals[kind, key] = total\n'
        '    return (total - known) % 65536\n'
        'peer_totals.PeerTotals.record_total = record_total',
    ),
)


def run(mutation: Mutation) -> bool:
    """Tell whether a proof fails with its mechanism off."""
    ended = subprocess.run(
        [sys.executable, '-W', 'ignore', '-c', RUN, f'tests.{mutation.proof}'],
        env={**os.environ, 'PADDLE_PRELUDE': mutation.prelude},
        capture_output=True,
        text=True,
        timeout=300,
    )
    tested = 'Ran ' in ended.stderr and 'Ran 0' not in ended.stderr
    return tested and ended.returncode != 0


def main() -> int:
    """Run all and print a table."""
    wanted = [
        mutation
        for mutation in MUTATIONS
        if len(sys.argv) == 1
        or any(part in mutation.proof for part in sys.argv[1:])
    ]
    with concurrent.futures.ThreadPoolExecutor(3) as workers:
        results = list(workers.map(run, wanted))
    for mutation, failed in zip(wanted, results, strict=True):
        word = 'fails, as it must' if failed else 'STILL PASSES'
        print(f'{mutation.name}: {mutation.proof}: {word}')
    return int(not all(results))


if __name__ == '__main__':
    sys.exit(main())
