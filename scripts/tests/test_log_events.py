"""Checks that docs/OPERATIONS.md explains every log event, and that events use no terms of the platform."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LOG_CALL = re.compile(r'(?:log|admitLine)\(\s*(?:[^"();]|\([^()]*\))*?"([a-z_]+)"(?:\s*:\s*"([a-z_]+)")?')
EVENT_ASSIGNMENT = re.compile(r'\.event = (?:[^,;"]*\? )?"([a-z_]+)"(?:\s*:\s*"([a-z_]+)")?')
# Terms of the platform's documentation and protocol that log events must not contain.
PLATFORM_TERMS = {"ping", "manifest", "requester", "infrastructure", "tenant", "boot", "bounced", "echo", "installation", "impairment"}


def logged_events():
    found = set()
    for folder in ("src", "platform"):
        for path in (ROOT / folder).rglob("*.cpp"):
            if "tests" in path.parts or "bench" in path.parts or "standins" in path.parts:
                continue
            text = path.read_text(encoding="utf-8")
            for pattern in (LOG_CALL, EVENT_ASSIGNMENT):
                for match in pattern.finditer(text):
                    found.update(name for name in match.groups() if name)
    return found


class LogEvents(unittest.TestCase):
    def test_documents_every_event(self):
        page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        explained = set(re.findall(r"`([a-z_]+)`", page))
        self.assertGreater(len(logged_events()), 40)
        self.assertEqual(set(), logged_events() - explained)

    def test_events_contain_no_platform_terms(self):
        self.assertEqual(set(), {event for event in logged_events() if PLATFORM_TERMS & set(event.split("_"))})


if __name__ == "__main__":
    unittest.main()
