"""Checks that only the listed tests may fail."""

import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import knownred  # noqa: E402

KNOWN = "test: Group.Known\ncommand: ./run unit\nseen: a failure\n"


def junit(status, output):
    return f'<testsuite><testcase name="control" status="{status}"><system-out>{output}</system-out></testcase></testsuite>'


def verdict(status, output, known=KNOWN):
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder, "junit.xml")
        report.write_text(junit(status, output), encoding="utf-8")
        listed = pathlib.Path(folder, "KNOWN-RED.txt")
        if known is not None:
            listed.write_text(known, encoding="utf-8")
        return knownred.main(report, listed)


def failure(name):
    return f"a.cpp:1: error: Failure in TEST(Group, {name})\n"


SUMMARY = "\nErrors (1 failures, 9 tests, 9 ran)\n"


class KnownRed(unittest.TestCase):
    def test_passes_over_listed_test(self):
        self.assertEqual(0, verdict("fail", failure("Known") + SUMMARY))

    def test_other_test_of_the_same_program_fails_the_run(self):
        self.assertEqual(1, verdict("fail", failure("Known") + failure("Other") + SUMMARY))

    def test_program_that_ends_early_fails_the_run(self):
        self.assertEqual(1, verdict("fail", failure("Known")))
        self.assertEqual(1, verdict("fail", ""))

    def test_unlisted_failure_without_list_fails_the_run(self):
        self.assertEqual(1, verdict("fail", failure("Known") + SUMMARY, known=None))

    def test_failed_run_without_failed_test_fails(self):
        self.assertEqual(1, verdict("run", "OK (9 tests, 9 ran)"))


if __name__ == "__main__":
    unittest.main()
