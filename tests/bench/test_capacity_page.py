"""Tests of the capacity page."""

import pathlib
import unittest

from bench import capacity_page

DOCS = pathlib.Path(__file__).parent.parent.parent / 'docs'


class TestCapacityPage(unittest.TestCase):
    """Page and slopes must not diverge when either is edited."""

    def test_page_is_current(self) -> None:
        """The page equals the rendering of the committed slopes."""
        slopes_json = (DOCS / 'slopes.json').read_bytes()
        page = (DOCS / 'CAPACITY.md').read_text()
        self.assertEqual(page, capacity_page.render(slopes_json))


if __name__ == '__main__':
    unittest.main()
