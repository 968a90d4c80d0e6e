"""paddle-platform: the stand-in for the platform."""

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
    """Serve the platform stand-in until the event is set."""
    standin = platform.PlatformStandin(settings.list_lag_seconds)
    server = http_server.create(standin.application())
    listener = http_server.listen(settings.listener)
    server_task = asyncio.create_task(http_server.run(server, listener))
    await stop.wait()
    server.force_exit = True
    await http_server.stop(server, server_task)


@application.command()
def start(
    settings: common.SettingsFile, version: common.Version = False
) -> None:
    """Serve a platform stand-in: object API, list of VMs, faults."""
    common.run_program(settings, standins.PlatformStandin, serve)


def main() -> None:
    """Run the program."""
    application()
