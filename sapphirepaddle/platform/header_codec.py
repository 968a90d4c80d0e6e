"""HTTP headers that the platform defines for callers and targets."""

import itertools
import re
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
    """Reads and writes headers as the platform's documentation names them."""

    def read_request(
        self, headers: header_codec.Headers
    ) -> header_codec.RequestMetadata:
        """Return the metadata in the headers of a caller's request."""
        header_values = group_by_name(headers)
        return header_codec.RequestMetadata(
            identifier=last_value(header_values, names.REQUEST_ID).decode(
                'latin-1'
            ),
            timeout_seconds=parse_milliseconds(
                last_value(header_values, names.DEADLINE)
            ),
            keys=tuple(
                parse_bearer_token(value)
                for value in header_values.get(names.AUTHORIZATION, ())
            ),
        )

    def write_request(
        self,
        headers: header_codec.Headers,
        metadata: header_codec.ForwardMetadata,
    ) -> header_codec.Headers:
        """Return the headers of a request to a target.

        Headers that only the proxy may set, and the caller's API key, are
        replaced or dropped. The deadline is at least 1 ms.
        """
        remaining_ms = max(
            1, int(metadata.remaining_seconds * MILLISECONDS_PER_SECOND)
        )
        target_headers = [
            header
            for header in headers
            if header[0].lower() not in PROXY_ONLY_HEADERS
        ]
        target_headers.append((b'X-Deadline-Ms', b'%d' % remaining_ms))
        target_headers.append((b'X-Expect-Instance', metadata.target.encode()))
        if metadata.account:
            target_headers.append((b'X-Tenant-Id', metadata.account.encode()))
        return target_headers

    def read_answer(
        self,
        status: int,
        headers: header_codec.Headers,
    ) -> header_codec.AnswerMetadata:
        """Return the metadata in the headers of a target's answer.

        The time in Retry-After counts only beside the status with which
        targets turn requests away.
        """
        header_values = group_by_name(headers)
        pause_text = last_value(header_values, names.RETRY_AFTER)
        has_pause = bool(pause_text) and status == names.TURNED_AWAY_STATUS
        pause_seconds = parse_pause_seconds(pause_text) if has_pause else None
        leaving_text = last_value(header_values, names.LEAVING).strip()
        return header_codec.AnswerMetadata(
            identifier=last_value(header_values, names.REQUEST_ID).decode(
                'latin-1'
            ),
            has_response_stamp=bool(
                last_value(header_values, names.RESPONSE_STAMP)
            ),
            is_not_run=names.NOT_EXECUTED in header_values,
            is_misdirected=status == names.MISDIRECTED_STATUS,
            responder=last_value(header_values, names.RESPONDER).decode(
                'latin-1'
            ),
            is_encoded=last_value(header_values, names.CONTENT_ENCODING)
            not in IDENTITY_ENCODINGS,
            idle_seconds=parse_keep_alive_timeout(
                last_value(header_values, names.KEEP_ALIVE)
            ),
            is_leaving=leaving_text == names.LEAVING_VALUE,
            pause_seconds=pause_seconds,
            warmup_seconds=parse_warmup_seconds(
                last_value(header_values, names.WARMUP)
            ),
            malformed_headers=tuple(
                itertools.compress(
                    OPTIONAL_HEADERS,
                    (
                        leaving_text not in VALID_LEAVING_VALUES,
                        has_pause and pause_seconds is None,
                    ),
                )
            ),
        )

    def write_refusal(
        self,
        identifier: str,
        retry_after: float,
    ) -> header_codec.Headers:
        """Return the headers of a refusal.

        Args:
            identifier: Identifier of the request; empty for none.
            retry_after: Seconds until a retry makes sense; 0 for none.
        """
        refusal_headers = []
        if identifier:
            refusal_headers.append(
                (b'X-Request-Id', identifier.encode('latin-1'))
            )
        if retry_after:
            refusal_headers.append(
                (b'Retry-After', f'{retry_after:.2f}'.encode())
            )
        return refusal_headers


HeaderValues = dict[bytes, list[bytes]]
OPTIONAL_HEADERS: typing.Final = (
    names.LEAVING.decode(),
    names.RETRY_AFTER.decode(),
)
"""Headers with which targets state that they leave or want a pause."""
VALID_LEAVING_VALUES: typing.Final = frozenset((b'', names.LEAVING_VALUE))
SECONDS: typing.Final = re.compile(rb'[0-9]{1,18}(\.[0-9]{0,18})?')
"""Seconds in a Retry-After header: a decimal number without sign or exponent.
A date is not accepted."""
IDENTITY_ENCODINGS: typing.Final = frozenset((b'', b'identity'))


def group_by_name(headers: header_codec.Headers) -> HeaderValues:
    """Group header values by lower-case header name."""
    header_values: HeaderValues = {}
    for name, value in headers:
        header_values.setdefault(name.lower(), []).append(value)
    return header_values


def last_value(header_values: HeaderValues, name: bytes) -> bytes:
    """Return the last value of a header, or empty bytes if it is absent."""
    return header_values.get(name, [b''])[-1]


def parse_milliseconds(value: bytes) -> float | None:
    """Parse milliseconds and return seconds, or None if malformed."""
    try:
        return max(0, float(value) / MILLISECONDS_PER_SECOND)
    except ValueError:
        return None


def parse_warmup_seconds(value: bytes) -> float | None:
    """Parse the milliseconds of a warm-up; None if absent or malformed."""
    text = value.strip()
    if not SECONDS.fullmatch(text):
        return None
    return float(text) / MILLISECONDS_PER_SECOND


def parse_bearer_token(value: bytes) -> str:
    """Return the token, or an empty string for another scheme."""
    if value[: len(names.BEARER_PREFIX)].lower() != names.BEARER_PREFIX:
        return ''
    return value[len(names.BEARER_PREFIX) :].strip().decode('latin-1')


def parse_keep_alive_timeout(value: bytes) -> float | None:
    """Return the idle timeout of a Keep-Alive header in seconds, or None."""
    for parameter in value.split(b','):
        name, _, seconds = parameter.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.isdigit():
            return float(seconds)
    return None


def parse_pause_seconds(text: bytes) -> float | None:
    """Return the seconds of a Retry-After header; None if malformed."""
    text = text.strip()
    return float(text) if SECONDS.fullmatch(text) else None
