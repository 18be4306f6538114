#!/usr/bin/env python3
"""Compares the failures of a failed test run with KNOWN-RED.txt; exits with 0 if it lists all of them.

usage: knownred.py JUNIT_FILE KNOWN_RED_FILE
"""

import pathlib
import re
import sys
import xml.etree.ElementTree

# A CppUTest program names each failed test; the summary is missing if the program ended early.
FAILED_TEST = re.compile(r"Failure in (?:IGNORE_)?TEST\((\w+), (\w+)\)")
SUMMARY = re.compile(r"^Errors \(\d+ failures", re.MULTILINE)


def failed_tests(junit_text):
    """Returns the names of the failed tests: GROUP.NAME for each test of a CppUTest program that ran to its end, otherwise
    the name of the program."""
    failed = set()
    for case in xml.etree.ElementTree.fromstring(junit_text).iter("testcase"):
        if case.get("status") == "run":
            continue
        output = case.findtext("system-out") or ""
        tests = {f"{group}.{name}" for group, name in FAILED_TEST.findall(output)}
        failed |= tests if tests and SUMMARY.search(output) else {case.get("name")}
    return failed


def known_failures(text):
    """Returns the entries of KNOWN-RED.txt by test; an entry begins with "test: NAME" and ends with an empty line."""
    entries = {}
    for entry in text.split("\n\n"):
        first = entry.strip().splitlines()[:1]
        if first and first[0].startswith("test: "):
            entries[first[0].removeprefix("test: ").strip()] = entry.strip()
    return entries


def main(junit_file, known_file):
    known_path = pathlib.Path(known_file)
    known = known_failures(known_path.read_text(encoding="utf-8")) if known_path.exists() else {}
    failed = failed_tests(pathlib.Path(junit_file).read_text(encoding="utf-8"))
    for name in sorted(failed):
        print(f"known red: {known[name]}" if name in known else f"failed: {name}")
    if not failed:
        print("failed: the run failed, but the report names no failed test")
    return 0 if failed and failed <= known.keys() else 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
