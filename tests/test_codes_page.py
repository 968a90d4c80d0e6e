"""The page of result codes."""

import pathlib
import unittest

from sapphirepaddle import codes, codes_page

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'RESULT_CODES.md'


class TestPage(unittest.TestCase):
    """The page and the table agree."""

    def test_page_is_current(self) -> None:
        """The page is what the table renders."""
        self.assertEqual(PAGE.read_text(), codes_page.render())

    def test_refusals_state_the_run(self) -> None:
        """Every refusal of a caller says whether the request ran."""
        for code in codes.CODES_BY_NUMBER.values():
            if code.number // 1000 == 3:
                self.assertIn(
                    code.run_statement, {codes.NOT_RUN, codes.MAY_HAVE_RUN}
                )


if __name__ == '__main__':
    unittest.main()
