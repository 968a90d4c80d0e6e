"""paddle-edge: the edge daemon, one on each VM of the platform."""

import asyncio
import os
import pathlib
import signal

from sapphirepaddle import errors
from sapphirepaddle.edge import daemon
from sapphirepaddle.platform import adapter, names, settings_file
from sapphirepaddle.settings import edge
from sapphirepaddle.telemetry import logs


async def serve(settings: edge.EdgeSettings, path: pathlib.Path) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP checks the settings file."""
    log_writer = logs.configure(settings.vm)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, log_reload, path, settings)
    try:
        await daemon.EdgeDaemon(
            settings, adapter.PlatformAdapter(settings.source_address)
        ).run(stop)
    finally:
        log_writer.close()


def log_reload(path: pathlib.Path, current: edge.EdgeSettings) -> None:
    """Read the settings again and log whether a restart is needed.

    Addresses are applied at the start only. What decides about requests
    comes from the configuration source, not from this file.
    """
    logger = logs.get_logger('daemon')
    try:
        reloaded = settings_file.load(path)
    except errors.SettingsError as error:
        logger.error('reload failed', reason=error.detail)
        return
    logger.info('reload', is_changed=reloaded != current)


def main() -> None:
    """Run the program."""
    path = pathlib.Path(os.environ[names.SETTINGS_VARIABLE])
    asyncio.run(serve(settings_file.load(path), path))


if __name__ == '__main__':
    main()
