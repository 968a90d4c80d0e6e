"""Reading of the settings file that the platform provides to each process."""

import pathlib
import tomllib
import typing

import pydantic

from sapphirepaddle import codes, errors
from sapphirepaddle.platform import names, settings_model
from sapphirepaddle.settings import edge, loader

BYTES_PER_MEBIBYTE: typing.Final = 1048576
BOUND_KEYS: typing.Final = {  # noqa: WPS407
    'stop': 'graceS',
    'drain': 'drainS',
    'repeat_ratio': 'retryBudgetRatio',
    'repeat_slack': 'retryBudgetSlack',
    'repeat_window': 'budgetWindowS',
    'quota_window': 'quotaWindowS',
    'quota_excess': 'quotaOver',
    'quota_slack': 'quotaSlack',
    'warmup_ratio': 'warmupOver',
    'warmup_slack': 'warmupSlack',
    'empty_zone': 'evacS',
}


def load(path: pathlib.Path) -> edge.EdgeSettings:
    """Read and validate a settings file.

    Raises:
        SettingsError: If the file is unreadable or invalid.
    """
    try:
        text = path.read_text(encoding='utf-8')
        decoded = tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            codes.SETTINGS_UNREADABLE,
            f'{path}: {error}',
        ) from error
    return decode(decoded, str(path))


def decode(decoded: dict[str, typing.Any], file_name: str) -> edge.EdgeSettings:
    """Convert the platform's settings into those of the daemon.

    The first internal port serves peers; snapshots are served on the port
    that follows it.

    Args:
        decoded: Content of the settings file.
        file_name: Name of the file, for error messages.

    Raises:
        SettingsError: If a field is missing or invalid.
    """
    try:
        model = settings_model.SettingsModel.model_validate(decoded)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            codes.SETTINGS_INVALID,
            '\n'.join(loader.describe_errors(file_name, error)),
        ) from error
    first_port = model.inner_ports[0]
    return edge.EdgeSettings(
        vm=model.node,
        zone=model.zone,
        callers=parse_address(model.listen.front),
        ready=parse_address(model.listen.ready),
        metrics=edge.Address(model.ip, names.METRICS_PORT),
        peers=edge.Address(model.ip, first_port),
        snapshots=edge.Address(model.ip, first_port + 1),
        source_address=parse_address(model.store.address),
        seeds=tuple(parse_address(seed).host for seed in model.seeds),
        memory_bytes=int(model.limits.memory_mb * BYTES_PER_MEBIBYTE),
        bounds=read_bounds(model.bounds),
        regions=model.zones,
        is_first_start=model.bootstrap,
    )


def parse_address(text: str) -> edge.Address:
    """Parse an address of the form host:port."""
    host, _, port = text.rpartition(':')
    return edge.Address(host, int(port))


def read_bounds(texts: list[str]) -> edge.Bounds:
    """Parse bounds of the form key=number.

    Unknown keys are ignored; absent ones keep their defaults.
    """
    pairs = (text.partition('=') for text in texts)
    bound_by_key = {key.strip(): bound.strip() for key, _, bound in pairs}
    return edge.Bounds(
        **{
            field: float(bound_by_key[key])
            for field, key in BOUND_KEYS.items()
            if key in bound_by_key
        },
    )
