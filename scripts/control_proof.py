#!/usr/bin/env python3
"""Runs three real controllers on loopback: kills leaders and removes data folders while changes are made, or measures.

usage: control_proof.py [--build BUILD] [--rounds N] [--seed N]    exits 0 only if nothing that was accepted was lost
       control_proof.py [--build BUILD] --measure N [N...]         figures for so many stand-in daemons
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
ANSWER_TIMEOUT_S = 30


class Group:
    """Controllers started by this script, by index."""

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
        self.data(index).mkdir(parents=True, exist_ok=True)
        settings = {"name": name, "zone": "zone-1", "controllers": self.endpoints,
                    "admin": {"endpoint": f"127.0.0.1:{FIRST_PORT + 100 + index}"},
                    "controller": {"endpoint": self.endpoints[index], "dataFolder": str(self.data(index)),
                                   "snapshotEntries": 20,
                                   "peers": [{"name": f"controller-{i + 1}", "endpoint": e}
                                             for i, e in enumerate(self.endpoints)]}}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[index] = subprocess.Popen([self.daemon, path], stderr=log)

    def data(self, index):
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
        done = subprocess.run([self.command, "status", "--controllers", self.endpoints[index], "--output", "json", "--timeout", "2s"],
                              capture_output=True, text=True, check=False)
        return json.loads(done.stdout) if done.returncode == 0 else None

    def wait(self, condition, what):
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while time.monotonic() < deadline:
            value = condition()
            if value is not None:
                return value
            time.sleep(0.1)
        raise RuntimeError(f"no {what} within {ANSWER_TIMEOUT_S} s")

    def leader(self):
        def find():
            for index in self.processes:
                for controller in (self.status(index) or {}).get("controllers", []):
                    if controller.get("role") == "leader" and controller.get("leaseValid"):
                        return self.endpoints.index(controller["endpoint"])
            return None
        return self.wait(find, "leader")

    def all_vote(self):
        def check():
            roles = [c.get("role") for c in (self.status(self.leader()) or {}).get("controllers", [])]
            return True if len(roles) == CONTROLLERS and "learner" not in roles else None
        return self.wait(check, "full membership")


def apply(group, files, number):
    """Puts one more file into the folder and has it accepted; resends under the same request id."""
    service = {"name": f"service-{number}", "address": "127.0.0.1", "port": 10000 + number, "protocol": "tcp", "mode": "stream"}
    (files / f"{number:04}.json").write_text(json.dumps({"services": [service]}))
    start = time.monotonic()
    while time.monotonic() - start < ANSWER_TIMEOUT_S:
        done = group.run("apply", files, "--request-id", f"change-{number}", "--base-revision", number, "--timeout", "5s")
        if done.returncode == 0:
            return time.monotonic() - start
        if done.returncode not in (1, 5, 6):
            raise RuntimeError(f"change {number} was refused: {done.stdout} {done.stderr}")
    raise RuntimeError(f"change {number} was not accepted within {ANSWER_TIMEOUT_S} s")


def prove(group, folder, rounds, seed):
    chance = random.Random(seed)
    files = folder / "files"
    files.mkdir()
    after_kill = []
    for number in range(rounds):
        apply(group, files, number)
        if number % 4 != 3:
            continue
        leader = group.leader()
        lose_folder = chance.random() < 0.5
        group.kill(leader)
        if lose_folder:
            shutil.rmtree(group.data(leader))
        number_after = number
        after_kill.append(round(time_to_leader(group), 2))
        group.start(leader)
        group.all_vote()
        print(f"change {number_after}: leader controller-{leader + 1} killed, folder {'removed' if lose_folder else 'kept'}, next leader after {after_kill[-1]} s")
    for index in list(group.processes):
        group.kill(index)
    for index in range(CONTROLLERS):
        group.start(index)
    revision = group.wait(lambda: (group.status(group.leader()) or {}).get("revision"), "revision")
    print(f"revision after killing and restarting all: {revision}, changes accepted: {rounds}")
    return int(revision) == rounds


def time_to_leader(group):
    start = time.monotonic()
    group.leader()
    return time.monotonic() - start


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(group, build, sizes):
    rest_seconds = 8
    for size in sizes:
        pid = group.processes[group.leader()].pid
        before = processor_seconds(pid)
        run = [build / "src/bench/fleetwatch", "--controllers", ",".join(group.endpoints), "--daemons", str(size),
               "--changes", "40", "--rest-seconds", str(rest_seconds)]
        process = subprocess.Popen(run, stdout=subprocess.PIPE, text=True)
        # After the streams have opened, within the rest.
        time.sleep(4)
        start = processor_seconds(pid)
        time.sleep(3)
        rest = (processor_seconds(pid) - start) / 3
        output, _ = process.communicate()
        if process.returncode:
            raise RuntimeError("fleetwatch failed")
        figures = json.loads(output)
        figures["leader_cores_in_rest"] = round(rest, 4)
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
    group = Group(arguments.build, folder)
    try:
        held = measure(group, arguments.build, arguments.measure) if arguments.measure else prove(group, folder, arguments.rounds, arguments.seed)
    finally:
        group.stop()
    if held:
        shutil.rmtree(folder)
    else:
        print(f"the controllers' logs are kept in {folder}", file=sys.stderr)
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
