#!/usr/bin/env python3
"""Prints what the log lines of a whole deployment tell about one request, in the order of time.

  request_story.py --flow 100.64.0.7:40001-198.18.0.1:443 [--opening SEQ] [--around MS [--seconds S]] FILE...
  request_story.py --caller 100.64.0.7 ... | --service 198.18.0.1:443 ... | --daemon NAME ... | --reason REASON ...

FILE holds log lines of any number of daemons, each a JSON object; text before the object (a time, a machine's name) is
skipped. "-" reads standard input. A request is named by its flow, CALLER-SERVICE, and by the sequence number of the packet
that opened it, since ports are used again. Beside the request's own lines those are printed that tell how the daemons it
passed through were doing shortly before: closed admission, silent servers, lost leaders, slow disks, lines left out.
"""

import argparse
import json
import sys

# Events that tell of a daemon rather than of a request.
CONDITIONS = {
    "admission_closed", "admission_opened", "server_silent", "server_heard", "server_started", "server_left",
    "server_drain_changed", "server_ended_before_agent", "zone_out", "zone_returned", "quorum_lost", "quorum_gained",
    "leader_lost", "leader_heard", "leader_elected", "leader_stepped_down", "controllers_unreachable",
    "controllers_reachable", "controller_unreachable", "controller_reached", "disk_slow", "disk_recovered",
    "storage_failed", "daemon_started", "daemon_stopping", "daemon_stopped", "daemon_failed", "daemon_aborted",
    "log_lines_suppressed", "log_lines_lost", "heartbeat_refused",
}
# How long before the request's first line a condition still counts, and after its last one.
BEFORE_MS = 5000
AFTER_MS = 500


def read_lines(files):
    """Yields each line that is or ends with a JSON object with an event; other lines are counted only."""
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
        print(f"{skipped} lines are no log lines", file=sys.stderr)


def belongs(entry, options):
    if "request" not in entry:
        return False
    flow, _, opening = entry["request"].partition("#")
    caller, _, service = flow.partition("-")
    wanted = [
        options.flow is None or flow == options.flow,
        options.opening is None or not opening or opening == options.opening,
        options.caller is None or caller == options.caller or caller.partition(":")[0] == options.caller,
        options.service is None or service == options.service,
        options.daemon is None or entry.get("daemon") == options.daemon,
        options.reason is None or entry.get("reason") == options.reason,
        options.around is None or abs(entry["time_ms"] - options.around) <= options.seconds * 1000,
    ]
    return all(wanted)


def story(entries, options):
    """The lines of the matching requests and the conditions of the daemons they passed, in the order of time."""
    own = [entry for entry in entries if belongs(entry, options)]
    if not own:
        return []
    daemons = {entry.get("daemon") for entry in own}
    begin = min(entry["time_ms"] for entry in own) - BEFORE_MS
    end = max(entry["time_ms"] for entry in own) + AFTER_MS
    around = [
        entry for entry in entries
        if entry["event"] in CONDITIONS and entry.get("daemon") in daemons and begin <= entry["time_ms"] <= end
    ]
    return sorted(own + around, key=lambda entry: entry["time_ms"])


def render(entry):
    fields = " ".join(f"{key}={value}" for key, value in entry.items() if key not in ("time_ms", "level", "daemon", "event"))
    return f"{entry['time_ms']} {entry.get('daemon', '-'):<18} {entry['event']:<20} {fields}"


def parse_arguments(arguments):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--flow", help="CALLER:PORT-SERVICE:PORT")
    parser.add_argument("--opening", help="sequence number of the packet that opened the flow")
    parser.add_argument("--caller", help="address of the caller, with or without its port")
    parser.add_argument("--service", help="address and port that was called")
    parser.add_argument("--daemon", help="only lines of this daemon")
    parser.add_argument("--reason", help="only decisions with this reason")
    parser.add_argument("--around", type=int, help="time in milliseconds since the Unix epoch")
    parser.add_argument("--seconds", type=float, default=2, help="how far around that time (2)")
    parser.add_argument("files", nargs="+", metavar="FILE")
    options = parser.parse_args(arguments)
    if not any([options.flow, options.caller, options.service, options.daemon, options.reason, options.around]):
        parser.error("name the request: --flow, --caller, --service, --daemon, --reason or --around")
    return options


def main(arguments):
    options = parse_arguments(arguments)
    found = story(list(read_lines(options.files)), options)
    for entry in found:
        print(render(entry))
    if not found:
        print("no line tells of it; its daemons may have left lines out, see docs/OPERATIONS.md", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
