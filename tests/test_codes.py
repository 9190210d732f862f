import pathlib
import re

import testtools

from poplaryard.codes import Code

_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "result-codes.md"
_ROW = re.compile(r"^\| (\d+) \| `(\w+)` \| (\d+) \| (\w+) \| (.+) \|$", re.M)


class CodesTest(testtools.TestCase):
    def test_page_lists_every_code(self):
        """Guards against codes that the page leaves out or describes differently."""
        listed = _ROW.findall(_PAGE.read_text())
        expected = [
            (str(int(c)), c.name, str(c.status), c.outcome.value, c.meaning)
            for c in sorted(Code)
        ]
        self.assertEqual(expected, sorted(listed, key=lambda row: int(row[0])))
