#!/usr/bin/env python3
"""Prints the log lines of a deployment that concern one request, sorted by time.

  request_story.py --flow 100.64.0.7:40001-198.18.0.1:443 [--opening SEQ] [--around MS [--seconds S]] FILE...
  request_story.py --caller 100.64.0.7 ... | --service 198.18.0.1:443 ... | --daemon NAME ... | --reason REASON ...

FILE contains log lines of any number of daemons, each a JSON object; text before the object (a time, a host name) is
ignored. "-" reads standard input. A request is identified by its flow, CALLER-SERVICE, and by the sequence number of the
packet that opened it, because ports are reused. The output includes lines about the state of the daemons on the request's
path around that time: closed admission, silent servers, lost leaders, slow disks, suppressed log lines.
"""

import argparse
import json
import sys

# Events that concern a daemon and not a request.
CONDITIONS = {
    "admission_closed", "admission_opened", "server_silent", "server_heard", "server_started", "server_left",
    "server_drain_changed", "server_process_ended", "server_health_checked", "server_ended_before_agent", "zone_out", "zone_returned", "quorum_lost", "quorum_gained",
    "leader_lost", "leader_heard", "leader_elected", "leader_stepped_down", "controllers_unreachable",
    "controllers_reachable", "controller_unreachable", "controller_reached", "disk_slow", "disk_recovered",
    "storage_failed", "storage_recovered", "daemon_started", "daemon_stopping", "daemon_stopped", "daemon_failed", "daemon_aborted",
    "log_lines_suppressed", "log_lines_lost", "heartbeat_refused",
}
# Conditions are printed from BEFORE_MS before the request's first line to AFTER_MS after its last.
BEFORE_MS = 5000
AFTER_MS = 500


def read_lines(files):
    """Yields the JSON object at the end of each line if it has an event; counts and skips other lines."""
    skipped = 0
    for file in files:
        stream = sys.stdin if file == "-" else open(file, encoding="utf-8", errors="replace")
        with stream:
            for line in stream:
                start = line.find('{"')
                try:
                    entry = json.loads(line[start:]) if start >= 0 else None
                except ValueError:
                    entry = None
                if isinstance(entry, dict) and "event" in entry and "time_ms" in entry:
                    yield entry
                else:
                    skipped += 1
    if skipped:
        print(f"{skipped} lines skipped that are not log lines", file=sys.stderr)


def matches(entry, options):
    if "request" not in entry:
        return False
    flow, _, opening = entry["request"].partition("#")
    caller, _, service = flow.partition("-")
    criteria = [
        options.flow is None or flow == options.flow,
        options.opening is None or not opening or opening == options.opening,
        options.caller is None or caller == options.caller or caller.partition(":")[0] == options.caller,
        options.service is None or service == options.service,
        options.daemon is None or entry.get("daemon") == options.daemon,
        options.reason is None or entry.get("reason") == options.reason,
        options.around is None or abs(entry["time_ms"] - options.around) <= options.seconds * 1000,
    ]
    return all(criteria)


def select_entries(entries, options):
    """Returns the lines of the matching requests and the conditions of the daemons on their path, sorted by time."""
    request_entries = [entry for entry in entries if matches(entry, options)]
    if not request_entries:
        return []
    daemons = {entry.get("daemon") for entry in request_entries}
    begin = min(entry["time_ms"] for entry in request_entries) - BEFORE_MS
    end = max(entry["time_ms"] for entry in request_entries) + AFTER_MS
    conditions = [
        entry for entry in entries
        if entry["event"] in CONDITIONS and entry.get("daemon") in daemons and begin <= entry["time_ms"] <= end
    ]
    return sorted(request_entries + conditions, key=lambda entry: entry["time_ms"])


def format_entry(entry):
    fields = " ".join(f"{key}={value}" for key, value in entry.items() if key not in ("time_ms", "level", "daemon", "event"))
    return f"{entry['time_ms']} {entry.get('daemon', '-'):<18} {entry['event']:<20} {fields}"


def parse_arguments(arguments):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--flow", help="CALLER:PORT-SERVICE:PORT")
    parser.add_argument("--opening", help="sequence number of the packet that opened the flow")
    parser.add_argument("--caller", help="address of the caller, with or without its port")
    parser.add_argument("--service", help="address and port of the service")
    parser.add_argument("--daemon", help="only lines of this daemon")
    parser.add_argument("--reason", help="only decisions with this reason")
    parser.add_argument("--around", type=int, help="time in milliseconds since the Unix epoch")
    parser.add_argument("--seconds", type=float, default=2, help="maximum distance from that time; default: 2")
    parser.add_argument("files", nargs="+", metavar="FILE")
    options = parser.parse_args(arguments)
    if not any([options.flow, options.caller, options.service, options.daemon, options.reason, options.around]):
        parser.error("select requests with --flow, --caller, --service, --daemon, --reason or --around")
    return options


def main(arguments):
    options = parse_arguments(arguments)
    found = select_entries(list(read_lines(options.files)), options)
    for entry in found:
        print(format_entry(entry))
    if not found:
        print("no matching log line; daemons may have suppressed lines, see docs/OPERATIONS.md", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
