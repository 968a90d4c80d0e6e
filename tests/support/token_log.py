"""Log of the times at which daemons spend tokens, written by the daemons."""

import collections
import pathlib
import typing
from collections import abc

from sapphirepaddle.replay import records

PRELUDE: typing.Final = """
import os as _os
from sapphirepaddle import clock as _clock
from sapphirepaddle.limits import leased_tokens as _tokens
from sapphirepaddle.limits import quota_limiter as _quota
_account_names = {{}}
_get_account_state = _quota.QuotaLimiter.get_account_state
_try_acquire = _tokens.LeasedTokens.try_acquire
_file = _os.open({path!r}, _os.O_WRONLY | _os.O_APPEND | _os.O_CREAT)
def _get_named_state(self, account):
    state = _get_account_state(self, account)
    _account_names[id(state.tokens)] = account.name
    return state
def _acquire_logged(self, now):
    is_acquired = _try_acquire(self, now)
    if is_acquired:
        at = now + _clock.wall() - _clock.monotonic()
        line = f'{{at!r}} {{_account_names[id(self)]}}\\n'
        _os.write(_file, line.encode())
    return is_acquired
_quota.QuotaLimiter.get_account_state = _get_named_state
_tokens.LeasedTokens.try_acquire = _acquire_logged
"""
"""Code that runs in daemons and writes each spent token with its time."""


def prelude(path: pathlib.Path) -> str:
    """Return code that appends each spent token to a file.

    Each line is written by one call, so that lines of different daemons do
    not mix.
    """
    return PRELUDE.format(path=str(path))


def read(path: pathlib.Path, started: float) -> dict[str, list[float]]:
    """Return the times of spent tokens by account, in ascending order.

    Times are in seconds from `started`; earlier ones are skipped.

    Args:
        path: The file; it may be missing.
        started: Unix time in seconds from which the times count.
    """
    times = collections.defaultdict(list)
    lines = path.read_text().splitlines() if path.exists() else ()
    for line in lines:
        at, account = line.split()
        if float(at) >= started:
            times[account].append(float(at) - started)
    return {account: sorted(spent_at) for account, spent_at in times.items()}


def count_unmatched_executions(
    executions: abc.Iterable[records.Execution],
    account: str,
    tokens: abc.Sequence[float],
    max_wait_seconds: float,
) -> int:
    """Return the number of executed requests that have no own token.

    A token allows one execution, at most `max_wait_seconds` after it was
    spent. A request that was retried counts once, at its first execution.

    Args:
        executions: Executions at the targets.
        account: The client account.
        tokens: Times of its spent tokens, in ascending order.
        max_wait_seconds: Longest time from a spent token to its execution.
    """
    first_times: dict[str, float] = {}
    for execution in sorted(executions, key=lambda execution: execution.at):
        if execution.account == account:
            first_times.setdefault(execution.sending_id, execution.at)
    unmatched_tokens = collections.deque(tokens)
    count = 0
    for at in sorted(first_times.values()):
        while unmatched_tokens and unmatched_tokens[0] < at - max_wait_seconds:
            unmatched_tokens.popleft()
        if unmatched_tokens and unmatched_tokens[0] <= at:
            unmatched_tokens.popleft()
        else:
            count += 1
    return count
