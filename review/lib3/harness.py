"""A small deployment on loopback: the project's daemons as processes, and stand-ins for the platform and the operator.

The stand-ins follow the users' pages (PROTOCOL, DEPLOY). Each machine has a loopback address of its own, so that all
machines use the same ports. Only processes that were started here are signalled, by their ids.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DATAGRAM, READY, CONTROL, OUTBOUND, APP, INTERNAL = 8172, 8167, 8166, 8162, 8165, 7720
VARIABLE = "CLEMENTINESILL_NODE_FILE"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def now():
    return time.monotonic()


def render(template, fields):
    """The part of DEPLOY's template language that the project's templates use."""
    def value(path):
        current = fields
        for part in path.split("."):
            current = current[int(part)] if isinstance(current, list) else current.get(part)
        return current

    def replace(match):
        name, _, how = match.group(1).partition("|")
        found = value(name)
        if how == "json":
            return json.dumps(found)
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([a-z_.0-9|]+)\}\}", replace, template)


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.start:9.3f}  {text}\n")
        self.file.flush()


class Machine:
    def __init__(self, name, kind, ip, zone):
        self.name, self.kind, self.ip, self.zone = name, kind, ip, zone
        self.process = None
        self.service = None
        self.first_start = True


class Deployment:
    ROLES = {"front": "balancer", "side": "agent", "core": "controller"}

    def __init__(self, record, fronts=2, cores=3, sides=(), zones=("zone-a", "zone-b", "zone-c"), heartbeat_ms=770, bounds=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.net = self.free_network()
        self.zones = zones
        self.heartbeat_ms = heartbeat_ms
        self.bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
                       "loss_slack_ms": 200, "config_propagation_ms": 3000, "rollback_slack_ms": 250, "max_stretch_ms": 12000, "cold_overage": 1.5,
                       "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "flow_ms": 2000, "flow_max_s": 60} | (bounds or {})
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        for role in self.roles.values():
            if not (ROOT / role["run"].split()[0]).exists():
                raise CannotRun("the build of the deploy file is missing: " + role["run"].split()[0])
        self.machines = {}
        self.next_host = 1
        for index in range(cores):
            self.add("core", zones[index % len(zones)])
        for index in range(fronts):
            self.add("front", zones[index % len(zones)])
        for index, service in enumerate(sides):
            self.add("side", zones[index % len(zones)]).service = service
        self.seeds = [f"{m.ip}:{CONTROL}" for m in self.of("core")][:3]

    def free_network(self):
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (DATAGRAM, READY, CONTROL, OUTBOUND, APP, INTERNAL, 9464):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((net + ".1", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def ip(self):
        self.next_host += 1
        return f"{self.net}.{self.next_host - 1}"

    def add(self, kind, zone, name=None):
        count = sum(1 for m in self.machines.values() if m.kind == kind) + 1
        machine = Machine(name or f"{kind}-{count}", kind, self.ip(), zone)
        self.machines[machine.name] = machine
        return machine

    def of(self, kind):
        return [m for m in self.machines.values() if m.kind == kind]

    def settings(self, machine):
        fields = {"node_name": machine.name, "role": self.ROLES[machine.kind], "ip": machine.ip, "zone": machine.zone, "region": "region",
                  "internal_port_range": [INTERNAL, INTERNAL + 15], "seeds": self.seeds, "bootstrap": machine.first_start and machine.kind == "core",
                  "heartbeat_ms": self.heartbeat_ms, "bounds": self.bounds, "limits": {"link_mbps": 1000.0},
                  "listen": {"datagram_addr": f"{machine.ip}:{DATAGRAM}", "ready": f"{machine.ip}:{READY}", "outbound": f"{machine.ip}:{OUTBOUND}",
                             "control": f"{machine.ip}:{CONTROL}"},
                  "service": machine.service, "app": f"{machine.ip}:{APP}", "data_dir": str(self.folder / "data" / machine.name)}
        if machine.kind == "core":
            pathlib.Path(fields["data_dir"]).mkdir(parents=True, exist_ok=True)
        template = (ROOT / self.roles[self.ROLES[machine.kind]]["template"]).read_text()
        path = self.folder / f"{machine.name}.json"
        path.write_text(render(template, fields))
        return path

    def start(self, name):
        machine = self.machines[name]
        path = self.settings(machine)
        machine.first_start = False
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ} | {VARIABLE: str(path)}
        words = shlex.split(self.roles[self.ROLES[machine.kind]]["run"])
        log = open(self.folder / f"{name}.log", "ab")
        machine.process = subprocess.Popen([str(ROOT / words[0]), *words[1:]], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.record(f"start {name} ({machine.ip})")

    def start_all(self):
        for name in self.machines:
            self.start(name)

    def signal(self, name, number):
        self.record(f"signal {signal.Signals(number).name} to {name}")
        self.machines[name].process.send_signal(number)

    def ended(self):
        """Processes that ended without having been signalled by this test."""
        return [m.name for m in self.machines.values() if m.process and m.process.poll() is not None]

    def close(self):
        for machine in self.machines.values():
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
        for machine in self.machines.values():
            if machine.process:
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def http(ip, port, method, path, body=None, timeout=1.0):
    """One request on a connection of its own. Returns status, headers, body; raises OSError if there is no answer."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            head = f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + data)
            await writer.drain()
            raw = await reader.readuntil(b"\r\n\r\n")
            lines = raw.decode("latin-1").split("\r\n")
            headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
            length = int(headers.get("content-length", 0))
            return int(lines[0].split()[1]), headers, await reader.readexactly(length)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        raise OSError(str(error) or type(error).__name__) from error


class Operator:
    """PROTOCOL, 'The operator's API': picks a daemon, follows a 307 twice, moves on after a failure, a 5xx or a second.

    Some 4xx end a call at once, others at the third attempt.
    """

    FINAL = (400, 409, 412, 413, 422)

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record

    async def call(self, method, path, body=None, within=10.0):
        end = now() + within
        backoff = 0.1
        refusals = 0
        while now() < end:
            core = random.choice(self.deployment.of("core"))
            ip, port, target = core.ip, CONTROL, path
            try:
                for _ in range(3):
                    status, headers, answer = await http(ip, port, method, target, body, timeout=1.0 if not body or len(str(body)) < 65536 else 3.0)
                    if status != 307:
                        break
                    match = re.match(r"http://([0-9.]+):(\d+)(/.*)", headers.get("location", ""))
                    ip, port, target = match.group(1), int(match.group(2)), match.group(3)
                refusals += 400 <= status < 500 and status not in (408, 429)
                if status < 300 or status in self.FINAL or refusals == 3:
                    return status, answer
            except OSError:
                pass
            await asyncio.sleep(backoff)
            backoff = min(backoff * 1.5, 1.0)
        return None, b""

    async def must(self, method, path, body=None, within=20.0):
        status, answer = await self.call(method, path, body, within)
        self.record(f"operator: {method} {path} -> {status}")
        if status != 200:
            raise CannotRun(f"{method} {path} -> {status} {answer[:200]!r}")
        return answer


def manifest(version, routes, services, idle_timeout_ms=15000):
    """routes: (name, host, port, kind, service); services: name -> (cold_start_s, cold_per_s)."""
    return {"version": version,
            "routes": [{"name": name, "host": host, "path_prefix": f"/{port}/", "kind": kind, "timeout_ms": 2000, "target_latency_ms": 200, "priority": 1,
                        "service": service, "max_attempts": 2} for name, host, port, kind, service in routes],
            "services": [{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False, "cold_start_s": start, "cold_per_s": rate}
                         for name, (start, rate) in services.items()],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms}}


def run_case(case, folder):
    """Runs the coroutine function case(record, trouble); exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
        code = 1 if broken else 0
    except Exception as error:  # whatever failed, the rule was not judged
        record(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        code = 2
    record(f"exit {code}")
    raise SystemExit(code)
