"""Names of the HTTP headers that the daemons read and write."""

import typing

AUTHORIZATION: typing.Final = b'authorization'
API_KEY: typing.Final = b'x-api-key'
BEARER_PREFIX: typing.Final = b'bearer '
IDEMPOTENCY_KEY: typing.Final = b'idempotency-key'
REQUEST_IDENTIFIER: typing.Final = b'x-request-id'
DEADLINE: typing.Final = b'x-deadline-ms'
NOT_RUN: typing.Final = b'x-not-run'
LOAD: typing.Final = b'x-load'
DRAINING: typing.Final = b'x-draining'
RESULT_CODE: typing.Final = b'x-result-code'
RUN_STATEMENT: typing.Final = b'x-run'
REPLAYED: typing.Final = b'x-replayed'

CONNECTION: typing.Final = b'connection'
CONTENT_LENGTH: typing.Final = b'content-length'
CONTENT_TYPE: typing.Final = b'content-type'
TRANSFER_ENCODING: typing.Final = b'transfer-encoding'
HOST: typing.Final = b'host'
FORWARDED_FOR: typing.Final = b'x-forwarded-for'
VIA: typing.Final = b'via'
VIA_PSEUDONYM: typing.Final = b'1.1 sapphirepaddle'

HOP_BY_HOP: typing.Final = frozenset(
    (
        CONNECTION,
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        TRANSFER_ENCODING,
        b'upgrade',
    ),
)
"""Headers that apply to a single connection (RFC 9110, section 7.6.1)."""
