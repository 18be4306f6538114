"""Every event that the sources write is explained in docs/OPERATIONS.md, in the field's own words."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CALL = re.compile(r'(?:log|admitLine)\(\s*(?:[^"();]|\([^()]*\))*?"([a-z_]+)"(?:\s*:\s*"([a-z_]+)")?')
KIND = re.compile(r'\.event = (?:[^,;"]*\? )?"([a-z_]+)"(?:\s*:\s*"([a-z_]+)")?')
# Words of the platform's pages and of its wire, which the log does not use.
FOREIGN = {"ping", "manifest", "requester", "infrastructure", "tenant", "boot", "bounced", "echo", "installation", "impairment"}


def events():
    found = set()
    for folder in ("src", "platform"):
        for path in (ROOT / folder).rglob("*.cpp"):
            if "tests" in path.parts or "bench" in path.parts or "standins" in path.parts:
                continue
            text = path.read_text(encoding="utf-8")
            for pattern in (CALL, KIND):
                for match in pattern.finditer(text):
                    found.update(name for name in match.groups() if name)
    return found


class LogEvents(unittest.TestCase):
    def test_every_event_is_explained(self):
        page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        explained = set(re.findall(r"`([a-z_]+)`", page))
        self.assertGreater(len(events()), 40)
        self.assertEqual(set(), events() - explained)

    def test_no_event_uses_words_of_the_platforms_pages(self):
        self.assertEqual(set(), {event for event in events() if FOREIGN & set(event.split("_"))})


if __name__ == "__main__":
    unittest.main()
