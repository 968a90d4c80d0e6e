"""Start and stop the programs of a demonstration or a test."""

import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
import typing

import orjson

PROGRAMS_PACKAGE: typing.Final = 'sapphirepaddle.cli'
POLL_SECONDS: typing.Final = 0.02
STOP_TIMEOUT_SECONDS: typing.Final = 60
TAIL_CHARACTERS: typing.Final = 2000
LAUNCH_CODE: typing.Final = (
    '{prelude}\nfrom {package} import {name}\n{name}.main()'
)
PORT_RANGE: typing.Final = (10000, 32000)

guards: list[socket.socket] = []
"""Sockets that reserve addresses for the programs of this process."""


@dataclasses.dataclass(slots=True)
class Program:
    """A started program.

    Attributes:
        name: Name of the program in its fleet.
        process: Operating system process.
        log: File with its standard output and standard error.
        is_stop_requested: Whether it was asked to stop.
    """

    name: str
    process: 'subprocess.Popen[bytes]'
    log: pathlib.Path
    is_stop_requested: bool = False

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def pause(self) -> None:
        """Suspend the process."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.send_signal(signal.SIGCONT)

    def request_stop(self) -> None:
        """Ask the process to stop, without waiting.

        A suspended process is resumed first, since it could not handle the
        signal.
        """
        self.is_stop_requested = True
        self.resume()
        self.send_signal(signal.SIGTERM)

    def stop(self, seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Stop the process and return its exit code.

        Args:
            seconds: Time after which a process that has not ended is killed.
        """
        if not self.is_stop_requested:
            self.request_stop()
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.returncode

    def tail(self) -> str:
        """Return the last characters of the log."""
        return self.log.read_text(errors='replace')[-TAIL_CHARACTERS:]

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process.poll() is None


def start(
    name: str,
    program: str,
    settings: typing.Any,
    folder: pathlib.Path,
    prelude: str = '',
) -> Program:
    """Start a program with a settings file.

    Args:
        name: Name of the program, of its settings file and of its log.
        program: Module of its command line.
        settings: Settings as JSON values.
        folder: Directory of the settings file and the log.
        prelude: Python code to run before the program; a proof disables a
            mechanism with it.
    """
    path = folder / f'{name}.json'
    path.write_bytes(orjson.dumps(settings, option=orjson.OPT_INDENT_2))
    log = folder / f'{name}.log'
    code = LAUNCH_CODE.format(
        package=PROGRAMS_PACKAGE,
        name=program,
        prelude=prelude,
    )
    with log.open('ab') as output:
        process = subprocess.Popen(  # noqa: S603
            [sys.executable, '-c', code, '--settings', str(path)],
            stdout=output,
            stderr=subprocess.STDOUT,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
    return Program(name, process, log)


def free_port(host: str) -> int:
    """Return a free TCP port and reserve it for a program of this process.

    The port lies below the system's range of ephemeral ports, so that no
    outgoing connection can take it before the program listens.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        if reserve(host, port):
            return port


def reserve(host: str, port: int) -> bool:
    """Reserve an address until this process ends.

    The address is bound without listening. Programs that allow the reuse of
    addresses can listen on it; another call, also in another process, fails.

    Returns:
        Whether the address was free.
    """
    guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        guard.bind((host, port))
    except OSError:
        guard.close()
        return False
    guard.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    guards.append(guard)
    return True


def wait_for(
    condition: typing.Callable[[], bool],
    seconds: float,
    description: str,
) -> float:
    """Poll until a condition holds.

    Args:
        condition: Condition to poll.
        seconds: Timeout.
        description: What is waited for, for the error message.

    Returns:
        The waiting time in seconds.

    Raises:
        TimeoutError: If the condition does not hold in time.
    """
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if condition():
            return time.monotonic() - started
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'timed out waiting for {description} after {seconds} s')
