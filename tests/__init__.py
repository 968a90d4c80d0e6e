"""Tests. In-process logs are silent; daemons of tests write to files."""

import logging

import structlog

structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
)
