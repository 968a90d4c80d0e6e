"""Tests of the settings loader."""

import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from sapphirepaddle import errors
from sapphirepaddle.settings import entry, loader, programs

SAMPLES = pathlib.Path(__file__).parent.parent.parent / 'samples'
json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)


class TestLoad(unittest.TestCase):
    """A program must refuse unusable settings with a message for operators.

    A traceback, or only the first of several errors, would not tell an
    operator what to correct.
    """

    def setUp(self) -> None:
        """Create a temporary directory for a settings file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / 'settings.json'

    def load_error(self, text: str) -> errors.SettingsError:
        """Return the error with which a settings file is refused."""
        self.path.write_text(text)
        with self.assertRaises(errors.SettingsError) as caught:
            loader.load(self.path, entry.EntrySettings)
        return caught.exception

    def test_samples(self) -> None:
        """All sample settings files are valid."""
        for folder in ('brimweave', 'hejaz'):
            for name in ('entry', 'platform', 'target'):
                loader.load(
                    SAMPLES / folder / f'{name}.jsonc',
                    programs.MODELS_BY_PROGRAM[f'paddle-{name}'],
                )

    def test_every_error_is_named(self) -> None:
        """The detail has the file and field of every error, not only one."""
        text = """{ // comment
            "vm": "", "availability_zone": "a", "unknown": 1,
            "callers": {"host": "nowhere", "port": 70000},
            "peers": {"port": 1}, "operators": {"port": 2},
            "platform": {"url": "ftp://x"}, "peer_secrets": ["short"]
        }"""
        detail = self.load_error(text).detail
        fields = (
            'vm',
            'unknown',
            'callers.host',
            'callers.port',
            'platform.url',
            'peer_secrets.0',
        )
        for field in fields:
            self.assertIn(f'{self.path}: {field}: ', detail)

    def test_not_json(self) -> None:
        """Text that is not JSON with comments is reported as unreadable."""
        for text in ('', '{', '[1,]x', '\x00', '{"a": }'):
            self.assertEqual(self.load_error(text).code.number, 1001)

    @hypothesis.given(json_values)
    @hypothesis.settings(deadline=None)
    def test_any_content(self, value: object) -> None:
        """Any JSON value is refused with a settings error."""
        self.assertIn(
            self.load_error(loader.jsonc.dumps(value)).code.number,
            {1001, 1002},
        )

    def test_invalid_settings_stop_start(self) -> None:
        """A program with invalid settings exits with an error message."""
        self.path.write_text('{"vm": 1}')
        code = 'from sapphirepaddle.cli import entry; entry.main()'
        completed = subprocess.run(
            [sys.executable, '-c', code, '--settings', str(self.path)],
            capture_output=True,
            text=True,
        )
        self.assertEqual(completed.returncode, 11)
        self.assertIn('1002 settings-invalid', completed.stderr)
        self.assertNotIn('Traceback', completed.stderr)

    def test_address_in_use(self) -> None:
        """A program exits and prints the address if it is already in use."""
        with socket.create_server(('127.0.0.1', 0)) as listening_socket:
            port = listening_socket.getsockname()[1]
            self.path.write_text(f'{{"listener": {{"port": {port}}}}}')
            code = 'from sapphirepaddle.cli import platform; platform.main()'
            completed = subprocess.run(
                [sys.executable, '-c', code, '--settings', str(self.path)],
                capture_output=True,
                text=True,
            )
        self.assertEqual(completed.returncode, 11)
        self.assertIn(f'1003 address-taken: 127.0.0.1:{port}', completed.stderr)


if __name__ == '__main__':
    unittest.main()
