"""Names that the platform defines: headers, kinds of objects, paths."""

import typing

SETTINGS_VARIABLE: typing.Final = 'SAPPHIREPADDLE_SETTINGS'

REQUEST_ID: typing.Final = b'x-request-id'
DEADLINE: typing.Final = b'x-deadline-ms'
EXPECTED_TARGET: typing.Final = b'x-expect-instance'
ACCOUNT: typing.Final = b'x-tenant-id'
AUTHORIZATION: typing.Final = b'authorization'
BEARER_PREFIX: typing.Final = b'bearer '
RESPONSE_STAMP: typing.Final = b'x-response-stamp'
NOT_EXECUTED: typing.Final = b'x-not-executed'
RESPONDER: typing.Final = b'x-instance-id'
WARMUP: typing.Final = b'x-warmup-ms'
KEEP_ALIVE: typing.Final = b'keep-alive'
LEAVING: typing.Final = b'server-leaving'
LEAVING_VALUE: typing.Final = b'1'
RETRY_AFTER: typing.Final = b'retry-after'
CONTENT_ENCODING: typing.Final = b'content-encoding'

MISDIRECTED_STATUS: typing.Final = 421
TURNED_AWAY_STATUS: typing.Final = 503
METRICS_PORT: typing.Final = 9464
METRICS_PATH: typing.Final = '/metrics'
"""Path of the metrics, as stated in deploy/system.toml."""
READY_PATH: typing.Final = '/v1/readiness'
OBJECTS_PATH: typing.Final = '/v1/objects/'

CONFIGURATION_KIND: typing.Final = 'config'
CONFIGURATION_NAME: typing.Final = 'main'
TARGET_KIND: typing.Final = 'servers'
EMPTIED_ZONE_KIND: typing.Final = 'evacuations'
MEMBER_KIND: typing.Final = 'paddle-members'

STATE_READY: typing.Final = 'ready'
STATE_DRAINING: typing.Final = 'draining'
KIND_IDEMPOTENT: typing.Final = 'idempotent'
HOME_REGIONS: typing.Final = 'allowedRegions'
