import testtools

from poplaryard import jsonc
from poplaryard.codes import Code
from poplaryard.exceptions import CallError


class JsoncTest(testtools.TestCase):
    def error_code(self, text, **fields):
        return self.assertRaises(CallError, jsonc.loads, text, **fields).code

    def test_comments_and_trailing_commas_are_read(self):
        """Guards against the refusal of a file with comments."""
        text = "// note\n{a: 'x', \"b\": [1, 2.5,], /* } */ }"
        self.assertEqual({"a": "x", "b": [1, 2.5]}, jsonc.loads(text))

    def test_ambiguous_input_is_refused(self):
        """Guards against a duplicate key that silently replaces the first value."""
        for text in ('{"a": 1, "a": 2}', "{a: 1, a: 2}", "{", "", "[1] 2", b"\xff"):
            self.assertEqual(Code.MALFORMED, self.error_code(text), text)

    def test_non_finite_numbers_are_refused(self):
        """Guards against NaN or infinity that passes a range check."""
        for text in ("[NaN]", "[-Infinity]", "[1e999]", "[Infinity] //", "[1e999,]"):
            self.assertEqual(Code.NON_FINITE, self.error_code(text), text)

    def test_deep_nesting_is_refused(self):
        """Guards against a stack overflow or a slow parse of nested brackets."""
        for text in ("[" * 17 + "]" * 17, "[" * 100_000, "{a:" * 5000 + "//"):
            self.assertEqual(Code.TOO_DEEP, self.error_code(text))
        self.assertEqual("[" * 99, jsonc.loads(f'"{"[" * 99}"'))
        self.assertEqual(Code.TOO_DEEP, self.error_code("[[1]]", max_depth=1))

    def test_large_commented_text_is_refused(self):
        """Guards against a large text that takes json5 minutes to parse."""
        self.assertEqual(
            Code.TOO_LARGE, self.error_code("//" + "x" * 300_000 + "\n[1]")
        )
