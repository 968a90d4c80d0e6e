"""paddle-target: stand-ins for targets."""

import asyncio

import typer

from sapphirepaddle.cli import common
from sapphirepaddle.gateway import http_server
from sapphirepaddle.settings import standins
from sapphirepaddle.standins import target

application = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
)


async def serve_instance(
    settings: standins.TargetInstance,
    stop: asyncio.Event,
) -> None:
    """Serve one instance until the event is set."""
    standin = target.TargetStandin(settings)
    server = http_server.create(standin.application())
    listener = http_server.listen(settings.listener)
    server_task = asyncio.create_task(http_server.run(server, listener))
    await stop.wait()
    server.force_exit = True
    await http_server.stop(server, server_task)


async def serve(settings: standins.TargetStandin, stop: asyncio.Event) -> None:
    """Serve all instances until the event is set."""
    await asyncio.gather(
        *(serve_instance(instance, stop) for instance in settings.instances),
    )


@application.command()
def start(
    settings: common.SettingsFile, version: common.Version = False
) -> None:
    """Serve target stand-ins: slots, load shedding, gray failures, log."""
    common.run_program(settings, standins.TargetStandin, serve)


def main() -> None:
    """Run the program."""
    application()
