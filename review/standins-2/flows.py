"""Servers and requesters that speak the packets of PROTOCOL.md; small stand-ins on loopback."""
import json, random, socket, struct, threading, time, zlib
import http.server, http.client

SYN, ACK, FIN, RST, BOUNCED = 4, 128, 32, 16, 64
HEAD = struct.Struct(">IIIBBIHIHHI")

def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]

class Packet:
    def __init__(self, seq=0, ack=0, sum=0, flags=0, pad=0, echo=0, src=0, sport=0, dport=0, dst=0, data=b""):
        self.seq, self.ack, self.sum, self.flags, self.pad, self.echo = seq & 0xffffffff, ack & 0xffffffff, sum, flags, pad, echo
        self.src, self.sport, self.dport, self.dst, self.data = src, sport, dport, dst, data

    @staticmethod
    def read(raw):
        if len(raw) < HEAD.size:
            return None
        seq, ack, sum, flags, pad, echo, length, src, sport, dport, dst = HEAD.unpack_from(raw)
        return Packet(seq, ack, sum, flags, pad, echo, src, sport, dport, dst, raw[HEAD.size:HEAD.size + length])

    def checksum(self):
        text = repr((self.seq, self.ack, self.flags & ~BOUNCED, self.src, self.sport, self.dport, self.dst)).encode() + self.data
        return zlib.crc32(b"a key of this test" + text)

    def bytes(self, sign=True):
        if sign:
            self.sum = self.checksum()
        return HEAD.pack(self.seq, self.ack, self.sum, self.flags, self.pad, self.echo, len(self.data), self.src, self.sport, self.dport, self.dst) + self.data

class Server:
    """A server beside an agent: health check, pings, flows. Answers each request with 200 and its own name."""
    def __init__(self, rig, node, name, service):
        self.rig, self.node, self.name, self.service = rig, node, name, service
        self.fields = rig.nodes[node]
        self.ip = self.fields["ip"]
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.flows, self.ran, self.opened, self.foreign, self.taken = {}, [], [], [], []
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.pings = []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.ip, rig.app))
        self.socket.settimeout(0.2)
        server = self
        class Health(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                self.send_response(200 if server.state == "ready" else 503)
                self.send_header("Content-Length", "0")
                self.end_headers()
            def log_message(self, *a):
                pass
        self.health = http.server.ThreadingHTTPServer((self.ip, rig.app), Health)
        self.health.daemon_threads = True
        threading.Thread(target=self.health.serve_forever, daemon=True).start()
        threading.Thread(target=self.receive, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def body(self):
        return {"service": self.service, "address": f"{self.ip}:{self.rig.app}", "zone": self.fields["zone"], "version": "v1", "slots": 5, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    def ping(self):
        with self.lock:
            self.sequence += 1
            answer = self.rig.http(self.ip, self.rig.control, "PUT", f"/clementinesill/instances/{self.name}", json.dumps(self.body()))
        status = answer[0] if answer else None
        self.pings.append((time.monotonic(), self.state, status))
        return status

    def beat(self):
        wait = 0.0
        while not self.stopped.wait(wait):
            status = self.ping()
            wait = 0.77 if status == 200 else 0.2

    def receive(self):
        while not self.stopped.is_set():
            try:
                raw = self.socket.recv(4096)
            except socket.timeout:
                continue
            except OSError:
                return
            p = Packet.read(raw)
            if p:
                self.handle(p)

    def send(self, p, sign=True):
        self.socket.sendto(p.bytes(sign), (self.ip, self.rig.outbound))

    def answer(self, p, seq, ack, flags, data=b""):
        self.send(Packet(seq=seq, ack=ack, flags=flags, src=p.dst, sport=p.dport, dport=p.sport, dst=p.src, data=data))

    def handle(self, p):
        key = (p.src, p.sport, p.dst, p.dport)
        if p.sum != p.checksum():
            self.foreign.append(key)
            self.rig.record(f"server {self.name} got a packet that its sender did not write so")
        flow = self.flows.get(key)
        if p.flags & SYN and not p.flags & ACK:
            if not flow:
                flow = self.flows[key] = {"seq": random.getrandbits(32), "expect": (p.seq + 1) & 0xffffffff, "open": False}
                flow["next"] = (flow["seq"] + 1) & 0xffffffff
                self.taken.append((time.monotonic(), p.sport))
                self.rig.record(f"server {self.name} takes the opening packet of {p.sport}")
            self.answer(p, flow["seq"], p.seq + 1, SYN | ACK)
            return
        if not flow or not flow["open"] and p.ack != (flow["seq"] + 1) & 0xffffffff:
            p.flags |= BOUNCED
            p.pad = 0
            self.send(p, sign=False)
            return
        if p.flags & RST:
            del self.flows[key]
            return
        if not flow["open"]:
            flow["open"] = True
            self.opened.append((time.monotonic(), p.sport))
            self.rig.record(f"server {self.name}: flow {p.sport} is open")
        if p.data and p.seq == flow["expect"]:
            flow["expect"] = (p.seq + len(p.data)) & 0xffffffff
            self.ran.append((time.monotonic(), p.sport, p.data))
            self.rig.record(f"server {self.name} runs {p.data!r} of flow {p.sport}")
            text = f"200 {self.name}".encode()
            flow["last"] = (flow["next"], text)
            flow["next"] = (flow["next"] + len(text)) & 0xffffffff
            self.answer(p, flow["last"][0], flow["expect"], ACK, text)
        elif p.data and "last" in flow:
            self.answer(p, flow["last"][0], flow["expect"], ACK, flow["last"][1])
        if p.flags & FIN:
            self.answer(p, flow["next"], p.seq + 1, ACK | FIN)
            del self.flows[key]

    def stop(self):
        self.stopped.set()
        self.health.shutdown()
        self.health.server_close()
        self.socket.close()

class Requester:
    """Sends through a balancer; its packets arrive at its own address, at the port number of datagram_addr."""
    def __init__(self, rig, ip, balancer):
        self.rig, self.ip, self.balancer = rig, ip, balancer
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, rig.datagram))
        self.flows, self.port = {}, 1024
        self.lock = threading.Lock()
        self.stopped = False
        threading.Thread(target=self.receive, daemon=True).start()

    def receive(self):
        while not self.stopped:
            try:
                p = Packet.read(self.socket.recv(4096))
            except OSError:
                return
            flow = p and self.flows.get(p.dport)
            if flow:
                flow.handle(p)

    def open(self, host, port):
        with self.lock:
            self.port += 1
            flow = self.flows[self.port] = Flow(self, self.port, host, port)
        return flow

    def stop(self):
        self.stopped = True
        self.socket.close()

class Flow:
    def __init__(self, requester, sport, host, dport):
        self.requester, self.sport, self.host, self.dport = requester, sport, host, dport
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.state = "new"       # new, open, refused, reset, closed
        self.answers = []
        self.event = threading.Event()
        self.reset_at = None

    def send(self, flags, seq, ack, data=b""):
        p = Packet(seq=seq, ack=ack, flags=flags, src=number(self.requester.ip), sport=self.sport, dport=self.dport, dst=number(self.host), data=data)
        try:
            self.requester.socket.sendto(p.bytes(), self.requester.balancer)
        except OSError:
            pass

    def handle(self, p):
        if p.flags & RST:
            near = (p.seq - self.ack + 76800) & 0xffffffff <= 153600
            own = p.sum == 0 and not p.data
            if own and self.state == "new" or own and near or not own and p.sum == p.checksum():
                self.by_system = own
                self.reset_at = time.monotonic()
                self.state = "refused" if self.state == "new" else "reset"
                self.event.set()
            return
        if p.flags & SYN:
            if self.state == "new":
                self.seq = (self.seq + 1) & 0xffffffff
                self.ack = (p.seq + 1) & 0xffffffff
                self.state = "open"
                self.event.set()
            return
        if p.data and p.seq == self.ack:
            self.ack = (p.seq + len(p.data)) & 0xffffffff
            self.answers.append(p.data)
            self.event.set()

    def connect(self):
        """Sends the SYN and its copies; True if the flow opens."""
        start = self.sent_at = time.monotonic()
        for count, at in enumerate((0.0, 0.2, 0.6)):
            while time.monotonic() - start < at and self.state == "new":
                self.event.wait(max(0.001, at - (time.monotonic() - start)))
            if self.state != "new":
                break
            self.send(SYN, self.seq, count)
        self.event.wait(max(0.0, 1.4 - (time.monotonic() - start)))
        return self.state == "open"

    def request(self, data, budget=1.5):
        """Sends a request on the open flow; the answer, or None."""
        self.event.clear()
        known, wait, start = len(self.answers), 0.2, time.monotonic()
        while time.monotonic() - start < budget and self.state == "open" and len(self.answers) == known:
            self.send(ACK, self.seq, self.ack, data)
            self.event.wait(min(wait, max(0.0, budget - (time.monotonic() - start))))
            wait = min(wait * 2, 1.6)
        if len(self.answers) > known:
            self.seq = (self.seq + len(data)) & 0xffffffff
            return self.answers[-1]
        return None

    def close(self):
        """Ends the flow; what still arrives for it is dropped."""
        if self.state == "open":
            self.send(ACK | FIN, self.seq, self.ack)
        self.requester.flows.pop(self.sport, None)
        self.state = "closed"
