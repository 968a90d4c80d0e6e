"""Settings files."""

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
values = strategies.recursive(
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
    """Reading and checking."""

    def setUp(self) -> None:
        """Make a folder for files."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'settings.json'

    def error_of(self, text: str) -> errors.SettingsError:
        """Return the error of a file."""
        self.path.write_text(text)
        with self.assertRaises(errors.SettingsError) as caught:
            loader.load(self.path, entry.EntrySettings)
        return caught.exception

    def test_samples(self) -> None:
        """Every sample file is good."""
        for folder in ('brimweave', 'hejaz'):
            for name in ('entry', 'platform', 'target'):
                loader.load(
                    SAMPLES / folder / f'{name}.jsonc',
                    programs.MODELS_BY_PROGRAM[f'paddle-{name}'],
                )

    def test_every_error_is_named(self) -> None:
        """One message names file, field and reason of each error."""
        text = """{ // comment
            "vm": "", "availability_zone": "a", "unknown": 1,
            "callers": {"host": "nowhere", "port": 70000},
            "peers": {"port": 1}, "operators": {"port": 2},
            "platform": {"url": "ftp://x"}, "peer_secrets": ["short"]
        }"""
        detail = self.error_of(text).detail
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
        """Text that is not JSON with comments has a code of its own."""
        for text in ('', '{', '[1,]x', '\x00', '{"a": }'):
            self.assertEqual(self.error_of(text).code.number, 1001)

    @hypothesis.given(values)
    @hypothesis.settings(deadline=None)
    def test_any_content(self, value: object) -> None:
        """Any JSON gives a clear error."""
        self.assertIn(
            self.error_of(loader.jsonc.dumps(value)).code.number,
            {1001, 1002},
        )

    def test_nothing_starts(self) -> None:
        """A program with bad settings starts nothing and says why."""
        self.path.write_text('{"vm": 1}')
        code = 'from sapphirepaddle.cli import entry; entry.main()'
        ended = subprocess.run(
            [sys.executable, '-c', code, '--settings', str(self.path)],
            capture_output=True,
            text=True,
        )
        self.assertEqual(ended.returncode, 11)
        self.assertIn('1002 settings-invalid', ended.stderr)
        self.assertNotIn('Traceback', ended.stderr)

    def test_taken_address(self) -> None:
        """A second program on an address says which, and ends."""
        with socket.create_server(('127.0.0.1', 0)) as holder:
            port = holder.getsockname()[1]
            self.path.write_text(f'{{"listener": {{"port": {port}}}}}')
            code = 'from sapphirepaddle.cli import platform; platform.main()'
            ended = subprocess.run(
                [sys.executable, '-c', code, '--settings', str(self.path)],
                capture_output=True,
                text=True,
            )
        self.assertEqual(ended.returncode, 11)
        self.assertIn(f'1003 address-taken: 127.0.0.1:{port}', ended.stderr)


if __name__ == '__main__':
    unittest.main()
