"""Version of the package."""

import typing

VERSION: typing.Final = '0.2.0'
