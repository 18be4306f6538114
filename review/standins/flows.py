"""Stand-ins of requesters, routers and servers, as PROTOCOL.md describes them: flows of packets that carry HTTP/1.1."""
import asyncio
import dataclasses
import hashlib
import json
import random
import socket
import struct
import time

from deployment import http

HEAD = struct.Struct(">IIIBBIHIHHI")
SYN, RST, FIN, BOUNCED, ACK = 4, 16, 32, 64, 128
MAX_DATA = 1200
MAX_IN_FLIGHT = 16
FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 1.6
SERVER_RETRIES = 8
SYN_TIMES_S = (0.0, 0.2, 0.6)
HANDSHAKE_S = 1.4
SUM_KEY = b"key of the stand-ins"
RESET_WINDOW = 76800


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text(address):
    return socket.inet_ntoa(struct.pack(">I", address))


def ahead(left, right):
    """Signed distance from left to right of two sequence numbers."""
    return ((right - left + 0x80000000) & 0xFFFFFFFF) - 0x80000000


@dataclasses.dataclass
class Packet:
    src: int
    sport: int
    dst: int
    dport: int
    flags: int = 0
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    sum: int = 0
    pad: int = 0
    echo: int = 0

    def keyed_sum(self):
        fixed = struct.pack(">IIBHIHHI", self.seq, self.ack, self.flags & ~BOUNCED, len(self.data), self.src, self.sport, self.dport, self.dst)
        return struct.unpack(">I", hashlib.blake2b(fixed + self.data, key=SUM_KEY, digest_size=4).digest())[0] | 1

    def encode(self):
        return HEAD.pack(self.seq, self.ack, self.sum or self.keyed_sum(), self.flags, self.pad, self.echo, len(self.data), self.src, self.sport, self.dport, self.dst) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        seq, ack, total, flags, pad, echo, length, src, sport, dport, dst = HEAD.unpack_from(raw)
        packet = Packet(src, sport, dst, dport, flags, seq, ack, raw[HEAD.size:], total, pad, echo)
        return packet if length == len(packet.data) else None

    def whole(self):
        return self.sum == self.keyed_sum()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, address):
        self.receive(data)


async def open_udp(address, port, receive):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(receive), local_addr=(address, port))
    return transport


class End:
    """One end of a flow after the handshake: reliable delivery in order of a stream of bytes."""

    def __init__(self, send, seq, ack, retries, on_data, on_close, on_give_up):
        self._send = send
        self.seq = seq          # next byte to be acknowledged by the other end
        self.next_ack = ack     # next byte expected
        self._retries = retries
        self._on_data, self._on_close, self._on_give_up = on_data, on_close, on_give_up
        self._buffer = bytearray()
        self._sent = 0          # bytes of the buffer that were sent
        self._fin_queued = self._fin_sent = self.fin_acked = False
        self.fin_received = False
        self._received = 0
        self._attempt = 0
        self._timer = None
        self.ended = False

    def write(self, data):
        self._buffer += data
        self._push()

    def close(self):
        self._fin_queued = True
        self._push()

    def _packet(self, offset, data, fin=False):
        self._send((ACK | (FIN if fin else 0)), (self.seq + offset) & 0xFFFFFFFF, self.next_ack, data)

    def _push(self):
        if self.ended:
            return
        while self._sent < len(self._buffer) and self._sent < MAX_IN_FLIGHT * MAX_DATA:
            data = bytes(self._buffer[self._sent:self._sent + MAX_DATA])
            self._packet(self._sent, data)
            self._sent += len(data)
        if self._fin_queued and not self._fin_sent and self._sent == len(self._buffer):
            self._fin_sent = True
            self._packet(self._sent, b"", fin=True)
        self._arm()

    def _arm(self):
        if self._timer is None and not self.ended and (self._sent or (self._fin_sent and not self.fin_acked)):
            delay = min(FIRST_RETRY_S * 2 ** self._attempt, LONGEST_RETRY_S)
            self._timer = asyncio.get_running_loop().call_later(delay, self._retransmit)

    def _retransmit(self):
        self._timer = None
        if self.ended:
            return
        self._attempt += 1
        if self._retries is not None and self._attempt > self._retries:
            self.stop()
            self._on_give_up()
            return
        if self._sent:
            self._packet(0, bytes(self._buffer[:MAX_DATA]))
        elif self._fin_sent and not self.fin_acked:
            self._packet(0, b"", fin=True)
        self._arm()

    def receive(self, packet):
        if self.ended:
            return
        if packet.flags & ACK:
            acked = ahead(self.seq, packet.ack)
            whole = len(self._buffer) + (1 if self._fin_sent else 0)
            if 0 < acked <= whole:
                taken = min(acked, len(self._buffer))
                del self._buffer[:taken]
                self._sent = max(0, self._sent - taken)
                self.seq = (self.seq + taken) & 0xFFFFFFFF
                if acked > taken:
                    self.fin_acked = True
                self._attempt = 0
                if self._timer:
                    self._timer.cancel()
                    self._timer = None
                self._push()
        fin = bool(packet.flags & FIN)
        if not packet.data and not fin:
            return
        offset = ahead(packet.seq, self.next_ack)
        if packet.data and 0 <= offset < len(packet.data):
            fresh = packet.data[offset:]
            self.next_ack = (self.next_ack + len(fresh)) & 0xFFFFFFFF
            self._received += 1
            self._on_data(fresh)
            if self._received % 2 == 0 or len(packet.data) < MAX_DATA:
                self._packet(self._sent, b"")
        elif packet.data:
            self._packet(self._sent, b"")
        if fin and (packet.seq + len(packet.data)) & 0xFFFFFFFF == self.next_ack and not self.fin_received:
            self.fin_received = True
            self.next_ack = (self.next_ack + 1) & 0xFFFFFFFF
            self._packet(self._sent, b"")
            self._on_close()
        elif fin:
            self._packet(self._sent, b"")

    def stop(self):
        self.ended = True
        if self._timer:
            self._timer.cancel()
            self._timer = None


class HttpStream:
    """Cuts a stream into HTTP messages with a Content-Length."""

    def __init__(self):
        self._bytes = b""

    def feed(self, data):
        self._bytes += data
        while b"\r\n\r\n" in self._bytes:
            head, rest = self._bytes.split(b"\r\n\r\n", 1)
            lines = head.decode().split("\r\n")
            headers = {key.strip().lower(): value.strip() for key, _, value in (line.partition(":") for line in lines[1:])}
            length = int(headers.get("content-length", 0))
            if len(rest) < length:
                return
            self._bytes = rest[length:]
            yield lines[0], headers, rest[:length]


class Server:
    """A backend server on a side machine. It never ends a flow by itself, so that a reset can only be the system's."""

    def __init__(self, record, machine, work_s=0.02, ident=None):
        self.record = record
        self.machine = machine
        self.service = machine.fields["service"]
        self.ident = ident or f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.cold_remaining_ms = 0
        self.work_s = work_s
        self.sequence = 0
        self.runs = []        # (time, attempt id, service)
        self.opened = []      # (time, caller, port, sent at) of the SYNs that were taken
        self.foreign = []     # (time, flow) of packets of flows that are not here
        self.flows = {}
        self.beats_acked = 0
        self.acks = {}
        self._tasks = []

    async def start(self):
        host, port = self.machine.fields["app"].rsplit(":", 1)
        self._transport = await open_udp(host, int(port), self._receive)
        outbound, outbound_port = self.machine.fields["listen"]["outbound"].rsplit(":", 1)
        self._outbound = (outbound, int(outbound_port))
        self._health = await asyncio.start_server(self._answer_health, host, int(port))
        self._tasks.append(asyncio.create_task(self._beat()))
        self.record(f"server {self.ident} of {self.service} starts beside {self.machine.name}")

    async def _answer_health(self, reader, writer):
        await reader.readline()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        await writer.drain()
        writer.close()

    def ping(self):
        self.sequence += 1
        return {"service": self.service, "address": self.machine.fields["app"], "zone": self.machine.fields["zone"], "version": "v1", "slots": 5, "state": self.state,
                "cold_remaining_ms": self.cold_remaining_ms, "sequence": self.sequence, "born": self.born}

    async def send_ping(self):
        state = self.state
        answer = await http(self.machine.fields["listen"]["control"], "PUT", f"/clementinesill/instances/{self.ident}", json.dumps(self.ping()), 1.0)
        if answer and answer[0] // 100 == 2:
            self.beats_acked += 1
            self.acks.setdefault(state, time.monotonic())
            return True
        return False

    async def _beat(self):
        while True:
            await self.send_ping()
            await asyncio.sleep(self.machine.deployment.heartbeat_ms / 1000 * random.uniform(0.95, 1.05))

    async def leave(self):
        """Ends the server after its drain."""
        for task in self._tasks:
            task.cancel()
        answer = await http(self.machine.fields["listen"]["control"], "DELETE", f"/clementinesill/instances/{self.ident}", None, 1.0)
        self.record(f"server {self.ident} left: {answer[0] if answer else 'no response'}")
        self.stop()

    def stop(self):
        for task in self._tasks:
            task.cancel()
        self._transport.close()
        self._health.close()
        for flow in self.flows.values():
            if flow["end"]:
                flow["end"].stop()

    def _emit(self, packet):
        self._transport.sendto(packet.encode(), self._outbound)

    def _receive(self, raw):
        packet = Packet.decode(raw)
        if packet is None or packet.flags & BOUNCED:
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN and not packet.flags & ACK:
            if flow is None or flow["isn"] != packet.seq:
                flow = self.flows[key] = {"isn": packet.seq, "seq": random.getrandbits(32), "end": None, "open": False}
                self.opened.append((time.monotonic(), text(packet.src), packet.sport))
                self.record(f"server {self.ident} of {self.service} takes SYN of {text(packet.src)}:{packet.sport}")
            self._emit(Packet(packet.dst, packet.dport, packet.src, packet.sport, SYN | ACK, flow["seq"], (packet.seq + 1) & 0xFFFFFFFF))
            return
        if flow is None or (not flow["open"] and ahead(flow["seq"], packet.ack) != 1):
            self.foreign.append((time.monotonic(), key))
            packet.flags |= BOUNCED
            packet.pad = 0
            self._transport.sendto(packet.encode(), self._outbound)
            return
        if packet.flags & RST:
            if flow["end"]:
                flow["end"].stop()
            self.flows.pop(key, None)
            return
        if not flow["open"]:
            self._open(key, flow, packet)
        if not flow["end"].ended:
            flow["end"].receive(packet)

    def _open(self, key, flow, packet):
        src, sport, dst, dport = key
        flow["open"] = True
        flow["at"] = time.monotonic()
        self.record(f"server {self.ident}: flow of {text(src)}:{sport} is open")
        stream = HttpStream()

        def send(flags, seq, ack, data):
            self._emit(Packet(dst, dport, src, sport, flags, seq, ack, data))

        def receive(data):
            for request in stream.feed(data):
                asyncio.get_running_loop().create_task(self._run(flow, request))

        def closed():
            flow["end"].close()
        flow["end"] = End(send, (flow["seq"] + 1) & 0xFFFFFFFF, (flow["isn"] + 1) & 0xFFFFFFFF, SERVER_RETRIES, receive, closed, lambda: self.record(f"server {self.ident} gives up a flow of {text(src)}:{sport}"))

    async def _run(self, flow, request):
        line, headers, _ = request
        attempt = headers.get("x-attempt-id", "")
        self.runs.append((time.monotonic(), attempt, self.service))
        self.record(f"server {self.ident} of {self.service} runs {attempt}")
        await asyncio.sleep(float(headers.get("x-work-s", self.work_s)))
        body = f"{attempt} by {self.ident}".encode()
        seal = hashlib.sha256(body).hexdigest()
        flow["end"].write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nX-Response-Seal: {seal}\r\n\r\n".encode() + body)


class Flow:
    """A requester's flow."""

    def __init__(self, requesters, address, port, host, dport):
        self._requesters = requesters
        self.address, self.port, self.host, self.dport = address, port, host, dport
        self.isn = random.getrandbits(32)
        self._end = None
        self._opened = asyncio.get_running_loop().create_future()
        self._answers = asyncio.Queue()
        self._stream = HttpStream()
        self.reset_at = None
        self.closed_at = None
        self.acked = 0

    def key(self):
        return (number(self.address), self.port, number(self.host), self.dport)

    def _send(self, flags, seq, ack, data=b""):
        self._requesters.route(Packet(number(self.address), self.port, number(self.host), self.dport, flags, seq, ack, data))

    async def open(self):
        """True if the flow opened; False after a reset or 1.4 s."""
        self._requesters.record(f"requester {self.address}:{self.port} opens a flow to {self.host}:{self.dport}")
        start = time.monotonic()
        for count, at in enumerate(SYN_TIMES_S):
            wait = start + at - time.monotonic()
            if wait > 0 and (await asyncio.wait([self._opened], timeout=wait))[0]:
                break
            if not self._opened.done():
                self._send(SYN, self.isn, count)
        await asyncio.wait([self._opened], timeout=max(0, start + HANDSHAKE_S - time.monotonic()))
        opened = self._opened.done() and self._opened.result()
        self._requesters.record(f"requester {self.address}:{self.port}: {'open' if opened else 'not open'}")
        return opened

    def receive(self, packet):
        if packet.flags & RST:
            near = abs(ahead(self.acked, packet.seq)) <= RESET_WINDOW
            if self._end is None:
                if not self._opened.done():
                    self._opened.set_result(False)
                return
            if not near or self.reset_at:
                return
            self.reset_at = time.monotonic()
            self._requesters.record(f"requester {self.address}:{self.port} gets a reset, {'by the system' if packet.sum == 0 else 'by the server'}")
            self._end.stop()
            self._answers.put_nowait(None)
            return
        if packet.flags & SYN and packet.flags & ACK:
            if self._end is None and not (self._opened.done() and not self._opened.result()):
                self.acked = (packet.seq + 1) & 0xFFFFFFFF
                self._end = End(self._send_end, (self.isn + 1) & 0xFFFFFFFF, self.acked, None, self._data, self._closed, lambda: None)
                self._send(ACK, (self.isn + 1) & 0xFFFFFFFF, self.acked)
                if not self._opened.done():
                    self._opened.set_result(True)
            return
        if self._end:
            self._end.receive(packet)
            self.acked = self._end.next_ack

    def _send_end(self, flags, seq, ack, data):
        self.acked = ack
        self._send(flags, seq, ack, data)

    def _data(self, data):
        for line, headers, body in self._stream.feed(data):
            self._answers.put_nowait((int(line.split()[1]), headers, body))

    def _closed(self):
        self.closed_at = time.monotonic()
        self._answers.put_nowait(None)

    async def request(self, attempt, work_s=None, timeout=5.0, method="POST", body=b""):
        """(status, headers, body), or None if the flow ended or nothing came in time."""
        self._requesters.record(f"requester {self.address}:{self.port} sends {attempt}")
        work = f"X-Work-S: {work_s}\r\n" if work_s is not None else ""
        self._end.write(f"{method} / HTTP/1.1\r\nHost: {self.host}\r\nX-Attempt-Id: {attempt}\r\n{work}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        try:
            async with asyncio.timeout(timeout):
                answer = await self._answers.get()
        except TimeoutError:
            answer = None
        self._requesters.record(f"requester {self.address}:{self.port}: {attempt} {'answered ' + str(answer[0]) if answer else 'not answered'}")
        return answer

    def close(self):
        if self._end and not self._end.ended:
            self._end.close()

    def drop(self):
        if self._end:
            self._end.stop()
        self._requesters.forget(self)


class Requesters:
    """Requesters at one address, and the router that hands their packets to the ready balancers, hashing by mod."""

    def __init__(self, record, deployment, address, balancers):
        self.record = record
        self.deployment = deployment
        self.address = address
        self.balancers = list(balancers)
        self.rotation = list(balancers)
        self._misses = {}
        self._flows = {}
        self._next_port = random.randint(20000, 40000)
        self._tasks = []

    async def start(self):
        self._transport = await open_udp(self.address, self.deployment.packet_port, self._receive)
        self._tasks.append(asyncio.create_task(self._check_readiness()))

    def stop(self):
        for task in self._tasks:
            task.cancel()
        self._transport.close()

    async def _check_readiness(self):
        while True:
            async def check(machine):
                answer = await http(machine.fields["listen"]["ready"], "GET", "/clementinesill/readiness", None, 0.45)
                ok = answer is not None and answer[0] == 200
                self._misses[machine.name] = 0 if ok else self._misses.get(machine.name, 0) + 1
            await asyncio.gather(*(check(machine) for machine in self.balancers))
            ready = [machine for machine in self.balancers if self._misses.get(machine.name, 0) < 2]
            rotation = ready if len(ready) * 2 >= len(self.balancers) else list(self.balancers)
            if rotation != self.rotation:
                self.record("rotation: " + ", ".join(machine.name for machine in rotation))
            self.rotation = rotation
            await asyncio.sleep(0.5)

    def balancer_of(self, key):
        digest = hashlib.blake2b(repr(key).encode(), digest_size=8).digest()
        return self.rotation[int.from_bytes(digest, "big") % len(self.rotation)]

    def route(self, packet):
        machine = self.balancer_of((packet.src, packet.sport, packet.dst, packet.dport))
        host, port = machine.fields["listen"]["datagram_addr"].rsplit(":", 1)
        self._transport.sendto(packet.encode(), (host, int(port)))

    def _receive(self, raw):
        packet = Packet.decode(raw)
        flow = self._flows.get((packet.dst, packet.dport, packet.src, packet.sport)) if packet else None
        if flow:
            flow.receive(packet)

    def flow(self, host, dport):
        self._next_port = self._next_port + 1 if self._next_port < 60000 else 20000
        flow = Flow(self, self.address, self._next_port, host, dport)
        self._flows[flow.key()] = flow
        return flow

    def forget(self, flow):
        self._flows.pop(flow.key(), None)
