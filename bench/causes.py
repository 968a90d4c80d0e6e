"""Why requests were not served, from the log of a day.

Run with python -m bench.causes LOG [--window SECONDS]. The log has lines of the
form `TIME VM JSON`, as `fleetbench run SITE DAY --log all` prints them. A limit
of log lines drops some decisions of a busy second; their requests are counted
by what is left.
"""

import collections
import dataclasses
import pathlib
import sys
import typing
from collections import abc

import orjson
import typer

LINE_PARTS: typing.Final = 3
OK: typing.Final = 200
MIN_FAILURE_STATUS: typing.Final = 500
Fields = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A line of the log.

    Attributes:
        at: Time in seconds of the day.
        fields: The event and its fields.
    """

    at: float
    fields: Fields


def parse_line(line: str) -> LogLine | None:
    """Parse a line; None if it is no event of a daemon."""
    parts = line.split(None, LINE_PARTS - 1)
    if len(parts) < LINE_PARTS or not parts[-1].startswith('{'):
        return None
    try:
        return LogLine(float(parts[0]), orjson.loads(parts[-1]))
    except ValueError:
        return None


def group_by_request(
    lines: abc.Iterable[LogLine],
) -> dict[str, list[LogLine]]:
    """Return the lines of each request by its identifier."""
    lines_by_request = collections.defaultdict(list)
    for line in lines:
        identifier = line.fields.get('request')
        if identifier:
            lines_by_request[identifier].append(line)
    return lines_by_request


def find_cause(lines: abc.Sequence[LogLine]) -> str:
    """Return how a request ended, by its answer and its last attempt."""
    last_fields = {line.fields['event']: line.fields for line in lines}
    status = last_fields.get('answer', {}).get('status')
    if status is None:
        return 'caller disconnected or no answer logged'
    if status == OK:
        return 'served'
    if 'refusal' not in last_fields:
        return f'status {status} of a target'
    code = last_fields['refusal']['code']
    attempts = [
        line.fields['reason']
        for line in lines
        if line.fields['event'] == 'attempt'
    ]
    if code != 'no-target':
        reason = attempts[-1].partition(':')[0] if attempts else 'not sent'
        return code if status < MIN_FAILURE_STATUS else f'{code}, {reason}'
    return f'{code}, turned away {len(attempts)} times'


def count_causes(
    lines: abc.Iterable[LogLine], window_seconds: float
) -> dict[float, collections.Counter[str]]:
    """Return the number of requests by cause for each window of the day.

    A request belongs to the window in which it ended.
    """
    causes: dict[float, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for request_lines in group_by_request(lines).values():
        start = request_lines[-1].at // window_seconds * window_seconds
        causes[start][find_cause(request_lines)] += 1
    return dict(sorted(causes.items()))


def print_table(causes: dict[float, collections.Counter[str]]) -> None:
    """Print the totals and the causes of each window, most frequent first."""
    total: collections.Counter[str] = collections.Counter()
    for counts in causes.values():
        total += counts
    sys.stdout.write('whole day\n')
    for cause, count in total.most_common():
        sys.stdout.write(f'  {count:6} {cause}\n')
    for start, counts in causes.items():
        lost = ', '.join(
            f'{count} {cause}'
            for cause, count in counts.most_common()
            if cause != 'served'
        )
        sys.stdout.write(f'{start:6.0f} s {counts["served"]} served; {lost}\n')


def main(log: pathlib.Path, window: float = 2) -> None:
    """Print why requests were not served, by window of the day."""
    with log.open(encoding='utf-8') as text:
        lines = [line for row in text if (line := parse_line(row))]
    print_table(count_causes(lines, window))


if __name__ == '__main__':
    typer.run(main)
