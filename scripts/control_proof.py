#!/usr/bin/env python3
"""Runs three controllers on loopback: kills leaders and removes data folders during changes, or measures their load.

usage: control_proof.py [--build BUILD] [--rounds N] [--seed N]    exits with 0 only if no accepted change was lost
       control_proof.py [--build BUILD] --measure N [N...]         prints figures for N simulated daemons
"""
import argparse
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

FIRST_PORT = 21300
CONTROLLERS = 3
OPERATION_TIMEOUT_S = 30


class ControllerGroup:
    """Three controllers, addressed by index."""

    def __init__(self, build, folder):
        self.daemon = build / "src/app/clementinesilld"
        self.command = build / "src/app/clementinesill"
        self.folder = folder
        self.endpoints = [f"127.0.0.1:{FIRST_PORT + index}" for index in range(CONTROLLERS)]
        self.processes = {}
        for index in range(CONTROLLERS):
            self.start(index)

    def start(self, index):
        name = f"controller-{index + 1}"
        self.data_folder(index).mkdir(parents=True, exist_ok=True)
        settings = {"name": name, "zone": "zone-1", "controllers": self.endpoints,
                    "admin": {"endpoint": f"127.0.0.1:{FIRST_PORT + 100 + index}"},
                    "controller": {"endpoint": self.endpoints[index], "dataFolder": str(self.data_folder(index)),
                                   "snapshotEntries": 20,
                                   "peers": [{"name": f"controller-{i + 1}", "endpoint": e}
                                             for i, e in enumerate(self.endpoints)]}}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[index] = subprocess.Popen([self.daemon, path], stderr=log)

    def data_folder(self, index):
        return self.folder / "data" / str(index)

    def kill(self, index):
        process = self.processes.pop(index)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self):
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            process.wait()

    def run(self, *arguments):
        return subprocess.run([self.command, *map(str, arguments), "--controllers", ",".join(self.endpoints), "--output", "json"],
                              capture_output=True, text=True, check=False)

    def status(self, index):
        result = subprocess.run([self.command, "status", "--controllers", self.endpoints[index], "--output", "json", "--timeout", "2s"],
                              capture_output=True, text=True, check=False)
        return json.loads(result.stdout) if result.returncode == 0 else None

    def wait_for(self, condition, description):
        deadline = time.monotonic() + OPERATION_TIMEOUT_S
        while time.monotonic() < deadline:
            value = condition()
            if value is not None:
                return value
            time.sleep(0.1)
        raise RuntimeError(f"no {description} within {OPERATION_TIMEOUT_S} s")

    def leader(self):
        def find_leader():
            for index in self.processes:
                for controller in (self.status(index) or {}).get("controllers", []):
                    if controller.get("role") == "leader" and controller.get("leaseValid"):
                        return self.endpoints.index(controller["endpoint"])
            return None
        return self.wait_for(find_leader, "leader")

    def wait_for_full_membership(self):
        def check():
            roles = [c.get("role") for c in (self.status(self.leader()) or {}).get("controllers", [])]
            return True if len(roles) == CONTROLLERS and "learner" not in roles else None
        return self.wait_for(check, "full membership")


def apply_change(group, files, number):
    """Adds a file to the folder and applies it; retries with the same request id until it is accepted."""
    service = {"name": f"service-{number}", "address": "127.0.0.1", "port": 10000 + number, "protocol": "tcp", "mode": "stream"}
    (files / f"{number:04}.json").write_text(json.dumps({"services": [service]}))
    start = time.monotonic()
    while time.monotonic() - start < OPERATION_TIMEOUT_S:
        result = group.run("apply", files, "--request-id", f"change-{number}", "--base-revision", number, "--timeout", "5s")
        if result.returncode == 0:
            return time.monotonic() - start
        if result.returncode not in (1, 5, 6):
            raise RuntimeError(f"change {number} was rejected: {result.stdout} {result.stderr}")
    raise RuntimeError(f"change {number} was not accepted within {OPERATION_TIMEOUT_S} s")


def run_rounds(group, folder, rounds, seed):
    rng = random.Random(seed)
    files = folder / "files"
    files.mkdir()
    election_times = []
    for number in range(rounds):
        apply_change(group, files, number)
        if number % 4 != 3:
            continue
        leader = group.leader()
        remove_folder = rng.random() < 0.5
        group.kill(leader)
        if remove_folder:
            shutil.rmtree(group.data_folder(leader))
        election_times.append(round(time_to_leader(group), 2))
        group.start(leader)
        group.wait_for_full_membership()
        print(f"change {number}: leader controller-{leader + 1} killed, folder {'removed' if remove_folder else 'kept'}, next leader after {election_times[-1]} s")
    for index in list(group.processes):
        group.kill(index)
    for index in range(CONTROLLERS):
        group.start(index)
    revision = group.wait_for(lambda: (group.status(group.leader()) or {}).get("revision"), "revision")
    print(f"revision after killing and restarting all: {revision}, changes accepted: {rounds}")
    return int(revision) == rounds


def time_to_leader(group):
    start = time.monotonic()
    group.leader()
    return time.monotonic() - start


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(group, build, daemon_counts):
    idle_seconds = 8
    for daemon_count in daemon_counts:
        pid = group.processes[group.leader()].pid
        before = processor_seconds(pid)
        run = [build / "src/bench/fleetwatch", "--controllers", ",".join(group.endpoints), "--daemons", str(daemon_count),
               "--changes", "40", "--rest-seconds", str(idle_seconds)]
        process = subprocess.Popen(run, stdout=subprocess.PIPE, text=True)
        # By then the watch streams are open and the period without changes has begun.
        time.sleep(4)
        start = processor_seconds(pid)
        time.sleep(3)
        idle_cores = (processor_seconds(pid) - start) / 3
        output, _ = process.communicate()
        if process.returncode:
            raise RuntimeError("fleetwatch failed")
        figures = json.loads(output)
        figures["leader_cores_in_rest"] = round(idle_cores, 4)
        figures["leader_cpu_seconds_whole_run"] = round(processor_seconds(pid) - before, 2)
        figures["leader_memory_mb"] = round(int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6, 1)
        print(json.dumps(figures), flush=True)
    return True


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", type=pathlib.Path, default=pathlib.Path("build"))
    parser.add_argument("--rounds", type=int, default=24)
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--measure", type=int, nargs="+")
    arguments = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="control-proof-"))
    group = ControllerGroup(arguments.build, folder)
    try:
        passed = measure(group, arguments.build, arguments.measure) if arguments.measure else run_rounds(group, folder, arguments.rounds, arguments.seed)
    finally:
        group.stop()
    if passed:
        shutil.rmtree(folder)
    else:
        print(f"the controllers' logs are kept in {folder}", file=sys.stderr)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
