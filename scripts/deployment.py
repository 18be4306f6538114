"""Runs a deployment on loopback: controllers, balancers, agents, stand-in servers and a stand-in fabric.

Used by the demo, the failure proofs, the soak test and the experiments. Only processes that were started here are stopped.
"""
import dataclasses
import json
import pathlib
import re
import shutil
import signal
import subprocess
import threading
import time

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 10


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """A service with its number of servers. Its packets carry virtual_address; clients connect to address on loopback."""
    name: str
    virtual_address: str
    address: str
    port: int
    servers: int
    mode: str = "http"


@dataclasses.dataclass(frozen=True)
class Topology:
    """Zones and services of a deployment."""
    name: str
    zones: tuple
    services: tuple


TAHANAN = Topology("tahanan", ("mandaue", "lapu-lapu", "talisay"),
                   (ServiceSpec("orders", "198.51.100.10", "127.0.1.10", 8080, 7), ServiceSpec("swatches", "198.51.100.20", "127.0.1.20", 8080, 3)))
RUSZTOWANIA = Topology("rusztowania", ("krk-a", "krk-b", "kat-a"),
                       (ServiceSpec("filings", "198.51.100.30", "127.0.2.10", 8080, 7), ServiceSpec("sheets", "198.51.100.40", "127.0.2.20", 8080, 3)))


class DeploymentError(Exception):
    """A step or check of a deployment failed."""


@dataclasses.dataclass
class Ports:
    """Ports on 127.0.0.1, as offsets from a base port."""
    base: int

    def controller(self, index):
        return self.base + index

    def balancer(self, index):
        return self.base + 20 + index

    def agent(self, index):
        return self.base + 100 + index

    def server(self, index):
        return self.base + 300 + index

    def admin(self, index):
        return self.base + 500 + index

    @property
    def fabric(self):
        return self.base + 90


@dataclasses.dataclass
class ServerSpec:
    """A backend server and its agent."""
    index: int
    name: str
    service: ServiceSpec
    zone: str
    slots: int = 5
    connections: int = 2000
    work_ms: int = 5


class Deployment:
    """Starts, signals and stops the processes of one deployment."""

    def __init__(self, build, folder, topology, base_port=30000, controllers=3, balancers=3, seed=1, strategy="rendezvous",
                 server_options=None, agent_options=None):
        self.build = pathlib.Path(build).resolve()
        self.folder = pathlib.Path(folder)
        self.topology = topology
        self.ports = Ports(base_port)
        self.controller_count = controllers
        self.balancer_count = balancers
        self.seed = seed
        self.strategy = strategy
        self.server_options = server_options or {}
        self.agent_options = agent_options or {}
        self.processes = {}
        self.servers = []
        self._create_server_specs()

    def _create_server_specs(self):
        index = 0
        for service in self.topology.services:
            for number in range(service.servers):
                zone = self.topology.zones[number % len(self.topology.zones)]
                spec = ServerSpec(index, f"{service.name}-{number + 1}", service, zone)
                for key, value in self.server_options.get(spec.name, self.server_options.get("*", {})).items():
                    setattr(spec, key, value)
                self.servers.append(spec)
                index += 1

    # Processes

    def binary(self, name):
        folder = "standins" if name.startswith("standin_") else "app"
        return self.build / "src" / folder / name

    def start_process(self, name, command):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen([str(part) for part in command], stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kills a process, as when its VM is lost."""
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def stop(self, name, timeout=STOP_TIMEOUT_S):
        """Terminates a process gracefully; returns its exit code, or None if it was killed after the timeout."""
        process = self.processes.pop(name)
        process.terminate()
        try:
            return process.wait(timeout)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    def close(self):
        for name in list(self.processes):
            self.processes[name].kill()
        for name in list(self.processes):
            self.processes.pop(name).wait()

    # Settings

    def controllers(self):
        return [f"{LOOPBACK}:{self.ports.controller(i)}" for i in range(self.controller_count)]

    def balancers(self):
        return [f"{LOOPBACK}:{self.ports.balancer(i)}" for i in range(self.balancer_count)]

    def write_settings(self, name, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=4) + "\n")
        return path

    def common_settings(self, name, zone, admin_index):
        return {"name": name, "zone": zone, "controllers": self.controllers(),
                "log": {"format": "json", "level": "info"},
                "admin": {"endpoint": f"{LOOPBACK}:{self.ports.admin(admin_index)}"}}

    def zone_at(self, index):
        return self.topology.zones[index % len(self.topology.zones)]

    def start_controller(self, index):
        name = f"controller-{index + 1}"
        data = self.folder / "data" / name
        data.mkdir(parents=True, exist_ok=True)
        settings = self.common_settings(name, self.zone_at(index), index)
        settings["controller"] = {
            "endpoint": self.controllers()[index], "dataFolder": str(data),
            "peers": [{"name": f"controller-{i + 1}", "endpoint": e} for i, e in enumerate(self.controllers())]}
        self.start_process(name, [self.binary("clementinesilld"), self.write_settings(name, settings)])

    def start_balancer(self, index):
        name = f"balancer-{index + 1}"
        settings = self.common_settings(name, self.zone_at(index), 10 + index)
        settings["balancer"] = {"dataEndpoint": self.balancers()[index], "workerThreads": 1}
        if self.strategy != "rendezvous":
            settings["balancer"]["strategy"] = self.strategy
        self.start_process(name, [self.binary("clementinesilld"), self.write_settings(name, settings)])

    def start_server(self, spec):
        self.start_process(f"server-{spec.name}", [
            self.binary("standin_server"), "--name", spec.name, "--port", self.ports.server(spec.index),
            "--work-ms", spec.work_ms, "--slots", spec.slots])

    def start_agent(self, spec):
        settings = self.common_settings(spec.name, spec.zone, 30 + spec.index)
        settings["agent"] = {
            "dataEndpoint": f"{LOOPBACK}:{self.ports.agent(spec.index)}", "service": spec.service.name,
            "serverEndpoint": f"{LOOPBACK}:{self.ports.server(spec.index)}",
            "slots": spec.slots, "connectionLimit": spec.connections, **self.agent_options}
        name = f"agent-{spec.name}"
        self.start_process(name, [self.binary("clementinesilld"), self.write_settings(name, settings)])

    def start_fabric(self):
        command = [self.binary("standin_fabric"), "--endpoint", f"{LOOPBACK}:{self.ports.fabric}", "--seed", self.seed]
        for balancer in self.balancers():
            command += ["--balancer", balancer]
        for service in self.topology.services:
            command += ["--service", f"{service.address}:{service.port}={service.virtual_address}:{service.port}"]
        self.start_process("fabric", command)

    # Operators

    def write_operator_folder(self):
        folder = self.folder / "operators"
        folder.mkdir(exist_ok=True)
        services = [{"name": s.name, "address": s.virtual_address, "port": s.port, "protocol": "tcp", "mode": s.mode}
                    for s in self.topology.services]
        zones = [{"name": zone} for zone in self.topology.zones]
        (folder / "10-services.json").write_text("// Services and their addresses.\n" + json.dumps({"services": services}, indent=4))
        (folder / "20-zones.json").write_text(json.dumps({"zones": zones}, indent=4))
        return folder

    def run_cli(self, *arguments, check=True, timeout=30):
        """Runs the operators' command-line tool against all controllers."""
        command = [str(self.binary("clementinesill")), *map(str, arguments), "--controllers", ",".join(self.controllers())]
        result = subprocess.run(command, capture_output=True, text=True, timeout=timeout, check=False)
        if check and result.returncode:
            raise DeploymentError(f"{' '.join(map(str, arguments))}: exit {result.returncode}: {result.stdout}{result.stderr}")
        return result

    # Whole deployment

    def start(self):
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        for index in range(self.controller_count):
            self.start_controller(index)
        self.retry("apply the operators' folder", lambda: self.run_cli("apply", self.write_operator_folder()))
        for index in range(self.balancer_count):
            self.start_balancer(index)
        for spec in self.servers:
            self.start_server(spec)
            self.start_agent(spec)
        self.start_fabric()
        for service in self.topology.services:
            self.retry(f"first response of {service.name}", lambda service=service: self.check_first_response(service))

    def check_first_response(self, service):
        outcome = request(service)
        if outcome.status != 200:
            raise DeploymentError(f"status {outcome.status} {outcome.error}")

    @staticmethod
    def retry(description, step, timeout=START_TIMEOUT_S, interval=0.2):
        """Repeats a step until it succeeds; raises DeploymentError with the last error after the timeout."""
        deadline = time.monotonic() + timeout
        while True:
            try:
                return step()
            except (DeploymentError, subprocess.TimeoutExpired) as error:
                if time.monotonic() > deadline:
                    raise DeploymentError(f"{description}: {error}") from error
            time.sleep(interval)

    def service_of(self, server_name):
        return next((s.service.name for s in self.servers if s.name == server_name), "unknown")

    def zone_of(self, server_name):
        return next((s.zone for s in self.servers if s.name == server_name), "unknown")


@dataclasses.dataclass
class Response:
    """Response to one request, as curl received it. The status is 0 if the transfer failed."""
    status: int
    server: str
    body: str
    seconds: float
    error: str
    headers: str = ""


def request(service, path="/", method="GET", body=None, timeout=10, headers=()):
    """Sends one HTTP request through the fabric with curl."""
    command = ["curl", "-sS", "-i", "--max-time", str(timeout), "-X", method]
    for header in headers:
        command += ["-H", header]
    if body is not None:
        command += ["--data-binary", body]
    started = time.monotonic()
    result = subprocess.run([*command, f"http://{service.address}:{service.port}{path}"],
                            capture_output=True, check=False)
    seconds = time.monotonic() - started
    head, _, text = result.stdout.decode(errors="replace").partition("\r\n\r\n")
    match = re.match(r"HTTP/1\.\d (\d+)", head)
    status = int(match.group(1)) if match and result.returncode == 0 else 0
    return Response(status, text.split(" ")[0] if status == 200 else "", text, seconds, result.stderr.decode(errors="replace").strip(), head)


def request_with_retries(service, path, attempts=5):
    """Sends an idempotent request; retries one rejected with 503 after its Retry-After time."""
    for _ in range(attempts):
        response = request(service, path)
        if response.status != 503:
            break
        match = re.search(r"(?im)^retry-after: *(\d+)", response.headers)
        time.sleep(int(match.group(1)) if match else 1)
    return response


class Feed:
    """A feed that curl keeps open; reads its numbered lines and detects gaps and a change of server.

    A server that is warming up rejects part of the load: curl then retries after the Retry-After time.
    """

    def __init__(self, service):
        self.service = service
        self.server = ""
        self.lines = 0
        self.gap = False
        self.last_line = time.monotonic()
        self.process = subprocess.Popen(
            ["curl", "-sS", "-N", "--fail", "--retry", "10", "--retry-connrefused", f"http://{service.address}:{service.port}/feed"],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
        self.thread = threading.Thread(target=self._read, daemon=True)
        self.thread.start()

    def _read(self):
        for line in self.process.stdout:
            server, _, number = line.strip().partition(" ")
            self.server = self.server or server
            if server != self.server or not number.isdigit() or int(number) != self.lines:
                self.gap = True
            self.lines += 1
            self.last_line = time.monotonic()

    def is_open(self):
        return self.process.poll() is None

    def is_healthy(self, silence_s=3.0):
        """Returns whether the feed is open, has no gap, and received a line within silence_s."""
        return self.is_open() and not self.gap and time.monotonic() - self.last_line < silence_s

    def close(self):
        if self.is_open():
            self.process.send_signal(signal.SIGTERM)
        self.process.wait()
        self.thread.join()
