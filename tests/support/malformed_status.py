"""Statuses of answers that are no final statuses of HTTP."""

import typing

STATUSES: typing.Final = (
    b'000',
    b'042',
    b'101',
    b'199',
    b'600',
    b'999',
    b'1000',
    b'0200',
    b'20',
    b'2',
    b'',
    b'-200',
    b'+200',
    b'2 00',
    b' 200',
    b'2_00',
    b'200x',
    b'2e2',
    '\u0662\u0660\u0660'.encode(),
    b'\xb2\xb0\xb0',
)
"""As they stand in the status line."""
