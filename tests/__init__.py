"""Tests.

Logs in the test process are discarded; daemons started by tests log to files.
"""

import logging

import structlog

structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
)
