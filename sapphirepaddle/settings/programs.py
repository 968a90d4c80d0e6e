"""Settings models by program name."""

import types
import typing

from sapphirepaddle.settings import base, entry, standins

MODELS_BY_PROGRAM: typing.Final[
    types.MappingProxyType[str, type[base.Settings]]
] = types.MappingProxyType(
    {
        'paddle-entry': entry.EntrySettings,
        'paddle-platform': standins.PlatformStandin,
        'paddle-target': standins.TargetStandin,
    },
)
