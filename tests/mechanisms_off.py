"""Mutation tests: with a mechanism disabled, its test must fail.

Run with python -m tests.mechanisms_off [PART OF A TEST NAME ...]. The code
that disables a mechanism runs first in every daemon and in the test itself.
"""

import concurrent.futures
import dataclasses
import os
import subprocess
import sys

TEST_SCRIPT = (
    "import os, unittest; exec(os.environ['PADDLE_PRELUDE']); "
    'unittest.main(module=None)'
)


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A test and the code that disables the mechanism it checks.

    Attributes:
        name: The mechanism.
        proof: Dotted name of the test, below `tests`.
        prelude: Python code that disables the mechanism.
    """

    name: str
    proof: str
    prelude: str


WITHOUT_RELAY = (
    'from sapphirepaddle.edge import change_relay\n'
    'change_relay.ChangeRelay.handle_changes = lambda self, message: None\n'
)
"""Code with which daemons ignore the changes that readers relay."""

MUTATIONS = (
    Mutation(
        'idempotency keys are claimed',
        'proofs.test_at_most_once.TestRepeats.test_same_key_at_once',
        'from sapphirepaddle.gateway import app\n'
        'app.Gateway.needs_claim = lambda self, request: False',
    ),
    Mutation(
        'a request may have run once a byte was sent',
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
        'the fleet enforces account quotas',
        'proofs.test_rate.TestNoFaults',
        'from sapphirepaddle.limits import quota_limiter\n'
        'async def admit(self, account):\n    pass\n'
        'quota_limiter.QuotaLimiter.admit = admit',
    ),
    Mutation(
        'leasing is suspended after a pause',
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
        'key withdrawals spread by gossip',
        'proofs.test_keys.TestWithdrawn.test_platform_outage',
        'from sapphirepaddle import entry_components\n'
        'entry_components.EntryComponents.handle_key_withdrawal = (\n'
        '    lambda self, item: None)',
    ),
    Mutation(
        'a partitioned daemon refuses keys',
        'proofs.test_keys.TestPartitionedDaemon',
        'from sapphirepaddle import entry_components\n'
        'entry_components.EntryComponents.is_isolated = lambda self: False',
    ),
    Mutation(
        'configuration changes spread between daemons',
        'proofs.test_configuration.TestInForce.test_outage_after_acceptance',
        'from sapphirepaddle.fleet import configuration_sync as sync\n'
        'sync.ConfigurationSync.handle_changes = lambda *arguments: None\n'
        'sync.ConfigurationSync.fetch_if_behind = lambda *arguments: None',
    ),
    Mutation(
        'plans with a stale basis are refused',
        'proofs.test_configuration.TestRace',
        'from sapphirepaddle.operators import confirmer\n'
        'confirmer.check_basis = lambda agreed, current: None',
    ),
    Mutation(
        'connections with unread bytes are not reused',
        'gateway.test_target_client.TestReuse',
        'from aiosonic import connection as plain\n'
        'from sapphirepaddle.gateway import target_connection\n'
        'target_connection.TargetConnection = plain.Connection',
    ),
    Mutation(
        'connections with a late reply are not reused',
        'store.test_remote.TestLateReplies',
        'from aiosonic import connection as plain\n'
        'from sapphirepaddle import pooled_connection\n'
        'pooled_connection.PooledConnection = plain.Connection',
    ),
    Mutation(
        'a segment that cannot be decoded counts as an unavailable platform',
        'claims.test_committer.TestMalformedSegment',
        'from sapphirepaddle.claims import segment\n'
        'segment.decode = segment.ADAPTER.validate_json',
    ),
    Mutation(
        'a read of a newer configuration without an answer is repeated',
        'edge.test_reader_role.TestReaderRole.'
        'test_configuration_after_a_silence_that_swallowed_its_reads',
        'from sapphirepaddle.edge import state_synchronizer\n'
        'state_synchronizer.NEWER_CONFIGURATION_SECONDS = 3600',
    ),
    Mutation(
        'truncated answers are rejected',
        'gateway.test_target_client.TestMalformed',
        'from aiosonic import connection as plain\n'
        'from sapphirepaddle.gateway import target_connection\n'
        'target_connection.TargetConnection = plain.Connection',
    ),
    Mutation(
        'the capacity floor',
        'routing.test_capacity_floor.TestRoutingSet',
        'from sapphirepaddle.routing import capacity_floor\n'
        'capacity_floor.select_routing_set = lambda candidates, floor: (\n'
        '    frozenset(target.name for target in candidates '
        'if not target.is_unavailable and not target.ejected))',
    ),
    Mutation(
        'the capacity floor, in a fleet of processes',
        'proofs.test_floor_and_leaving.TestFloor',
        'from sapphirepaddle.routing import capacity_floor\n'
        'capacity_floor.select_routing_set = lambda candidates, floor: (\n'
        '    frozenset(target.name for target in candidates '
        'if not target.is_unavailable and not target.ejected))',
    ),
    Mutation(
        'emptied zones get no new requests',
        'proofs.test_floor_and_leaving.TestLeaving.test_emptied_zone',
        'from sapphirepaddle.routing import pool\n'
        'original = pool.ServicePool.configure\n'
        'def configure(self, configured, targets, emptied_zones):\n'
        '    original(self, configured, targets, frozenset())\n'
        'pool.ServicePool.configure = configure',
    ),
    Mutation(
        'keys are not forwarded to targets',
        'proofs.test_keys.TestKeyNotLeaked',
        'from sapphirepaddle.gateway import headers\n'
        "headers.NOT_FORWARDED -= {b'authorization', b'x-api-key'}",
    ),
    Mutation(
        'an older configuration is never applied',
        'objects.test_configuration.TestInForce.test_never_back',
        'from sapphirepaddle.gateway import active_configuration\n'
        'def replace(self, newer):\n'
        '    self.configuration = newer\n'
        '    return True\n'
        'active_configuration.ActiveConfiguration.replace = replace',
    ),
    Mutation(
        'a read is cancelled when its caller disconnects',
        'proofs.test_caller_disconnected.TestCallerDisconnected.'
        'test_read_is_cancelled',
        'from sapphirepaddle.gateway import caller_connection\n'
        'caller_connection.TaskCanceller.cancel_task = lambda self: None',
    ),
    Mutation(
        'a planned stop waits for running requests',
        'proofs.test_planned_stop',
        'from sapphirepaddle import entry_daemon\n'
        'async def stop_callers(self, server, server_task):\n'
        "    self.trigger('leave')\n"
        "    self.trigger('drain')\n"
        '    server.force_exit = True\n'
        '    server_task.cancel()\n'
        'entry_daemon.EntryDaemon.stop_callers = stop_callers',
    ),
    Mutation(
        'edge: orders are retried only if they did not run',
        'edge.test_requests.TestRetries',
        'from sapphirepaddle.proxy import sender\n'
        'sender.RetryingSender.may_retry = (\n'
        '    lambda self, context, is_hedge: context.send_count < 3)',
    ),
    Mutation(
        'edge: answers need identifier, stamp and no encoding',
        'edge.test_requests.TestAnswers',
        'from sapphirepaddle.proxy import attempt, attempt_result as result\n'
        'attempt.classify_success = lambda context, metadata, answer: (\n'
        '    result.AttemptResult(\n'
        '        result.AttemptResultKind.ANSWERED, "", answer))',
    ),
    Mutation(
        'edge: headers of the proxy are not forwarded',
        'platform.test_decoding.TestHeaderCodec',
        'from sapphirepaddle.platform import header_codec\n'
        'header_codec.PROXY_ONLY_HEADERS = frozenset()',
    ),
    Mutation(
        'edge: a misdirected target is avoided',
        'routing.test_service_targets.TestServiceTargets',
        'from sapphirepaddle.routing import candidate\n'
        'candidate.Candidate.record_misdirected = lambda self, now: None',
    ),
    Mutation(
        'edge: quota is reduced by admissions of peers',
        'peers.test_fleet',
        'from sapphirepaddle.limits import account_quotas as quotas\n'
        'quotas.AccountQuotas.record_peer_admissions = (\n'
        '    lambda self, name, count: None)',
    ),
    Mutation(
        'edge: the quota share of a silent daemon does not grow',
        'peers.test_fleet.TestZonePartition',
        'from sapphirepaddle import clock\n'
        'from sapphirepaddle.peers import fleet\n'
        'fleet.Fleet.elapsed_fleet_time = lambda self: clock.monotonic()',
    ),
    Mutation(
        'edge: retries have a budget',
        'limits.test_fleet_retry_budget',
        'from sapphirepaddle.limits import fleet_retry_budget\n'
        'fleet_retry_budget.FleetRetryBudget.left = lambda *args: 10**6',
    ),
    Mutation(
        'edge: unreported retries are limited to a share',
        'limits.test_fleet_retry_budget.TestFleetOverload',
        'from sapphirepaddle.limits import fleet_retry_budget\n'
        'fleet_retry_budget.FleetRetryBudget.is_within_share = (\n'
        '    lambda self, now, _count, slack: (\n'
        '        self.left(self.fleet, slack, now) >= 1))',
    ),
    Mutation(
        'edge: unanswered watches of the configuration time out',
        'edge.test_reader_role.TestReaderRole.'
        'test_configuration_after_a_silence_that_swallowed_its_watches',
        'from sapphirepaddle.directory import object_watcher\n'
        'object_watcher.CONFIGURATION_WATCH_SECONDS = 20',
    ),
    Mutation(
        'edge: a stopping daemon answers what still runs',
        'edge.test_daemon.TestStopWhileTargetsWork',
        'from sapphirepaddle.proxy import stop_deadline\n'
        'stop_deadline.StopDeadline.begin = lambda self, ends_at: None',
    ),
    Mutation(
        'edge: changed registrations are applied',
        'edge.test_daemon.TestTargets',
        'from sapphirepaddle.directory import target_list\n'
        'target_list.TargetList.apply_changes = lambda self, entries: None',
    ),
    Mutation(
        'edge: peers date the return of the store',
        'directory.test_target_list.TestDisconnectedDaemon.'
        'test_cut_watches_of_peers_do_not_keep_a_left_target',
        'from sapphirepaddle.edge import state_synchronizer\n'
        'from sapphirepaddle.peers import outage_evidence\n'
        'outage_evidence.OutageEvidence.record_report = (\n'
        '    lambda self, peer_contact: None\n'
        ')\n'
        'async def fetch(self, readers):\n    pass\n'
        'state_synchronizer.StateSynchronizer.fetch_from_reader = fetch',
    ),
    Mutation(
        'edge: entries that lapsed in an outage may return',
        'edge.test_reader_role.TestReaderRole.'
        'test_targets_that_lapsed_in_an_unnoticed_outage_are_kept',
        'import math\n'
        'from sapphirepaddle.peers import outage_evidence\n'
        'outage_evidence.OutageEvidence.source_returned_at = (\n'
        '    lambda self: -math.inf\n'
        ')',
    ),
    Mutation(
        'edge: a restart grants no burst',
        'edge.test_daemon.TestQuotaAfterRestart',
        'from sapphirepaddle.limits import account_quotas\n'
        'account_quotas.AccountQuotas.starts_full = property(\n'
        '    lambda self: True, lambda self, value: None\n'
        ')',
    ),
    Mutation(
        'edge: a watch begins at the oldest page of a list',
        'platform.test_object_source.TestObjectSource.'
        'test_change_between_pages_is_not_missed',
        'from sapphirepaddle.platform import object_source\n'
        'object_source.min = max',
    ),
    Mutation(
        'edge: targets that differ from those of a reader are listed',
        'edge.test_reader_role.TestReaderRole.'
        'test_change_that_was_missed_for_good_is_repaired',
        'from sapphirepaddle.edge import reader_role\n'
        'reader_role.ReaderRole.list_if_different = lambda self: None',
    ),
    Mutation(
        'edge: a fresh call ends before the next one',
        'directory.test_refreshes.TestRefreshesInQuickSuccession.'
        'test_slow_answer_is_applied',
        'from sapphirepaddle.directory import object_watcher\n'
        'object_watcher.NextCall.is_refreshing = property(\n'
        '    lambda self: False, lambda self, _: None\n'
        ')',
    ),
    Mutation(
        'edge: former local targets are known',
        'edge.test_target_freshness.TestTargetFreshness.'
        'test_reader_that_is_behind_has_nothing_new',
        'from sapphirepaddle.edge import target_freshness\n'
        'target_freshness.AHEAD_SECONDS = -1',
    ),
    Mutation(
        'edge: daemons of other zones are asked',
        'edge.test_partitioned_daemons.TestDaemonAloneInItsZone.'
        'test_left_target',
        'from sapphirepaddle.peers import fleet\n'
        'fleet.Fleet.other_zone_readers = lambda self: []',
    ),
    Mutation(
        'peers: the number of hubs grows with the zone',
        'peers.test_hub_selector.TestZoneOfSeventyDaemons.'
        'test_busiest_daemon_uses_half_of_the_smallest_link',
        'from sapphirepaddle.peers import hub_selector\n'
        'hub_selector.DAEMONS_PER_HUB = 1000',
    ),
    Mutation(
        'edge: a time in which nobody asked is no outage',
        'edge.test_lost_readers.TestLostReader.'
        'test_target_removed_after_the_loss_is_not_kept',
        'from sapphirepaddle.peers import outage_evidence\n'
        'outage_evidence.OutageEvidence.has_failure = (\n'
        '    lambda self, start, end: True\n'
        ')',
    ),
    Mutation(
        'edge: the successor of a reader asks at once',
        'edge.test_lost_readers.TestLostReader.'
        'test_successor_of_a_partitioned_reader_asks_at_once',
        'from sapphirepaddle.directory import object_watcher\n'
        'object_watcher.ObjectWatcher.probe = lambda self: None',
    ),
    Mutation(
        'edge: calls older than the recovery of a reader are replaced',
        'edge.test_reader_role.TestReaderRole.'
        'test_calls_unanswered_in_an_outage_are_replaced',
        'from sapphirepaddle.edge import reader_role\n'
        'reader_role.ReaderRole.replace_unanswered_calls = lambda self: None\n'
        'reader_role.ReaderRole.readers_ahead = lambda self: []\n'
        'reader_role.ReaderRole.list_if_different = lambda self: None\n'
        + WITHOUT_RELAY,
    ),
    Mutation(
        'edge: bodies of answers share a memory budget',
        'edge.test_endless_answers.TestOthersMeanwhile.test_memory_is_bounded',
        'from sapphirepaddle.proxy import body_memory\n'
        'body_memory.BodyMemoryBudget.try_extend = (\n'
        '    lambda self, held_size, size: True\n'
        ')',
    ),
    Mutation(
        'health probes accept no streamed body',
        'fleet.test_prober.TestEndlessProbeAnswers.test_fast_sender',
        'from sapphirepaddle.gateway import target_client\n'
        'target_client.OutgoingRequest.accepts_stream = property(\n'
        '    lambda self: True, lambda self, accepts: None\n'
        ')',
    ),
    Mutation(
        'edge: configuration versions never decrease',
        'edge.test_daemon.TestConfiguration',
        'from sapphirepaddle.directory import directory\n'
        'directory.Directory.version = 0',
    ),
    Mutation(
        'edge: a new daemon gets state from peers in an outage',
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
        'edge: a request ends when its caller disconnects',
        'edge.test_requests.TestConnections',
        'from sapphirepaddle.proxy import caller_connection\n'
        'async def wait_until_disconnected(self, read_task):\n'
        '    import asyncio\n'
        '    await asyncio.sleep(60)\n'
        'caller_connection.CallerConnection.wait_until_disconnected = (\n'
        '    wait_until_disconnected)',
    ),
    Mutation(
        'edge: failure probability raises the cost of a target',
        'routing.test_service_targets',
        'from sapphirepaddle.routing import candidate\n'
        'candidate.Candidate.failure_probability = lambda self, now: 0',
    ),
    Mutation(
        'edge: idle targets get a request',
        'peers.test_coverage.TestCoverage.test_healthy_targets_are_used',
        'from sapphirepaddle.routing import service_targets as targets\n'
        'targets.ServiceTargets.most_overdue = (\n'
        '    lambda self, candidates, now: None)',
    ),
    Mutation(
        'edge: an introduction is forwarded in its zone',
        'peers.test_introduction_exchange',
        'from sapphirepaddle.peers import introduction\n'
        'from sapphirepaddle.peers import introduction_exchange as exchange\n'
        'exchange.IntroductionExchange.handle_hello = lambda self, hello: (\n'
        '    self.fleet.add(introduction.to_member(hello)))',
    ),
    Mutation(
        'edge: only a sample of targets is compared',
        'routing.test_service_targets.TestManyTargets',
        'from sapphirepaddle.routing import service_targets\n'
        'service_targets.ZONE_SAMPLE_SIZE = 99',
    ),
    Mutation(
        'edge: a digest without an echo is sent to all peers',
        'peers.test_hub_selector',
        'from sapphirepaddle.peers import hub_selector\n'
        'hub_selector.HubSelector.check_hub = (\n'
        '    lambda self, changes, now: True)',
    ),
    Mutation(
        'edge: daemons behind a reader read again',
        'edge.test_reader_role.TestReaderRole.test_missed_changes_are_read',
        'from sapphirepaddle.edge import reader_role\n'
        'reader_role.ReaderRole.readers_ahead = lambda self: []\n'
        'reader_role.ReaderRole.list_if_different = lambda self: None',
    ),
    Mutation(
        'edge: readers relay changes',
        'edge.test_reader_role.TestReaderRole.test_readers_relay_changes',
        WITHOUT_RELAY,
    ),
    Mutation(
        'edge: an odd entry hides no other',
        'edge.test_odd_entries',
        'from sapphirepaddle.platform import object_parser\n'
        'import orjson\n'
        'object_parser.parse = orjson.loads',
    ),
    Mutation(
        'edge: a refusal without identifier needs a new connection',
        'edge.test_repeated_refusals',
        'from sapphirepaddle.proxy import attempt\n'
        'attempt.AttemptRunner.is_answer_to = (\n'
        '    lambda self, identifier, status, headers, is_new: True)',
    ),
    Mutation(
        'edge: a refused request gets another connection when sent again',
        'edge.test_requests_sent_again',
        'from sapphirepaddle.proxy import connection_pool\n'
        'acquire = connection_pool.ConnectionPool.acquire_idle\n'
        'connection_pool.ConnectionPool.acquire_idle = (\n'
        '    lambda self, address, seconds, identifier="":\n'
        '    acquire(self, address, seconds))',
    ),
    Mutation(
        'edge: a request counts as run unless its target states otherwise',
        'proxy.test_sender.TestAttemptWithoutResult',
        'from sapphirepaddle.proxy import request_context\n'
        'request_context.RequestContext.may_have_run = False',
    ),
    Mutation(
        'edge: no status alone states that a request did not run',
        'edge.test_unproved_refusals',
        'from sapphirepaddle.proxy import run_statement\n'
        'run_statement.read_refusal = lambda metadata, status, name: (\n'
        '    run_statement.Refusal.REFUSED\n'
        '    if metadata.is_not_run or metadata.is_misdirected else None)',
    ),
    Mutation(
        'edge: an answer counts until its caller has read it',
        'edge.test_slow_callers.TestSlowCallers.'
        'test_answer_counts_until_its_caller_has_read_it',
        'import contextlib\n'
        'from sapphirepaddle.proxy import body_memory\n'
        'body_memory.Reservation.wait_for_caller = lambda self, on_reclaim: (\n'
        '    self.held.release() or contextlib.nullcontext())',
    ),
    Mutation(
        'edge: callers that do not read make room for others',
        'edge.test_slow_callers.TestSlowCallers.'
        'test_callers_that_do_not_read_make_room_for_others',
        'from sapphirepaddle.proxy import body_memory\n'
        'body_memory.BodyMemoryBudget.try_reclaim = lambda self: False',
    ),
    Mutation(
        'edge: a waiting request holds no bytes that follow it',
        'edge.test_flooding_callers.TestFloodingCallers.'
        'test_waiting_requests_hold_no_further_bytes',
        'from sapphirepaddle.proxy import exchange\n'
        'exchange.Exchange.take_leftover = lambda self: self.leftover',
    ),
    Mutation(
        'edge: statements of targets are obeyed',
        'edge.test_target_notices.TestPauses',
        'from sapphirepaddle.proxy import target_notices\n'
        'target_notices.TargetNotices.apply = lambda *args: None',
    ),
    Mutation(
        'edge: what a former target stated is kept',
        'edge.test_target_notices.TestLeaving.'
        'test_entry_that_returns_names_the_same_incarnation',
        'from sapphirepaddle.routing import service_targets\n'
        'service_targets.MAX_FORMER_CANDIDATES = 0',
    ),
    Mutation(
        'edge: a request turned away is sent again',
        'proxy.test_sender.TestTurnedAway',
        'from sapphirepaddle.proxy import resend_policy\n'
        'resend_policy.MAX_RESENDS = 0',
    ),
    Mutation(
        'edge: late answers have a cost',
        'routing.test_lateness.TestBurst',
        'from sapphirepaddle.routing import lateness\n'
        'lateness.late_probability = lambda expected, objective: 0',
    ),
    Mutation(
        'edge: lost readers are replaced',
        'edge.test_reader_role.TestReaderRole.test_lost_readers_are_replaced',
        'from sapphirepaddle.peers import fleet\n'
        'fleet.MAX_READER_SILENCE_SECONDS = 1e9\n'
        'fleet.REMOVAL_TIMEOUT_SECONDS = 1e9',
    ),
    Mutation(
        'edge: a digest received out of order adds nothing',
        'peers.test_hub_selector',
        'from sapphirepaddle.peers import peer_totals\n'
        'def record_total(self, kind, key, total, now):\n'
        '    previous = self.totals.get((kind, key), 0)\n'
        '    self.totals[kind, key] = total\n'
        '    return (total - previous) % 65536\n'
        'peer_totals.PeerTotals.record_total = record_total',
    ),
    Mutation(
        'edge: admissions are reported again until they are refilled',
        'peers.test_fleet.TestQuota.'
        'test_lost_report_of_the_last_admissions_is_repeated',
        'from sapphirepaddle.limits import account_quotas\n'
        'account_quotas.AccountQuotas.read_used_accounts = lambda self: set()',
    ),
    Mutation(
        'edge: targets of zones with few callers are revisited by others',
        'peers.test_coverage.TestCoverage.test_callers_of_one_zone',
        'from sapphirepaddle.routing import service_targets as targets\n'
        'targets.ServiceTargets.extra_idle_seconds = (\n'
        '    lambda self, zone, now: (zone != self.zone) *\n'
        '    targets.OTHER_ZONE_REVISIT_SECONDS)',
    ),
    Mutation(
        'edge: emptied zones get no requests',
        'edge.test_emptied_zones.TestOneDaemon.'
        'test_no_requests_after_the_bound',
        'from sapphirepaddle.routing import emptied_zones\n'
        'emptied_zones.EmptiedZones.is_closed = lambda *args: False\n'
        'emptied_zones.EmptiedZones.draw_avoided = lambda *args: frozenset()',
    ),
    Mutation(
        'edge: readers tell daemons whose digest shows other emptied zones',
        'edge.test_emptied_zones.TestFleet.'
        'test_lost_message_is_repaired_by_digests',
        'from sapphirepaddle.peers import digest_receiver\n'
        'from tests.support import edge_daemon_case as case\n'
        'digest_receiver.DigestReceiver.on_zones_mark = property(\n'
        '    lambda self: lambda *args: None, lambda self, value: None)\n'
        'wait = case.EdgeDaemonCase.wait_until\n'
        'case.EdgeDaemonCase.wait_until = (\n'
        '    lambda self, condition, seconds=9: wait(self, condition, 9))',
    ),
    Mutation(
        'few daemons send to a cold target',
        'routing.test_warmup_admission.TestFleet.test_sum_over_all_daemons',
        'from sapphirepaddle.routing import rendezvous\n'
        'rendezvous.rank = lambda key, names, count: list(names)',
    ),
    Mutation(
        'edge: readers tell which targets turned cold',
        'peers.test_cold_exchange.TestColdNotices.'
        'test_daemons_of_the_zone_are_told',
        'from sapphirepaddle.peers import cold_exchange\n'
        'cold_exchange.ColdExchange.handle_notice = lambda *args: None',
    ),
    Mutation(
        'suspects rest for less time beside few trusted targets',
        'peers.test_coverage.TestCoverage.test_most_targets_fail',
        'from sapphirepaddle.routing import revisit_policy\n'
        'revisit_policy.rest_factor = lambda share, count: 10.0',
    ),
    Mutation(
        'tokens are kept for admissions that are not reported yet',
        'limits.test_quota_at_scale.TestQuota.test_floods',
        'from sapphirepaddle.limits import unreported_admissions as late\n'
        'late.UnreportedAdmissions.expected_count = lambda *args: 0',
    ),
    Mutation(
        'the most urgent requests of an account get its last tokens',
        'limits.test_quota_at_scale.TestQuota.'
        'test_urgent_requests_get_the_last_tokens',
        'from sapphirepaddle.limits import quota_order\n'
        'quota_order.KEPT_BURST_SHARE = 0',
    ),
    Mutation(
        'requests stay at home while a good target is there',
        'routing.test_zone_choice.TestSelection.'
        'test_stays_while_home_has_a_good_target',
        'from sapphirepaddle.routing import zone_choice\n'
        'zone_choice.MIN_HOME_TARGETS = 10**6',
    ),
    Mutation(
        'requests that leave their zone are bounded',
        'routing.test_zone_choice.TestAllowance',
        'from sapphirepaddle.routing import zone_choice\n'
        'zone_choice.LeavingAllowance.update = lambda self, *args: True',
    ),
)


def run(mutation: Mutation) -> bool:
    """Return whether a test runs and fails with its mechanism disabled."""
    process = subprocess.run(
        [
            sys.executable,
            '-W',
            'ignore',
            '-c',
            TEST_SCRIPT,
            f'tests.{mutation.proof}',
        ],
        env={**os.environ, 'PADDLE_PRELUDE': mutation.prelude},
        capture_output=True,
        text=True,
        timeout=300,
    )
    has_run = 'Ran ' in process.stderr and 'Ran 0' not in process.stderr
    return has_run and process.returncode != 0


def main() -> int:
    """Run the selected mutations, print their results, return the exit code."""
    selected = [
        mutation
        for mutation in MUTATIONS
        if len(sys.argv) == 1
        or any(part in mutation.proof for part in sys.argv[1:])
    ]
    with concurrent.futures.ThreadPoolExecutor(3) as workers:
        results = list(workers.map(run, selected))
    for mutation, failed in zip(selected, results, strict=True):
        verdict = 'fails as expected' if failed else 'STILL PASSES'
        print(f'{mutation.name}: {mutation.proof}: {verdict}')
    return int(not all(results))


if __name__ == '__main__':
    sys.exit(main())
