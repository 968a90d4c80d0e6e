"""HTTP servers and their listening sockets."""

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
    """Uvicorn's server without its signal handling."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        """Install no signal handlers; the process has its own."""
        yield


def listen(address: base.Listener) -> socket.socket:
    """Open a listening socket.

    The address is bound exclusively: a second process on the same VM
    cannot bind it while the first one runs or is paused. The socket is
    created with an explicit TCP protocol number, since asyncio sets
    TCP_NODELAY only then.

    Raises:
        SettingsError: If the address cannot be bound.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listening_socket = socket.socket(
        family, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening_socket.bind((address.host, address.port))
    except OSError as error:
        listening_socket.close()
        raise errors.SettingsError(
            codes.ADDRESS_TAKEN,
            f'{address.host}:{address.port}: {error.strerror}',
        ) from error
    listening_socket.listen(BACKLOG)
    listening_socket.setblocking(False)
    return listening_socket


def create(
    application: typing.Any,
    protocol: typing.Any = 'httptools',
    keep_alive_seconds: float = 75,  # noqa: WPS432
) -> HttpServer:
    """Create a server for an ASGI application.

    Args:
        application: The ASGI application.
        protocol: Uvicorn's HTTP protocol class or its name.
        keep_alive_seconds: Seconds until an idle connection is closed.
    """
    uvicorn_logger = logging.getLogger('uvicorn')
    uvicorn_logger.addHandler(logging.NullHandler())
    uvicorn_logger.propagate = False
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


async def run(server: HttpServer, listening_socket: socket.socket) -> None:
    """Serve on a listening socket until the server is told to exit."""
    await server.serve([listening_socket])


async def stop(server: HttpServer, task: 'asyncio.Task[None]') -> None:
    """Tell a server to exit and wait until its requests have finished."""
    server.should_exit = True
    await task
