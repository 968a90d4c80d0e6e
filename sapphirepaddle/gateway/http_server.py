"""HTTP listeners of a process."""

import asyncio
import contextlib
import logging
import socket
import typing
from collections import abc

import uvicorn

from sapphirepaddle import codes, errors
from sapphirepaddle.settings import base

BACKLOG: typing.Final = 1024
POLL_SECONDS: typing.Final = 0.01


class HttpServer(uvicorn.Server):
    """The server library without its own signal handling."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        """Leave signals to the process."""
        yield


def listen(place: base.Listener) -> socket.socket:
    """Open a listening socket.

    The address is bound exclusively: a second process on the same VM
    cannot take it while the first one lives or is paused. The protocol is
    stated, since asyncio only then sends small writes without delay.

    Raises:
        SettingsError: If the address cannot be listened on.
    """
    family = socket.AF_INET6 if ':' in place.host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        opened.bind((place.host, place.port))
    except OSError as error:
        opened.close()
        raise errors.SettingsError(
            codes.ADDRESS_TAKEN,
            f'{place.host}:{place.port}: {error.strerror}',
        ) from error
    opened.listen(BACKLOG)
    opened.setblocking(False)
    return opened


def create(
    application: typing.Any,
    protocol: typing.Any = 'httptools',
    keep_alive_seconds: float = 75,  # noqa: WPS432
) -> HttpServer:
    """Create a server for an ASGI application.

    Args:
        application: The ASGI application.
        protocol: The server library's protocol class or its name.
        keep_alive_seconds: How long an idle connection stays open.
    """
    silent = logging.getLogger('uvicorn')
    silent.addHandler(logging.NullHandler())
    silent.propagate = False
    return HttpServer(
        uvicorn.Config(
            application,
            http=protocol,
            ws='none',
            lifespan='off',
            interface='asgi3',
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            timeout_keep_alive=int(keep_alive_seconds),
        ),
    )


async def run(server: HttpServer, opened: socket.socket) -> None:
    """Serve on a socket until the server is told to exit."""
    await server.serve([opened])


async def stop(server: HttpServer, task: 'asyncio.Task[None]') -> None:
    """Tell a server to exit and wait for its running requests."""
    server.should_exit = True
    await task
