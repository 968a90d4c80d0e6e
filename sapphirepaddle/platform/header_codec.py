"""The platform's headers towards callers and targets."""

import typing

from sapphirepaddle.platform import names
from sapphirepaddle.proxy import header_codec

MILLISECONDS_PER_SECOND: typing.Final = 1000
PROXY_ONLY_HEADERS: typing.Final = frozenset(
    (
        names.DEADLINE,
        names.EXPECTED_TARGET,
        names.ACCOUNT,
        names.AUTHORIZATION,
    ),
)


class PlatformHeaderCodec(header_codec.HeaderCodec):
    """Headers as the platform's pages name them."""

    def read_request(
        self, headers: header_codec.Headers
    ) -> header_codec.RequestMetadata:
        """Return the marks of a caller's request."""
        found = group_by_name(headers)
        return header_codec.RequestMetadata(
            identifier=last_value(found, names.REQUEST_ID).decode('latin-1'),
            timeout_seconds=parse_milliseconds(
                last_value(found, names.DEADLINE)
            ),
            keys=tuple(
                parse_bearer_token(value)
                for value in found.get(names.AUTHORIZATION, ())
            ),
        )

    def write_request(
        self,
        headers: header_codec.Headers,
        marks: header_codec.ForwardMetadata,
    ) -> header_codec.Headers:
        """Return the headers for a target."""
        left = max(1, int(marks.remaining_seconds * MILLISECONDS_PER_SECOND))
        written = [
            header
            for header in headers
            if header[0].lower() not in PROXY_ONLY_HEADERS
        ]
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
        found = group_by_name(headers)
        is_misdirected = status == names.MISDIRECTED_STATUS
        return header_codec.AnswerMetadata(
            identifier=last_value(found, names.REQUEST_ID).decode('latin-1'),
            has_response_stamp=bool(last_value(found, names.RESPONSE_STAMP)),
            is_not_run=names.NOT_EXECUTED in found or is_misdirected,
            is_misdirected=is_misdirected,
            is_encoded=last_value(found, names.CONTENT_ENCODING)
            not in IDENTITY_ENCODINGS,
            idle_seconds=parse_keep_alive_timeout(
                last_value(found, names.KEEP_ALIVE)
            ),
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


HeaderValues = dict[bytes, list[bytes]]
IDENTITY_ENCODINGS: typing.Final = frozenset((b'', b'identity'))


def group_by_name(headers: header_codec.Headers) -> HeaderValues:
    """Return the values of each header by its name in lower case."""
    found: HeaderValues = {}
    for name, value in headers:
        found.setdefault(name.lower(), []).append(value)
    return found


def last_value(found: HeaderValues, name: bytes) -> bytes:
    """Return the last value of a header; empty if there is none."""
    return found.get(name, [b''])[-1]


def parse_milliseconds(value: bytes) -> float | None:
    """Read a time in milliseconds; return seconds, None if malformed."""
    try:
        return max(0, float(value) / MILLISECONDS_PER_SECOND)
    except ValueError:
        return None


def parse_bearer_token(value: bytes) -> str:
    """Read a bearer token; empty for another scheme."""
    if value[: len(names.BEARER_PREFIX)].lower() != names.BEARER_PREFIX:
        return ''
    return value[len(names.BEARER_PREFIX) :].strip().decode('latin-1')


def parse_keep_alive_timeout(value: bytes) -> float | None:
    """Read the idle time-out of a Keep-Alive header, in seconds."""
    for parameter in value.split(b','):
        name, _, seconds = parameter.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.isdigit():
            return float(seconds)
    return None
