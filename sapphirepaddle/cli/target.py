"""paddle-target: stand-ins of targets."""

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
    """Serve one instance until told to stop."""
    standin = target.TargetStandin(settings)
    server = http_server.create(standin.application())
    opened = http_server.listen(settings.listener)
    serving = asyncio.create_task(http_server.run(server, opened))
    await stop.wait()
    server.force_exit = True
    await http_server.stop(server, serving)


async def serve(settings: standins.TargetStandin, stop: asyncio.Event) -> None:
    """Serve all instances until told to stop."""
    await asyncio.gather(
        *(serve_instance(instance, stop) for instance in settings.instances),
    )


@application.command()
def start(
    settings: common.SettingsFile, version: common.Version = False
) -> None:
    """Play targets: slots, shedding, gray modes, execution log."""
    common.run_program(settings, standins.TargetStandin, serve)


def main() -> None:
    """Run the program."""
    application()
