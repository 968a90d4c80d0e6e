"""Starting and ending the programs of a demonstration or a test."""

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

PROGRAMS: typing.Final = 'sapphirepaddle.cli'
POLL_SECONDS: typing.Final = 0.02
STOP_TIMEOUT_SECONDS: typing.Final = 60
TAIL_CHARACTERS: typing.Final = 2000
LAUNCH_CODE: typing.Final = (
    '{prelude}\nfrom {package} import {name}\n{name}.main()'
)
PORTS: typing.Final = (10000, 32000)

returned_addresses: set[tuple[str, int]] = set()


@dataclasses.dataclass(slots=True)
class Program:
    """One running program.

    Attributes:
        name: Its name here.
        process: The process.
        log: File of its standard output and errors.
        is_asked: Whether it was asked to stop.
    """

    name: str
    process: 'subprocess.Popen[bytes]'
    log: pathlib.Path
    is_stop_requested: bool = False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def pause(self) -> None:
        """Pause it."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self.send_signal(signal.SIGCONT)

    def request_stop(self) -> None:
        """Ask it to stop, without waiting."""
        self.is_stop_requested = True
        self.resume()
        self.send_signal(signal.SIGTERM)

    def stop(self, seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Ask it to stop and return its exit code; kill it if it hangs."""
        if not self.is_stop_requested:
            self.request_stop()
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.returncode

    def tail(self) -> str:
        """Return the end of its log."""
        return self.log.read_text(errors='replace')[-TAIL_CHARACTERS:]

    def is_running(self) -> bool:
        """Tell whether it runs."""
        return self.process.poll() is None


def start(
    name: str,
    program: str,
    settings: typing.Any,
    folder: pathlib.Path,
    prelude: str = '',
) -> Program:
    """Start a program with settings.

    Args:
        name: Its name here.
        program: Module of its command line.
        settings: Settings as plain JSON values.
        folder: Where its settings and its log go.
        prelude: Python code that runs first; a proof switches a mechanism
            off with it.
    """
    path = folder / f'{name}.json'
    path.write_bytes(orjson.dumps(settings, option=orjson.OPT_INDENT_2))
    log = folder / f'{name}.log'
    code = LAUNCH_CODE.format(
        package=PROGRAMS,
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
    """Return a TCP port that is free and was not returned before.

    It lies below the range from which the system takes the ports of
    outgoing connections, so that none of these takes it meanwhile.
    """
    while True:
        port = random.randrange(*PORTS)
        if (host, port) not in returned_addresses and is_free(host, port):
            returned_addresses.add((host, port))
            return port


def is_free(host: str, port: int) -> bool:
    """Tell whether an address can be listened on."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def wait_for(
    condition: typing.Callable[[], bool],
    seconds: float,
    what: str,
) -> float:
    """Wait until a condition holds.

    Returns:
        The seconds it took.

    Raises:
        TimeoutError: If it does not hold in time.
    """
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if condition():
            return time.monotonic() - started
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'{what} within {seconds} s')
