"""Tests of reading the platform's settings file."""

import pathlib
import tempfile
import unittest

from sapphirepaddle import errors
from sapphirepaddle.platform import settings_file

TEXT = """
node = "edge-a-1"
ip = "10.1.0.37"
zone = "a"
internalPorts = [7560, 7575]
seeds = ["10.1.0.37:8381", "10.2.0.8:8381"]
bounds = ["graceS=6", "quotaOver=0.1", "strictRevoke=false", "newS=3"]
somethingNew = [1, 2]
[zones]
a = "r"
b = "r"
[listen]
front = "10.1.0.37:8388"
ready = "10.1.0.37:8384"
[limits]
memoryMb = 300
[platformStore]
address = "10.200.1.7:8382"
"""


class TestSettingsFile(unittest.TestCase):
    """Invalid files must be rejected with an error that names the field.

    Fields and bounds that the daemon does not know must be ignored.
    """

    def load(self, text: str) -> settings_file.edge.EdgeSettings:
        """Write a file and read it."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'node.toml')
            path.write_text(text)
            return settings_file.load(path)

    def test_fields_are_translated(self) -> None:
        settings = self.load(TEXT)
        self.assertEqual(settings.vm, 'edge-a-1')
        self.assertEqual(settings.callers.port, 8388)
        self.assertEqual(settings.peers.port, 7560)
        self.assertEqual(settings.snapshots.port, 7561)
        self.assertEqual(settings.source_address.host, '10.200.1.7')
        self.assertEqual(settings.seeds, ('10.1.0.37', '10.2.0.8'))
        self.assertEqual(settings.memory_bytes, 300 * 1048576)

    def test_bounds_that_are_not_given_keep_their_defaults(self) -> None:
        bounds = self.load(TEXT).bounds
        self.assertEqual(bounds.stop, 6)
        self.assertEqual(bounds.quota_excess, 0.1)
        self.assertEqual(bounds.drain, settings_file.edge.Bounds().drain)

    def test_error_names_the_field(self) -> None:
        with self.assertRaises(errors.SettingsError) as caught:
            self.load(TEXT.replace('8388', 'front'))
        self.assertIn('listen.front', caught.exception.detail)

    def test_not_toml(self) -> None:
        with self.assertRaises(errors.SettingsError):
            self.load('node = ')

    def test_missing_file(self) -> None:
        with self.assertRaises(errors.SettingsError):
            settings_file.load(pathlib.Path('missing.toml'))
