"""Tests of request_story.py with log lines in the format of the daemons."""

import contextlib
import io
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import request_story

LINES = """\
  1.0000 balancer-1 {"time_ms":1000,"level":"info","daemon":"balancer-1","event":"opening_placed","request":"100.64.0.7:40001-198.18.0.1:443#77","reason":"first_accepting","table":"9","copies":"0","server":"i-1"}
{"time_ms":990,"level":"info","daemon":"agent-1","event":"admission_closed","reason":"busy","outstanding":"5","table":"9"}
{"time_ms":1001,"level":"info","daemon":"agent-1","event":"opening_passed_on","request":"100.64.0.7:40001-198.18.0.1:443#77","reason":"busy","hops":"0"}
{"time_ms":1002,"level":"warn","daemon":"agent-2","event":"opening_dropped","request":"100.64.0.7:40001-198.18.0.1:443#77","reason":"table_too_old","hops":"1"}
{"time_ms":1003,"level":"warn","daemon":"agent-2","event":"opening_refused","request":"100.64.0.8:40001-198.18.0.1:443#78","reason":"taken_by_nobody","hops":"1"}
{"time_ms":60000,"level":"warn","daemon":"agent-2","event":"opening_refused","request":"100.64.0.7:40001-198.18.0.1:443#5000","reason":"taken_by_nobody","hops":"1"}
{"time_ms":1003,"level":"info","daemon":"agent-9","event":"admission_closed","reason":"busy"}
not a line of a daemon {"broken
"""


class RequestStory(unittest.TestCase):
    def run_story(self, *arguments):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write(LINES)
            file.flush()
            output = io.StringIO()
            errors = io.StringIO()
            with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
                status = request_story.main([*arguments, file.name])
        return status, output.getvalue().splitlines(), errors.getvalue()

    def test_prints_request_and_daemon_conditions_sorted_by_time(self):
        status, lines, errors = self.run_story("--flow", "100.64.0.7:40001-198.18.0.1:443", "--opening", "77")
        self.assertEqual(0, status)
        events = [line.split()[2] for line in lines]
        self.assertEqual(["admission_closed", "opening_placed", "opening_passed_on", "opening_dropped"], events)
        self.assertIn("1 lines skipped that are not log lines", errors)

    def test_opening_distinguishes_requests_with_reused_port(self):
        _, lines, _ = self.run_story("--flow", "100.64.0.7:40001-198.18.0.1:443", "--opening", "5000")
        self.assertEqual(1, len(lines))
        self.assertIn("taken_by_nobody", lines[0])

    def test_selects_by_time_service_and_reason(self):
        _, lines, _ = self.run_story("--service", "198.18.0.1:443", "--around", "1000", "--reason", "taken_by_nobody")
        self.assertEqual(1, sum("request=100.64.0.8" in line for line in lines))

    def test_reports_no_matching_line(self):
        status, lines, errors = self.run_story("--caller", "100.64.0.99")
        self.assertEqual((1, []), (status, lines))
        self.assertIn("no matching log line", errors)

    def test_rejects_missing_selection(self):
        with self.assertRaises(SystemExit), contextlib.redirect_stderr(io.StringIO()):
            request_story.main(["some.log"])


if __name__ == "__main__":
    unittest.main()
