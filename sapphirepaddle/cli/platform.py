"""paddle-platform: the stand-in of the platform."""

import asyncio

import typer

from sapphirepaddle.cli import common
from sapphirepaddle.gateway import http_server
from sapphirepaddle.settings import standins
from sapphirepaddle.standins import platform

application = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
)


async def serve(
    settings: standins.PlatformStandin, stop: asyncio.Event
) -> None:
    """Serve the object API until told to stop."""
    standin = platform.PlatformStandin(settings.list_lag_seconds)
    server = http_server.create(standin.application())
    opened = http_server.listen(settings.listener)
    serving = asyncio.create_task(http_server.run(server, opened))
    await stop.wait()
    server.force_exit = True
    await http_server.stop(server, serving)


@application.command()
def start(
    settings: common.SettingsFile, version: common.Version = False
) -> None:
    """Play the platform: object API, list of VMs, faults."""
    common.run_program(settings, standins.PlatformStandin, serve)


def main() -> None:
    """Run the program."""
    application()
