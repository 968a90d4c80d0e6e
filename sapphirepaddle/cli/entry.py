"""paddle-entry: the entry daemon, one on each entry VM."""

import asyncio

import typer

from sapphirepaddle import entry_daemon
from sapphirepaddle.cli import common
from sapphirepaddle.settings import entry
from sapphirepaddle.telemetry import logs

application = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
)


async def serve(settings: entry.EntrySettings, stop: asyncio.Event) -> None:
    """Run the daemon until the event is set, then close the log."""
    log_writer = logs.configure(settings.vm)
    try:
        await entry_daemon.EntryDaemon(settings).run(stop)
    finally:
        log_writer.close()


@application.command()
def start(
    settings: common.SettingsFile, version: common.Version = False
) -> None:
    """Serve callers until SIGTERM; a second signal terminates at once."""
    common.run_program(settings, entry.EntrySettings, serve)


def main() -> None:
    """Run the program."""
    application()
