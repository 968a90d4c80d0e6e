"""The version of the package."""

import typing

VERSION: typing.Final = '0.1.0'
