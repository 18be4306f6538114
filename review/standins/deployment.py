"""Starts the project's programs as separate processes on loopback addresses, as the deploy file says, for the cases of review/.

Each machine has an address of its own in 127.0.0.0/8. Only processes that were started here are signalled.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLACEHOLDER = re.compile(r"\{\{\s*([\w.]+)(\|json)?\s*\}\}")
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
    "loss_slack_ms": 200, "config_propagation_ms": 3000, "rollback_slack_ms": 250, "max_stretch_ms": 12000, "cold_overage": 1.5,
    "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "flow_ms": 2000, "flow_max_s": 60,
}
HEARTBEAT_MS = 770
METRICS_PORT = 9464


class CannotRun(Exception):
    """The case could not be set up; exit code 2."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._start:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def say(self, text):
        self(text)
        print(text, flush=True)


def render(template, fields):
    """Fills in a template of the deploy file; sections are not used there."""
    def value(match):
        current = fields
        for part in match.group(1).split("."):
            if isinstance(current, list):
                current = current[int(part)] if int(part) < len(current) else None
            else:
                current = current.get(part) if isinstance(current, dict) else None
        if match.group(2):
            return json.dumps(current)
        return "" if current is None else str(current)
    return PLACEHOLDER.sub(value, template)


class Machine:
    """A machine with one daemon of the project."""

    def __init__(self, deployment, name, role, ip, fields):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.ip = ip
        self.fields = fields
        self.process = None
        self.log = deployment.folder / f"{name}.log"
        self.settings = deployment.folder / f"{name}.settings"

    def write_settings(self):
        template = (ROOT / self.deployment.roles[self.role]["template"]).read_text()
        self.settings.write_text(render(template, self.fields))

    def start(self):
        self.write_settings()
        words = self.deployment.roles[self.role]["run"].split()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CLEMENTINESILL_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([str(ROOT / words[0]), *words[1:]], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.deployment.record(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.deployment.record(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.running():
            self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def ended_by_itself(self):
        return self.process is not None and self.process.poll() is not None


class Deployment:
    """A small deployment: controllers, balancers, and agents beside stand-in servers."""

    def __init__(self, record, zones, heartbeat_ms=HEARTBEAT_MS):
        self.record = record
        self.zones = zones
        self.heartbeat_ms = heartbeat_ms
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="clementinesill-review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        daemon = ROOT / self.roles["controller"]["run"].split()[0]
        if not daemon.exists():
            raise CannotRun(f"{daemon.relative_to(ROOT)} is missing; run the build of the deploy file first")
        self.net = self._free_network()
        ports = self._free_ports(8)
        self.control_port, self.packet_port, self.ready_port, self.outbound_port, self.app_port, self.internal_port = ports[:6]
        self.machines = {}
        self.seeds = []

    def _free_network(self):
        """The first half of the addresses. The metrics port is fixed in the templates, so nothing else may listen there."""
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}"
            try:
                for group in (1, 2, 3):
                    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{net}.{group}.1", METRICS_PORT))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def _free_ports(self, count):
        ports = []
        while len(ports) < count:
            port = random.randint(10000, 30000)
            if port in ports or any(abs(port - other) < 20 for other in ports):
                continue
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{self.net}.1.1", port))
            except OSError:
                continue
            ports.append(port)
        return ports

    def _fields(self, name, machine_class, ip, zone, **more):
        return {
            "node_name": name, "machine_class": machine_class, "ip": ip, "zone": zone, "region": "region",
            "internal_port_range": [self.internal_port, self.internal_port + 15],
            "seeds": [f"{seed}:{self.control_port}" for seed in self.seeds], "bootstrap": True, "heartbeat_ms": self.heartbeat_ms,
            "zones": {zone: "region" for zone in self.zones}, "limits": {"link_mbps": 1000.0, "memory_mb": 256, "disk_mb": 128},
            "bounds": BOUNDS, **more,
        }

    def _add(self, name, role, ip, fields):
        machine = Machine(self, name, role, ip, fields)
        self.machines[name] = machine
        return machine

    def add_controllers(self, count):
        ips = [f"{self.net}.3.{index + 1}" for index in range(count)]
        self.seeds = ips[:3]
        for index, ip in enumerate(ips):
            name = f"core-{index + 1}"
            folder = self.folder / f"{name}.data"
            folder.mkdir()
            self._add(name, "controller", ip, self._fields(name, "core", ip, self.zones[index % len(self.zones)], data_dir=str(folder), listen={"control": f"{ip}:{self.control_port}"}))
        return [f"{ip}:{self.control_port}" for ip in ips]

    def add_successor(self, index, zone, seeds):
        """A core machine that is added later, at another address and with an empty disk."""
        ip = f"{self.net}.3.{index}"
        name = f"core-{index}"
        folder = self.folder / f"{name}.data"
        folder.mkdir()
        fields = self._fields(name, "core", ip, zone, data_dir=str(folder), listen={"control": f"{ip}:{self.control_port}"})
        fields["bootstrap"] = False
        fields["seeds"] = seeds
        return self._add(name, "controller", ip, fields)

    def add_balancer(self, index, zone):
        ip = f"{self.net}.1.{index}"
        name = f"front-{index}"
        return self._add(name, "balancer", ip, self._fields(name, "front", ip, zone, listen={"datagram_addr": f"{ip}:{self.packet_port}", "ready": f"{ip}:{self.ready_port}"}))

    def add_agent(self, index, zone, service):
        ip = f"{self.net}.2.{index}"
        name = f"side-{index}"
        listen = {"datagram_addr": f"{ip}:{self.packet_port}", "ready": f"{ip}:{self.ready_port}", "outbound": f"{ip}:{self.outbound_port}", "control": f"{ip}:{self.control_port}"}
        return self._add(name, "agent", ip, self._fields(name, "side", ip, zone, service=service, app=f"{ip}:{self.app_port}", listen=listen))

    def caller_address(self, index):
        return f"{self.net}.4.{index}"

    def route_address(self, index=1):
        return f"{self.net}.9.{index}"

    def check_processes(self):
        for machine in self.machines.values():
            if machine.ended_by_itself():
                raise CannotRun(f"{machine.name} ended with {machine.process.returncode}; see its log")

    def stop(self):
        for machine in self.machines.values():
            if machine.running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines.values():
            if machine.process:
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def http(address, method, path, body=None, timeout=1.0):
    """One HTTP/1.1 call over a connection of its own; (status, headers, body), or None without a response in time."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            payload = b"" if body is None else body.encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(payload)}\r\n"
            if body is not None:
                head += "Content-Type: application/json\r\n"
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + payload)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            headers = {}
            while line := (await reader.readline()).strip():
                key, _, value = line.decode().partition(":")
                headers[key.strip().lower()] = value.strip()
            length = int(headers.get("content-length", 0))
            return status, headers, (await reader.readexactly(length)).decode() if length else ""
    except (OSError, TimeoutError, ValueError, IndexError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.close()


class Operator:
    """An operator that sends an order again, to any controller, until it has a clear answer."""

    def __init__(self, record, controllers):
        self._record = record
        self.controllers = controllers

    async def order(self, method, path, body=None, timeout=20.0, call_timeout=2.0):
        """Returns (status, body) of the clear answer."""
        deadline = time.monotonic() + timeout
        attempt = random.randrange(len(self.controllers))
        while time.monotonic() < deadline:
            answer = await self.once(method, path, body, self.controllers[attempt % len(self.controllers)], call_timeout)
            if answer and answer[0] < 500 and answer[0] not in (408, 429):
                return answer[0], answer[2]
            attempt += 1
            await asyncio.sleep(0.1)
        raise CannotRun(f"{method} {path} got no clear answer")

    async def once(self, method, path, body, address, call_timeout=2.0):
        """One call that follows a 307 twice."""
        for _ in range(3):
            answer = await http(address, method, path, body, call_timeout)
            if answer is None or answer[0] != 307:
                break
            target = answer[1]["location"].removeprefix("http://")
            address, _, rest = target.partition("/")
            path = "/" + rest
        self._record(f"operator {method} {path} at {address}: {answer[0] if answer else 'no response'}")
        return answer

    async def put_manifest(self, manifest, **options):
        status, text = await self.order("PUT", "/clementinesill/config", json.dumps(manifest), **options)
        self._record(f"manifest {manifest['version']} answered {status} {text}")
        return status

    async def read_manifest(self, **options):
        status, text = await self.order("GET", "/clementinesill/config", **options)
        return json.loads(text) if status == 200 else None


def route(name, host, port, service, kind="unsafe", timeout_ms=10000, target_latency_ms=500, priority=1, backends=None):
    entry = {"name": name, "host": host, "path_prefix": f"/{port}/", "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": target_latency_ms, "priority": priority, "max_attempts": 2}
    if backends:
        entry["backends"] = backends
    else:
        entry["service"] = service
    return entry


def manifest(version, routes, services, cold_per_s=0.0):
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False, "cold_start_s": 2.0, "cold_per_s": cold_per_s} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


def run_case(folder, case):
    """Runs the coroutine function case(record, trouble) and ends the process with its exit code: 1 broken, 0 held, 2 not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"disruption: {'yes' if trouble else 'no (TROUBLE=0)'}")

    async def guarded():
        async with asyncio.timeout(110):
            return await case(record, trouble)
    try:
        broken = asyncio.run(guarded())
    except CannotRun as error:
        record.say(f"the case could not run: {error}")
        os._exit(2)
    except TimeoutError:
        record.say("the case could not run: it took more than 110 seconds")
        os._exit(2)
    record.say("the rule was broken" if broken else "the rule held")
    os._exit(1 if broken else 0)
