"""The platform's headers towards callers and targets."""

import typing

from sapphirepaddle.platform import names
from sapphirepaddle.proxy import header_codec

MILLISECONDS: typing.Final = 1000
OWN: typing.Final = frozenset(
    (
        names.DEADLINE,
        names.EXPECTED_TARGET,
        names.ACCOUNT,
        names.AUTHORIZATION,
    ),
)


class PlatformDialect(header_codec.HeaderCodec):
    """Headers as the platform's pages name them."""

    def read_request(
        self, headers: header_codec.Headers
    ) -> header_codec.RequestMetadata:
        """Return the marks of a caller's request."""
        found = collect(headers)
        return header_codec.RequestMetadata(
            identifier=last(found, names.REQUEST_ID).decode('latin-1'),
            timeout_seconds=milliseconds(last(found, names.DEADLINE)),
            keys=tuple(
                read_key(value) for value in found.get(names.AUTHORIZATION, ())
            ),
        )

    def write_request(
        self,
        headers: header_codec.Headers,
        marks: header_codec.ForwardMetadata,
    ) -> header_codec.Headers:
        """Return the headers for a target."""
        left = max(1, int(marks.remaining_seconds * MILLISECONDS))
        written = [header for header in headers if header[0].lower() not in OWN]
        written.append((b'X-Deadline-Ms', b'%d' % left))
        written.append((b'X-Expect-Instance', marks.target.encode()))
        if marks.account:
            written.append((b'X-Tenant-Id', marks.account.encode()))
        return written

    def read_answer(
        self,
        status: int,
        headers: header_codec.Headers,
    ) -> header_codec.AnswerMetadata:
        """Return the marks of a target's answer."""
        found = collect(headers)
        is_misdirected = status == names.MISDIRECTED
        return header_codec.AnswerMetadata(
            identifier=last(found, names.REQUEST_ID).decode('latin-1'),
            has_response_stamp=bool(last(found, names.STAMP)),
            is_not_run=names.NOT_EXECUTED in found or is_misdirected,
            is_misdirected=is_misdirected,
            is_encoded=last(found, names.ENCODING) not in PLAIN,
            idle_seconds=read_idle(last(found, names.KEEP_ALIVE)),
        )

    def write_refusal(
        self,
        identifier: str,
        retry_after: float,
    ) -> header_codec.Headers:
        """Return the headers of a refusal."""
        written = []
        if identifier:
            written.append((b'X-Request-Id', identifier.encode('latin-1')))
        if retry_after:
            written.append((b'Retry-After', f'{retry_after:.2f}'.encode()))
        return written


Found = dict[bytes, list[bytes]]
PLAIN: typing.Final = frozenset((b'', b'identity'))


def collect(headers: header_codec.Headers) -> Found:
    """Return the values of each header by its name in lower case."""
    found: Found = {}
    for name, value in headers:
        found.setdefault(name.lower(), []).append(value)
    return found


def last(found: Found, name: bytes) -> bytes:
    """Return the last value of a header; empty if there is none."""
    return found.get(name, [b''])[-1]


def milliseconds(value: bytes) -> float | None:
    """Read a time in milliseconds; return seconds, None if malformed."""
    try:
        return max(0, float(value) / MILLISECONDS)
    except ValueError:
        return None


def read_key(value: bytes) -> str:
    """Read a bearer token; empty for another scheme."""
    if value[: len(names.SCHEME)].lower() != names.SCHEME:
        return ''
    return value[len(names.SCHEME) :].strip().decode('latin-1')


def read_idle(value: bytes) -> float | None:
    """Read the idle time-out of a Keep-Alive header, in seconds."""
    for parameter in value.split(b','):
        name, _, seconds = parameter.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.isdigit():
            return float(seconds)
    return None
