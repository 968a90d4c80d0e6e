"""Times at which daemons took tokens, as told by the daemons themselves."""

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
_names = {{}}
_found = _quota.QuotaLimiter.get_account_state
_taken = _tokens.LeasedTokens.try_acquire
_file = _os.open({path!r}, _os.O_WRONLY | _os.O_APPEND | _os.O_CREAT)
def _demand(self, account):
    found = _found(self, account)
    _names[id(found.tokens)] = account.name
    return found
def _take(self, now):
    is_taken = _taken(self, now)
    if is_taken:
        at = now + _clock.wall() - _clock.monotonic()
        line = f'{{at!r}} {{_names[id(self)]}}\\n'
        _os.write(_file, line.encode())
    return is_taken
_quota.QuotaLimiter.get_account_state = _demand
_tokens.LeasedTokens.try_acquire = _take
"""
"""Runs in daemons: notes each token that is spent, with its time."""


def prelude(path: pathlib.Path) -> str:
    """Return code that notes tokens in a file, a line in one write."""
    return PRELUDE.format(path=str(path))


def read(path: pathlib.Path, started: float) -> dict[str, list[float]]:
    """Return the times of spent tokens by account, in order.

    Args:
        path: The file.
        started: Unix time from which the times count.
    """
    times = collections.defaultdict(list)
    lines = path.read_text().splitlines() if path.exists() else ()
    for line in lines:
        at, account = line.split()
        if float(at) >= started:
            times[account].append(float(at) - started)
    return {account: sorted(found) for account, found in times.items()}


def count_unmatched_runs(
    runs: abc.Iterable[records.Execution],
    account: str,
    tokens: abc.Sequence[float],
    patience: float,
) -> int:
    """Return the first runs that have no token of their own.

    A token allows one run, until the patience of its request is over. A
    sending that was tried again counts once, at its first run.

    Args:
        runs: What targets ran.
        account: The client account.
        tokens: Times of its spent tokens, in order.
        patience: Longest time from a token to its run, in seconds.
    """
    first: dict[str, float] = {}
    for run in sorted(runs, key=lambda run: run.at):
        if run.account == account:
            first.setdefault(run.sending_id, run.at)
    waiting = collections.deque(tokens)
    count = 0
    for at in sorted(first.values()):
        while waiting and waiting[0] < at - patience:
            waiting.popleft()
        if waiting and waiting[0] <= at:
            waiting.popleft()
        else:
            count += 1
    return count
