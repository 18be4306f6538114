"""A small deployment on loopback: the project's daemons as processes, and stand-ins for platform, servers and requesters.

The stand-ins follow the users' pages (SYSTEM, RULES, PROTOCOL, DEPLOY). Each machine has a loopback address of its own, so that all
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
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DATAGRAM, READY, CONTROL, OUTBOUND, APP, INTERNAL = 8172, 8167, 8166, 8162, 8165, 7720
SYN, ACK, FIN, RST, BOUNCED = 4, 128, 32, 16, 64
HEAD = struct.Struct(">IIIBBIHIHHI")
VARIABLE = "CLEMENTINESILL_NODE_FILE"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def now():
    return time.monotonic()


def address(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


class Packet:
    """A packet of PROTOCOL, 'Packets'."""
    __slots__ = ("seq", "ack", "sum", "flags", "pad", "echo", "src", "sport", "dport", "dst", "data")

    def __init__(self, seq=0, ack=0, sum=0, flags=0, src=0, sport=0, dport=0, dst=0, data=b"", pad=0, echo=0):
        self.seq, self.ack, self.sum, self.flags, self.pad, self.echo = seq, ack, sum, flags, pad, echo
        self.src, self.sport, self.dport, self.dst, self.data = src, sport, dport, dst, data

    def encode(self):
        return HEAD.pack(self.seq & 0xffffffff, self.ack & 0xffffffff, self.sum, self.flags, self.pad, self.echo, len(self.data), self.src, self.sport, self.dport, self.dst) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        seq, ack, total, flags, pad, echo, length, src, sport, dport, dst = HEAD.unpack_from(raw)
        if len(raw) != HEAD.size + length:
            return None
        return Packet(seq, ack, total, flags, src, sport, dport, dst, raw[HEAD.size:], pad, echo)


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
        self.ready = {}

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

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.machines[name].process.wait()

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

    # The infrastructure: readiness twice a second, two misses take a front out of rotation.
    async def watch_readiness(self):
        misses = {}
        while True:
            for machine in self.of("front"):
                try:
                    status, _, _ = await http(machine.ip, READY, "GET", "/clementinesill/readiness", timeout=0.4)
                except OSError:
                    status = 0
                misses[machine.name] = 0 if status == 200 else misses.get(machine.name, 2) + 1
                self.ready[machine.name] = misses[machine.name] < 2
            await asyncio.sleep(0.5)

    def router(self, packet):
        """The front that receives a requester's packet: hash 'mod' over the fronts in rotation."""
        fronts = [m for m in self.of("front") if self.ready.get(m.name)] or self.of("front")
        key = hash((packet.src, packet.sport, packet.dst, packet.dport))
        return fronts[key % len(fronts)]

    async def wait_ready(self, timeout=30):
        end = now() + timeout
        while now() < end:
            if all(self.ready.get(m.name) for m in self.of("front")):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the fronts did not become ready")


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
    """PROTOCOL, 'The operator's API': picks a daemon, follows a 307 twice, moves on after a failure, a 5xx or a second."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.version = 0

    async def call(self, method, path, body=None, within=10.0, at=None):
        end = now() + within
        backoff = 0.1
        while now() < end:
            core = random.choice([m for m in self.deployment.of("core")]) if at is None else at
            ip, port, target = core.ip, CONTROL, path
            try:
                for _ in range(3):
                    status, headers, answer = await http(ip, port, method, target, body, timeout=1.0 if not body or len(str(body)) < 65536 else 3.0)
                    if status != 307:
                        break
                    match = re.match(r"http://([0-9.]+):(\d+)(/.*)", headers.get("location", ""))
                    ip, port, target = match.group(1), int(match.group(2)), match.group(3)
                if status < 500 and status not in (307, 408, 429):
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


class ServerFlow:
    __slots__ = ("seq", "ack", "peer_start", "opened", "fin_sent", "fin_seen", "key", "served")

    def __init__(self, key, seq, ack):
        self.key, self.seq, self.ack, self.peer_start = key, seq, ack, ack
        self.opened = self.fin_sent = self.fin_seen = False
        self.served = 0


class Server(asyncio.DatagramProtocol):
    """An application server beside an agent. Answers each request of a flow with one packet after work_s."""

    def __init__(self, deployment, machine, record, server_id=None, slots=5, cold_s=0.0, work_s=0.01, close_after_response=True):
        self.deployment, self.machine, self.record = deployment, machine, record
        self.id = server_id or f"i-{random.getrandbits(32):08x}"
        self.slots, self.cold_s, self.work_s, self.close_after_response = slots, cold_s, work_s, close_after_response
        self.born = int(time.time() * 1000)
        self.started = now()
        self.state = "ready"
        self.sequence = 0
        self.flows = {}
        self.taken = []      # (time, key, sent time of the SYN copy) of each opening packet that was taken
        self.acks = []       # (time, state) of acknowledged pings
        self.bounced = 0
        self.tasks = []
        self.outbound = (machine.ip, OUTBOUND)
        self.sent_times = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.machine.ip, APP))
        self.listener = await asyncio.start_server(self.health, self.machine.ip, APP, reuse_address=True)
        self.started = now()
        self.record(f"server {self.id} starts on {self.machine.name}, cold for {self.cold_s} s")
        self.tasks.append(asyncio.ensure_future(self.ping()))

    def crash(self):
        self.record(f"server {self.id} crashes")
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.listener.close()
        self.flows.clear()

    def cold_remaining_ms(self):
        return max(0, int((self.started + self.cold_s - now()) * 1000))

    def is_cold(self, at):
        return at < self.started + self.cold_s

    async def health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nX-Instance-Id: {self.id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def beat(self):
        self.sequence += 1
        return {"service": self.machine.service, "address": f"{self.machine.ip}:{APP}", "zone": self.machine.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": self.cold_remaining_ms(), "sequence": self.sequence, "born": self.born}

    async def ping_once(self):
        beat = self.beat()
        try:
            status, _, _ = await http(self.machine.ip, CONTROL, "PUT", f"/clementinesill/instances/{self.id}", beat, timeout=1.0)
        except OSError:
            status = None
        if status and 200 <= status < 300:
            self.acks.append((now(), beat["state"]))
        return status

    async def ping(self):
        while True:
            begin = now()
            await self.ping_once()
            await asyncio.sleep(max(0.0, begin + self.deployment.heartbeat_ms / 1000 - now()))

    def send(self, packet):
        self.transport.sendto(packet.encode(), self.outbound)

    def bounce(self, raw):
        self.bounced += 1
        head = bytearray(raw)
        head[12] |= BOUNCED
        head[13] = 0
        self.transport.sendto(bytes(head), self.outbound)

    def reply(self, packet, flow, flags, data=b""):
        self.send(Packet(flow.seq, flow.ack, random.getrandbits(32), flags, packet.dst, packet.dport, packet.sport, packet.src, data))

    def datagram_received(self, raw, sender):
        packet = Packet.decode(raw)
        if packet is None:
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow.peer_start != packet.seq:
                self.flows[key] = flow = ServerFlow(key, random.getrandbits(32), packet.seq)
                self.on_open(key, packet)
                self.reply(packet, flow, SYN | ACK)
            else:
                self.send(Packet(flow.seq, flow.ack, random.getrandbits(32), SYN | ACK, packet.dst, packet.dport, packet.sport, packet.src))
            return
        if flow is None or (not flow.opened and packet.ack != flow.seq):
            self.bounce(raw)
            return
        flow.opened = True
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if packet.data:
            if packet.seq == flow.ack:
                flow.ack = (flow.ack + len(packet.data)) & 0xffffffff
                flow.served += 1
                self.on_request(key, packet)
                asyncio.get_running_loop().call_later(self.work_s, self.answer, packet, flow)
            else:
                self.reply(packet, flow, ACK)
        if packet.flags & FIN and not flow.fin_seen:
            flow.fin_seen = True
            self.reply(packet, flow, ACK)
            if not flow.fin_sent:
                flow.fin_sent = True
                self.reply(packet, flow, ACK | FIN)
            asyncio.get_running_loop().call_later(2.0, self.flows.pop, key, None)

    def answer(self, packet, flow):
        if self.transport.is_closing() or self.flows.get(flow.key) is not flow:
            return
        data = b"answer " + self.id.encode()
        self.reply(packet, flow, ACK, data)
        flow.seq = (flow.seq + len(data)) & 0xffffffff

    def on_open(self, key, packet):
        self.taken.append((now(), key))

    def on_request(self, key, packet):
        pass


class Attempt:
    """One requester attempt: its own flow, SYN copies after 200 and 600 ms, given up after 1.4 s."""

    def __init__(self, requester, port, route):
        self.requester, self.port, self.route = requester, port, route
        self.seq = random.getrandbits(32)
        self.sent = now()
        self.server_seq = None
        self.opened = self.ended = False
        self.answered = None
        self.reset = None
        self.copies = []
        self.timers = []

    def packet(self, flags, data=b"", ack=0, seq=None):
        host, port = self.route
        return Packet(self.seq if seq is None else seq, ack, random.getrandbits(32), flags, self.requester.number, self.port, port, address(host), data)

    def open(self):
        loop = asyncio.get_running_loop()
        self.send_syn(0)
        self.timers = [loop.call_later(0.2, self.send_syn, 1), loop.call_later(0.6, self.send_syn, 2), loop.call_later(1.4, self.end, "not opened")]

    def send_syn(self, copy):
        if not self.opened and not self.ended:
            self.copies.append(now())
            self.requester.send(self.packet(SYN, ack=copy))

    def end(self, why):
        if self.ended:
            return
        self.ended = True
        self.why = why
        for timer in self.timers:
            timer.cancel()
        self.requester.finished(self)

    def receive(self, packet):
        if packet.flags & RST:
            if not self.opened:
                self.reset = now()
                self.end("reset before it opened")
            return
        if packet.flags & SYN and not self.opened:
            self.opened = True
            for timer in self.timers:
                timer.cancel()
            self.server_seq = packet.seq
            data = b"request"
            self.requester.send(self.packet(ACK, data, ack=packet.seq))
            self.seq = (self.seq + len(data)) & 0xffffffff
            self.timers = [asyncio.get_running_loop().call_later(2.0, self.end, "no answer")]
            return
        if packet.data and self.opened and self.answered is None:
            self.answered = now()
            self.requester.send(self.packet(ACK | FIN, ack=(packet.seq + len(packet.data)) & 0xffffffff))
            self.end("answered")


class Requester(asyncio.DatagramProtocol):
    """A requester's address. Flows differ by their port."""

    def __init__(self, deployment, record, ip):
        self.deployment, self.record, self.ip = deployment, record, ip
        self.number = address(ip)
        self.flows = {}
        self.next_port = 20000
        self.done = []

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, DATAGRAM))

    def send(self, packet):
        self.transport.sendto(packet.encode(), (self.deployment.router(packet).ip, DATAGRAM))

    def datagram_received(self, raw, sender):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport) if packet else None
        if flow:
            flow.receive(packet)

    def attempt(self, route):
        self.next_port = self.next_port + 1 if self.next_port < 60000 else 20000
        flow = Attempt(self, self.next_port, route)
        self.flows[flow.port] = flow
        flow.open()
        return flow

    def finished(self, flow):
        self.done.append(flow)
        asyncio.get_running_loop().call_later(3.0, self.flows.pop, flow.port, None)


def run_case(case, folder):
    """Runs the coroutine function case(record, trouble); exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
        code = 1 if broken else 0
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        code = 2
    record(f"exit {code}")
    raise SystemExit(code)
