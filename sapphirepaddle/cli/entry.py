"""paddle-entry: the daemon on every entry VM."""

import asyncio

import typer

from sapphirepaddle import daemon
from sapphirepaddle.cli import common
from sapphirepaddle.settings import entry, loader
from sapphirepaddle.telemetry import logs

application = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
)


@application.command()
def start(
    settings: common.SettingsFile, version: common.Version = False
) -> None:
    """Serve callers until SIGTERM; a second signal ends at once."""
    with common.report_errors():
        loaded = loader.load(settings, entry.Entry)
    lines = logs.configure(loaded.vm)

    async def main(stop: asyncio.Event) -> None:  # noqa: WPS430
        await daemon.Daemon(loaded).run(stop)

    common.run(main)
    lines.close()


def main() -> None:
    """Run the program."""
    application()
