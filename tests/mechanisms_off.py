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
        'app.Gateway.is_order = lambda self, request: False',
    ),
    Mutation(
        'a fault after a byte left may have run',
        'proofs.test_at_most_once.TestRepeats.test_gray_targets',
        'from sapphirepaddle.gateway import attempt\n'
        'attempt.NOT_RUN = frozenset(attempt.Fault)',
    ),
    Mutation(
        'leased tokens count against the burst',
        'limits.test_part.TestWindows',
        'from sapphirepaddle.limits import part\n'
        'part.QuotaPart.leased = lambda self: 0',
    ),
    Mutation(
        'quota of the whole fleet',
        'proofs.test_rate.TestCalm',
        'from sapphirepaddle.limits import quota\n'
        'async def admit(self, account):\n    pass\n'
        'quota.QuotaLimiter.admit = admit',
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
        'from sapphirepaddle.gateway import tries\n'
        'tries.check_start = lambda request, progress: None',
    ),
    Mutation(
        'withdrawals spread as news',
        'proofs.test_keys.TestWithdrawn.test_platform_silent',
        'from sapphirepaddle import parts\n'
        'parts.Parts.withdraw = lambda self, item: None',
    ),
    Mutation(
        'a cut-off daemon refuses keys',
        'proofs.test_keys.TestCutOff',
        'from sapphirepaddle import parts\n'
        'parts.Parts.is_isolated = lambda self: False',
    ),
    Mutation(
        'changes spread between daemons',
        'proofs.test_configuration.TestInForce.test_silent_after_acceptance',
        'from sapphirepaddle.fleet import configuration_sync as sync\n'
        'sync.ConfigurationSync.take_up = lambda self, body, sender: None\n'
        'sync.ConfigurationSync.note_revision = lambda *arguments: None',
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
        'from sapphirepaddle.gateway import connection\n'
        'connection.TargetConnection = plain.Connection',
    ),
    Mutation(
        'short answers do not pass',
        'gateway.test_target_client.TestMalformed',
        'from aiosonic import connection as plain\n'
        'from sapphirepaddle.gateway import connection\n'
        'connection.TargetConnection = plain.Connection',
    ),
    Mutation(
        'the floor',
        'routing.test_floor.TestRoutingSet',
        'from sapphirepaddle.routing import floor\n'
        'floor.routing_set = lambda given, share: frozenset('
        'held.name for held in given if not held.gone and not held.ejected)',
    ),
    Mutation(
        'the floor, over processes',
        'proofs.test_floor_and_leaving.TestFloor',
        'from sapphirepaddle.routing import floor\n'
        'floor.routing_set = lambda given, share: frozenset('
        'held.name for held in given if not held.gone and not held.ejected)',
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
        'proofs.test_keys.TestHidden',
        'from sapphirepaddle.gateway import headers\n'
        "headers.OWN -= {b'authorization', b'x-api-key'}",
    ),
    Mutation(
        'an older configuration is never taken up',
        'objects.test_configuration.TestInForce.test_never_back',
        'from sapphirepaddle.gateway import in_force\n'
        'def replace(self, newer):\n'
        '    self.configuration = newer\n'
        '    return True\n'
        'in_force.InForce.replace = replace',
    ),
    Mutation(
        'a caller that left cancels its read',
        'proofs.test_caller_gone.TestCallerGone.test_read_is_cancelled',
        'from sapphirepaddle.gateway import caller_connection\n'
        'caller_connection.Disconnect.fire = lambda self: None',
    ),
    Mutation(
        'a planned stop waits',
        'proofs.test_planned_stop',
        'from sapphirepaddle import daemon\n'
        'async def stop_callers(self, server, serving):\n'
        "    self.trigger('leave')\n"
        "    self.trigger('drain')\n"
        '    server.force_exit = True\n'
        '    serving.cancel()\n'
        'daemon.Daemon.stop_callers = stop_callers',
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
