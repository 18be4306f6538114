#!/usr/bin/env python3
"""Soak test: random faults and an overload in deployments of real processes; checks the guarantees that callers rely on.

Each seed runs its own deployment through a series of overlapping faults. Prints one line per seed; exits with 0 if all
seeds passed. The folder of a failed seed is kept with all logs.
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

import deployment
import experiments
import faultproxy

# Seeds that once failed, with the cause; they always run.
REGRESSION_SEEDS = {}

# Required bound: no request enters a zone later than this after the command to take it out was accepted, without other faults.
ZONE_OUT_BOUND_S = 3.0
# Required bound: everything serves again within this time after the last fault, also after a restart of all processes.
RECOVERY_BOUND_S = 12.0
# Required bound: requests are served again this time after the end of an overload.
OVERLOAD_RECOVERY_S = 1.0
# Share of the requests at half the capacity that must be served from then on.
RECOVERED_SHARE = 0.98
OVERLOAD_FACTOR = 4
OVERLOAD_S = 5
# Servers of the service that is overloaded; long enough that its capacity is below what the load generator can send.
OVERLOADED_WORK_MS = 100
CLIENT_TIMEOUT_S = 6
# For each kind of request and each service.
REQUESTS_PER_SECOND = 12
# Below the kernel's range of ephemeral ports.
FIRST_BASE_PORT = 12000
PORTS_PER_SEED = 1000
# Offset of the proxies' ports in the port range of a seed.
PROXY_PORT_OFFSET = 700


class SoakDeployment(deployment.Deployment):
    """A deployment with fault proxies in front of its controllers and balancers."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.proxy = faultproxy.FaultProxy()
        self.links = {}
        for index in range(self.controller_count):
            self.links[f"controller-{index + 1}"] = self.proxy.tcp(self._proxy_address(index), (deployment.LOOPBACK, self.ports.controller(index)))
        for index in range(self.balancer_count):
            self.links[f"balancer-{index + 1}"] = self.proxy.udp(self._proxy_address(10 + index), (deployment.LOOPBACK, self.ports.balancer(index)), (deployment.LOOPBACK, self.ports.fabric))

    def _proxy_address(self, index):
        return (deployment.LOOPBACK, self.ports.base + PROXY_PORT_OFFSET + index)

    def proxied_controllers(self):
        return ["%s:%d" % self._proxy_address(i) for i in range(self.controller_count)]

    def common_settings(self, name, zone, admin):
        return {**super().common_settings(name, zone, admin), "controllers": self.proxied_controllers()}

    def write_settings(self, name, settings):
        for index, peer in enumerate(settings.get("controller", {}).get("peers", [])):
            if peer["name"] != name:
                peer["endpoint"] = self.proxied_controllers()[index]
        return super().write_settings(name, settings)

    def start_fabric(self):
        direct = self.balancers
        self.balancers = lambda: ["%s:%d" % self._proxy_address(10 + i) for i in range(self.balancer_count)]
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
    """Callers on threads that send reads, and orders with a unique id, and record wrong responses and rejected orders."""

    def __init__(self, system):
        self.system = system
        self.stopping = threading.Event()
        self.wrong_responses = []
        self.rejected_orders = set()
        self.counts = collections.Counter()
        self.served = collections.deque(maxlen=4000)
        self.request_numbers = itertools.count()
        self.threads = [threading.Thread(target=self._send_periodically, args=(kind, service), daemon=True)
                        for kind in (self._read, self._order) for service in system.topology.services]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _send_periodically(self, kind, service):
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            while not self.stopping.wait(1 / REQUESTS_PER_SECOND):
                pool.submit(self._send_counting_errors, kind, service, next(self.request_numbers))

    def _send_counting_errors(self, kind, service, number):
        try:
            kind(service, number)
        except (OSError, http.client.HTTPException):
            self.counts["failed"] += 1

    def _send_request(self, service, method, path, body=None):
        connection = http.client.HTTPConnection(service.address, service.port, timeout=CLIENT_TIMEOUT_S)
        try:
            sent_at = time.monotonic()
            connection.request(method, path, body)
            response = connection.getresponse()
            text = response.read().decode(errors="replace")
        finally:
            connection.close()
        if response.status == 200:
            words = text.split()
            self.served.append((sent_at, words[0]))
            if words[1:2] != [path] or (body and words[2:3] != [body]):
                self.wrong_responses.append(f"{method} {path} got the response '{text.strip()}'")
        self.counts["served" if response.status == 200 else "rejected"] += 1
        return response.status

    def _read(self, service, number):
        self._send_request(service, "GET", f"/item/{number}")

    def _order(self, service, number):
        order = f"order-{number}"
        if self._send_request(service, "POST", "/orders", order) == 503:
            self.rejected_orders.add(order)


class Soak:
    """The run of one seed: a deployment, its clients, and a series of faults."""

    def __init__(self, build, seed, slot, faults):
        self.random = random.Random(seed)
        self.folder = pathlib.Path("var") / f"soak-{seed}"
        topology = self.random.choice([deployment.TAHANAN, deployment.RUSZTOWANIA])
        base = FIRST_BASE_PORT + slot * PORTS_PER_SEED
        services = tuple(deployment.ServiceSpec(s.name, s.virtual_address, f"127.0.{10 + slot}.{10 + n}", s.port, s.servers) for n, s in enumerate(topology.services))
        self.system = SoakDeployment(build, self.folder, deployment.Topology(topology.name, topology.zones, services), base_port=base, seed=seed,
                                     server_options={f"{services[-1].name}-{n + 1}": {"work_ms": OVERLOADED_WORK_MS} for n in range(services[-1].servers)})
        self.clients = Clients(self.system)
        self.fault_count = faults
        self.zones = {}
        self.active_faults = []
        self.history = []

    # Faults. Each returns a function that ends it, or None if it was not possible.

    def _random_process(self, kind):
        names = [name for name in self.system.processes if name.startswith(kind + "-")]
        return self.random.choice(names) if names else None

    def kill_controller(self):
        index = self.random.randrange(self.system.controller_count)
        name = f"controller-{index + 1}"
        if name not in self.system.processes or self._count_lost_controllers():
            return None
        self.system.kill(name)
        if self.random.random() < 0.3:
            shutil.rmtree(self.system.folder / "data" / name)
        return lambda: self.system.start_controller(index)

    def _count_lost_controllers(self):
        return self.system.controller_count - sum(name.startswith("controller-") for name in self.system.processes)

    def kill_all_controllers(self):
        running = [i for i in range(self.system.controller_count) if f"controller-{i + 1}" in self.system.processes]
        if len(running) < self.system.controller_count:
            return None
        for index in running:
            self.system.kill(f"controller-{index + 1}")
        return lambda: [self.system.start_controller(index) for index in running]

    def _kill_process(self, name, start):
        if name not in self.system.processes:
            return None
        self.system.kill(name)
        return start

    def kill_balancer(self):
        index = self.random.randrange(self.system.balancer_count)
        return self._kill_process(f"balancer-{index + 1}", lambda: self.system.start_balancer(index))

    def kill_server(self):
        spec = self.random.choice(self.system.servers)
        return self._kill_process(f"server-{spec.name}", lambda: self.system.start_server(spec))

    def kill_agent(self):
        spec = self.random.choice(self.system.servers)
        return self._kill_process(f"agent-{spec.name}", lambda: self.system.start_agent(spec))

    def freeze(self):
        name = self._random_process(self.random.choice(["controller", "balancer", "agent", "server"]))
        if not name:
            return None
        process = self.system.processes[name]
        process.send_signal(signal.SIGSTOP)
        return lambda: process.poll() is None and process.send_signal(signal.SIGCONT)

    def impair_link(self):
        link = self.random.choice(list(self.system.links.values()))
        link.mode = self.random.choice([faultproxy.SILENT, faultproxy.TO_TARGET_ONLY, faultproxy.FROM_TARGET_ONLY, faultproxy.DELAYED])
        return lambda: setattr(link, "mode", faultproxy.OPEN)

    def reset_links(self):
        for link in self.system.links.values():
            self.system.proxy.reset(link)
        return lambda: None

    def change_zone(self):
        out = [zone for zone, state in self.zones.items() if state == "out"]
        zone, state = (out[0], "in") if out else (self.random.choice(self.system.topology.zones), "out")
        result = self._run_cli("zone", state, zone)
        # If the command failed, its outcome is unknown until the next one is accepted.
        self.zones[zone] = state if result else None
        return lambda: None

    def _run_cli(self, *arguments):
        try:
            return self.system.run_cli(*arguments, check=False, timeout=15).returncode == 0
        except subprocess.TimeoutExpired:
            return False

    FAULTS = [kill_controller, kill_all_controllers, kill_balancer, kill_server, kill_agent, freeze, freeze, impair_link, impair_link, reset_links, change_zone, change_zone]

    # Run

    def run(self):
        self.system.start()
        self.clients.start()
        for _ in range(self.fault_count):
            fault = self.random.choice(self.FAULTS)
            end = fault(self)
            self.history.append(fault.__name__ + ("" if end else " (no target)"))
            if end:
                self.active_faults.append((time.monotonic() + self.random.uniform(0.2, 4), end))
            time.sleep(self.random.uniform(0.1, 1.2))
            self._end_faults(time.monotonic())
        self._end_faults(None)
        self.check_recovery()
        self.check_overload()
        self.check_zones()
        self.clients.stop()
        self.check_orders()
        if self.clients.wrong_responses:
            raise deployment.DeploymentError(f"{len(self.clients.wrong_responses)} wrong responses: {self.clients.wrong_responses[0]}")

    def _end_faults(self, now):
        due = [entry for entry in self.active_faults if now is None or entry[0] <= now]
        self.active_faults = [entry for entry in self.active_faults if entry not in due]
        for _, end in due:
            end()

    # Checks

    def check_recovery(self):
        """After the faults have ended, zone commands are accepted and every service responds."""
        for zone in self.system.topology.zones:
            self.system.retry(f"zone in {zone}", lambda zone=zone: self.system.run_cli("zone", "in", zone), timeout=RECOVERY_BOUND_S)
        for service in self.system.topology.services:
            self.system.retry(f"{service.name} responds", lambda service=service: self.system.check_first_response(service), timeout=RECOVERY_BOUND_S)

    def _start_load(self, name, seconds, factor, order_share):
        """Sends a multiple of its capacity to the overloaded service, and nothing to the others."""
        service = self.system.topology.services[-1]
        rates = {s.name: 0 for s in self.system.topology.services} | {service.name: factor * experiments.capacity(self.system, service)}
        return experiments.LoadRun(self.system, seconds, rates, seed=self.random.randrange(1, 1 << 31), order_share=order_share,
                                   output=f"load-{name}.jsonl", send_keys=False)

    def check_overload(self):
        """Under several times the capacity of a service no order runs twice or after a rejection; afterwards it serves in time."""
        # The warm-up limits of servers that were restarted rise first.
        self._start_load("warm-up", 6, 0.5, 0).records()
        overload = self._start_load("overload", OVERLOAD_S, OVERLOAD_FACTOR, 0.5)
        overload.sleep_until(OVERLOAD_S + OVERLOAD_RECOVERY_S)
        recovery = experiments.sent_requests(self._start_load("recovery", 3, 0.5, 0).records())
        records = overload.records()
        not_run = {r["key"] for r in records if r["kind"] == "order" and r.get("outcome") == "not-run"}
        ran = self._count_runs(r"^ran order (\S+)$")
        self.clients.counts["overload_served"] = len(experiments.successful(records))
        self.clients.counts["overload_not_run"] = len(not_run)
        if not not_run or not ran:
            raise deployment.DeploymentError(f"the overload had {len(not_run)} rejected and {len(ran)} served orders, so it checks nothing")
        self._check_runs(ran, not_run)
        served = len(experiments.successful(recovery)) / max(1, len(recovery))
        if served < RECOVERED_SHARE:
            raise deployment.DeploymentError(f"from {OVERLOAD_RECOVERY_S} s after the overload only {served:.3f} of {len(recovery)} requests were served")

    def check_zones(self):
        """An accepted zone command takes effect in time: no request enters a zone that is out."""
        zone = self.random.choice(self.system.topology.zones)
        self.system.run_cli("zone", "out", zone)
        accepted_at = time.monotonic()
        time.sleep(ZONE_OUT_BOUND_S + 2)
        late_requests = [name for sent_at, name in list(self.clients.served) if sent_at > accepted_at + ZONE_OUT_BOUND_S and self.system.zone_of(name) == zone]
        if late_requests:
            raise deployment.DeploymentError(f"{len(late_requests)} requests entered {zone} over {ZONE_OUT_BOUND_S} s after it was out: {late_requests[:3]}")
        states = {z["name"]: z["state"] for z in json.loads(self.system.run_cli("status", "--output", "json").stdout)["zones"]}
        wrong = [name for name, state in states.items() if (state == "ZONE_STATE_OUT") != (name == zone)]
        if wrong:
            raise deployment.DeploymentError(f"zone states differ from the accepted ones: {states}")

    def check_orders(self):
        """No order ran twice, and no order ran after its caller got a rejection."""
        self._check_runs(self._count_runs(r"^ran (order-\d+)$"), self.clients.rejected_orders)

    def _count_runs(self, pattern):
        ran = collections.Counter()
        for log in self.folder.glob("server-*.log"):
            ran.update(re.findall(pattern, log.read_text(errors="replace"), re.MULTILINE))
        return ran

    @staticmethod
    def _check_runs(ran, rejected):
        twice = [order for order, count in ran.items() if count > 1]
        if twice:
            raise deployment.DeploymentError(f"{len(twice)} orders ran more than once: {twice[:3]}")
        ran_despite_rejection = rejected & set(ran)
        if ran_despite_rejection:
            raise deployment.DeploymentError(f"{len(ran_despite_rejection)} orders ran although they were rejected: {sorted(ran_despite_rejection)[:3]}")


def run_seed(build, seed, slot, faults):
    started = time.monotonic()
    soak = Soak(build, seed, slot, faults)
    try:
        soak.run()
        passed, result = True, dict(soak.clients.counts)
    except deployment.DeploymentError as error:
        passed, result = False, f"{error}; faults: {', '.join(soak.history)}; logs are in {soak.folder}"
    finally:
        soak.clients.stopping.set()
        soak.system.close()
    if passed:
        shutil.rmtree(soak.folder, ignore_errors=True)
    print(f"{'ok    ' if passed else 'FAILED'} seed {seed} ({time.monotonic() - started:.0f} s): {result}", flush=True)
    return passed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", type=int, default=4, help="number of seeds to run")
    parser.add_argument("--first", type=int, default=1, help="first seed; 0 for a random one")
    parser.add_argument("--replay", type=int, help="run only this seed")
    parser.add_argument("--faults", type=int, default=25, help="faults per seed")
    parser.add_argument("--jobs", type=int, default=2, help="concurrent deployments")
    options = parser.parse_args()
    first = options.first or random.SystemRandom().randrange(1, 1 << 31)
    seeds = [options.replay] if options.replay else [*REGRESSION_SEEDS, *range(first, first + options.seeds)]
    slots = collections.deque(range(options.jobs))

    def run_seed_in_slot(seed):
        slot = slots.popleft()
        try:
            return run_seed(options.build, seed, slot, options.faults)
        finally:
            slots.append(slot)

    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        passed = list(pool.map(run_seed_in_slot, seeds))
    print(f"{sum(passed)} of {len(passed)} seeds passed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
