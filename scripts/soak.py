#!/usr/bin/env python3
"""Randomized fault soak: real programs as separate processes, faults from outside, promises checked by what callers see.

Each seed is a deployment of its own that lives through a series of overlapping faults. Prints one line a seed; exits 0 if all
promises held. The folder of a seed that failed is kept with all logs.
"""
import argparse
import collections
import concurrent.futures
import http.client
import itertools
import json
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import threading
import time

import deployment as d
import faultproxy as f

# Seeds that have failed once, with the cause; they are always played.
REGRESSION_SEEDS = {}

# From an accepted order to the last request that may enter a zone that is out (the users' bound), with calm processes.
ZONE_OUT_S = 3.0
# How long after the last fault everything serves again: a restart of everything may take this long (the users' bound).
RECOVERY_S = 12.0
# Clients give up after this long.
CLIENT_TIMEOUT_S = 6
# Requests a second of each kind.
RATE = 12
# Below the ports that the kernel gives to connections.
BASE_PORTS = 12000
PORTS_A_SEED = 1000
# Ports of the proxies within a seed's range.
PROXY_PORTS = 700


class SoakDeployment(d.Deployment):
    """A deployment whose controllers and balancers are reached through fault proxies."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.proxy = f.FaultProxy()
        self.links = {}
        for index in range(self.controller_count):
            self.links[f"controller-{index + 1}"] = self.proxy.tcp(self._proxied(index), (d.LOOPBACK, self.ports.controller(index)))
        for index in range(self.balancer_count):
            self.links[f"balancer-{index + 1}"] = self.proxy.udp(self._proxied(10 + index), (d.LOOPBACK, self.ports.balancer(index)), (d.LOOPBACK, self.ports.fabric))

    def _proxied(self, index):
        return (d.LOOPBACK, self.ports.base + PROXY_PORTS + index)

    def proxied_controllers(self):
        return ["%s:%d" % self._proxied(i) for i in range(self.controller_count)]

    def common_settings(self, name, zone, admin):
        return {**super().common_settings(name, zone, admin), "controllers": self.proxied_controllers()}

    def write_settings(self, name, settings):
        for index, peer in enumerate(settings.get("controller", {}).get("peers", [])):
            if peer["name"] != name:
                peer["endpoint"] = self.proxied_controllers()[index]
        return super().write_settings(name, settings)

    def start_fabric(self):
        direct = self.balancers
        self.balancers = lambda: ["%s:%d" % self._proxied(10 + i) for i in range(self.balancer_count)]
        try:
            super().start_fabric()
        finally:
            self.balancers = direct

    def close(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
        super().close()
        self.proxy.close()


class Clients:
    """Callers on threads: reads, orders with an id that is never sent twice, and feeds. They note what breaks a promise."""

    def __init__(self, system):
        self.system = system
        self.stopping = threading.Event()
        self.broken = []
        self.refused = set()
        self.counts = collections.Counter()
        self.served = collections.deque(maxlen=4000)
        self.numbers = itertools.count()
        self.threads = [threading.Thread(target=self._run, args=(kind, service), daemon=True)
                        for kind in (self._read, self._order) for service in system.size.services]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, kind, service):
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            while not self.stopping.wait(1 / RATE):
                pool.submit(self._guarded, kind, service, next(self.numbers))

    def _guarded(self, kind, service, number):
        try:
            kind(service, number)
        except (OSError, http.client.HTTPException):
            self.counts["failed"] += 1

    def _exchange(self, service, method, path, body=None):
        connection = http.client.HTTPConnection(service.address, service.port, timeout=CLIENT_TIMEOUT_S)
        try:
            sent = time.monotonic()
            connection.request(method, path, body)
            response = connection.getresponse()
            text = response.read().decode(errors="replace")
        finally:
            connection.close()
        if response.status == 200:
            words = text.split()
            self.served.append((sent, words[0]))
            if words[1:2] != [path] or (body and words[2:3] != [body]):
                self.broken.append(f"{method} {path} was answered with '{text.strip()}'")
        self.counts["served" if response.status == 200 else "refused"] += 1
        return response.status

    def _read(self, service, number):
        self._exchange(service, "GET", f"/item/{number}")

    def _order(self, service, number):
        order = f"order-{number}"
        if self._exchange(service, "POST", "/orders", order) == 503:
            self.refused.add(order)


class Soak:
    """One seed: a deployment, its clients, and a series of faults."""

    def __init__(self, build, seed, slot, faults):
        self.random = random.Random(seed)
        self.folder = pathlib.Path("var") / f"soak-{seed}"
        size = self.random.choice([d.TAHANAN, d.RUSZTOWANIA])
        base = BASE_PORTS + slot * PORTS_A_SEED
        services = tuple(d.ServiceSpec(s.name, s.virtual_address, f"127.0.{10 + slot}.{10 + n}", s.port, s.servers) for n, s in enumerate(size.services))
        self.system = SoakDeployment(build, self.folder, d.Size(size.name, size.zones, services), base_port=base, seed=seed)
        self.clients = Clients(self.system)
        self.fault_count = faults
        self.zones = {}
        self.undo = []
        self.history = []

    # Faults. Each returns what ends it.

    def _process(self, kind):
        names = [name for name in self.system.processes if name.startswith(kind + "-")]
        return self.random.choice(names) if names else None

    def kill_controller(self):
        index = self.random.randrange(self.system.controller_count)
        name = f"controller-{index + 1}"
        if name not in self.system.processes or self._lost_controllers():
            return None
        self.system.kill(name)
        if self.random.random() < 0.3:
            shutil.rmtree(self.system.folder / "data" / name)
        return lambda: self.system.start_controller(index)

    def _lost_controllers(self):
        return self.system.controller_count - sum(name.startswith("controller-") for name in self.system.processes)

    def kill_all_controllers(self):
        lost = [i for i in range(self.system.controller_count) if f"controller-{i + 1}" in self.system.processes]
        if len(lost) < self.system.controller_count:
            return None
        for index in lost:
            self.system.kill(f"controller-{index + 1}")
        return lambda: [self.system.start_controller(index) for index in lost]

    def _kill(self, name, start):
        if name not in self.system.processes:
            return None
        self.system.kill(name)
        return start

    def kill_balancer(self):
        index = self.random.randrange(self.system.balancer_count)
        return self._kill(f"balancer-{index + 1}", lambda: self.system.start_balancer(index))

    def kill_server(self):
        spec = self.random.choice(self.system.servers)
        return self._kill(f"server-{spec.name}", lambda: self.system.start_server(spec))

    def kill_agent(self):
        spec = self.random.choice(self.system.servers)
        return self._kill(f"agent-{spec.name}", lambda: self.system.start_agent(spec))

    def freeze(self):
        name = self._process(self.random.choice(["controller", "balancer", "agent", "server"]))
        if not name:
            return None
        process = self.system.processes[name]
        process.send_signal(signal.SIGSTOP)
        return lambda: process.poll() is None and process.send_signal(signal.SIGCONT)

    def harm_link(self):
        link = self.random.choice(list(self.system.links.values()))
        link.mode = self.random.choice([f.SILENT, f.TO_TARGET_ONLY, f.FROM_TARGET_ONLY, f.LATE])
        return lambda: setattr(link, "mode", f.OPEN)

    def reset_links(self):
        for link in self.system.links.values():
            self.system.proxy.reset(link)
        return lambda: None

    def order_zone(self):
        out = [zone for zone, state in self.zones.items() if state == "out"]
        zone, state = (out[0], "in") if out else (self.random.choice(self.system.size.zones), "out")
        result = self._operate("zone", state, zone)
        # Whether an order without an answer is in force is not known until the next one is accepted.
        self.zones[zone] = state if result else None
        return lambda: None

    def _operate(self, *arguments):
        try:
            return self.system.operate(*arguments, check=False, timeout=15).returncode == 0
        except subprocess.TimeoutExpired:
            return False

    FAULTS = [kill_controller, kill_all_controllers, kill_balancer, kill_server, kill_agent, freeze, freeze, harm_link, harm_link, reset_links, order_zone, order_zone]

    # The series

    def play(self):
        self.system.start()
        self.clients.start()
        for _ in range(self.fault_count):
            fault = self.random.choice(self.FAULTS)
            end = fault(self)
            self.history.append(fault.__name__ + ("" if end else " (nothing to harm)"))
            if end:
                self.undo.append((time.monotonic() + self.random.uniform(0.2, 4), end))
            time.sleep(self.random.uniform(0.1, 1.2))
            self._end_faults(time.monotonic())
        self._end_faults(None)
        self.check_recovery()
        self.check_zones()
        self.clients.stop()
        self.check_orders()
        if self.clients.broken:
            raise d.Failed(f"{len(self.clients.broken)} wrong answers: {self.clients.broken[0]}")

    def _end_faults(self, now):
        due = [entry for entry in self.undo if now is None or entry[0] <= now]
        self.undo = [entry for entry in self.undo if entry not in due]
        for _, end in due:
            end()

    # Promises

    def check_recovery(self):
        """Once nothing is harmed, every service answers, and an order is accepted."""
        for zone in self.system.size.zones:
            self.system.retry(f"zone in {zone}", lambda zone=zone: self.system.operate("zone", "in", zone), timeout=RECOVERY_S)
        for service in self.system.size.services:
            self.system.retry(f"{service.name} answers", lambda service=service: self.system.first_answer(service), timeout=RECOVERY_S)

    def check_zones(self):
        """An accepted order is in force in time: no request enters a zone that is out."""
        zone = self.random.choice(self.system.size.zones)
        self.system.operate("zone", "out", zone)
        accepted = time.monotonic()
        time.sleep(ZONE_OUT_S + 2)
        late = [name for sent, name in list(self.clients.served) if sent > accepted + ZONE_OUT_S and self.system.zone_of(name) == zone]
        if late:
            raise d.Failed(f"{len(late)} requests entered {zone} over {ZONE_OUT_S} s after it was out: {late[:3]}")
        states = {z["name"]: z["state"] for z in json.loads(self.system.operate("status", "--output", "json").stdout)["zones"]}
        wrong = [name for name, state in states.items() if (state == "ZONE_STATE_OUT") != (name == zone)]
        if wrong:
            raise d.Failed(f"zones are not as accepted: {states}")

    def check_orders(self):
        """No order ran twice, and none ran of which the caller was told that it had not."""
        ran = collections.Counter()
        for log in self.folder.glob("server-*.log"):
            ran.update(re.findall(r"^ran (order-\d+)$", log.read_text(errors="replace"), re.MULTILINE))
        twice = [order for order, count in ran.items() if count > 1]
        if twice:
            raise d.Failed(f"{len(twice)} orders ran more than once: {twice[:3]}")
        untrue = self.clients.refused & set(ran)
        if untrue:
            raise d.Failed(f"{len(untrue)} orders ran although their callers were refused: {sorted(untrue)[:3]}")


def run(build, seed, slot, faults):
    started = time.monotonic()
    soak = Soak(build, seed, slot, faults)
    try:
        soak.play()
        held, seen = True, dict(soak.clients.counts)
    except d.Failed as error:
        held, seen = False, f"{error}; faults: {', '.join(soak.history)}; logs in {soak.folder}"
    finally:
        soak.clients.stopping.set()
        soak.system.close()
    if held:
        shutil.rmtree(soak.folder, ignore_errors=True)
    print(f"{'ok    ' if held else 'FAILED'} seed {seed} ({time.monotonic() - started:.0f} s): {seen}", flush=True)
    return held


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", type=int, default=4, help="how many seeds to play")
    parser.add_argument("--first", type=int, default=1, help="the first of them; 0 for fresh ones")
    parser.add_argument("--replay", type=int, help="play only this seed")
    parser.add_argument("--faults", type=int, default=25, help="faults of a seed")
    parser.add_argument("--jobs", type=int, default=2, help="deployments at once")
    options = parser.parse_args()
    first = options.first or random.SystemRandom().randrange(1, 1 << 31)
    seeds = [options.replay] if options.replay else [*REGRESSION_SEEDS, *range(first, first + options.seeds)]
    slots = collections.deque(range(options.jobs))

    def play(seed):
        slot = slots.popleft()
        try:
            return run(options.build, seed, slot, options.faults)
        finally:
            slots.append(slot)

    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        held = list(pool.map(play, seeds))
    print(f"{sum(held)} of {len(held)} seeds held")
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
