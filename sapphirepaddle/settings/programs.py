"""Registry of the settings models by program."""

import types
import typing

from sapphirepaddle.settings import base, entry, standins

MODELS: typing.Final[types.MappingProxyType[str, type[base.Settings]]] = (
    types.MappingProxyType(
        {
            'paddle-entry': entry.Entry,
            'paddle-platform': standins.PlatformStandin,
            'paddle-target': standins.TargetStandin,
        },
    )
)
