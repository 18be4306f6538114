"""One ping of another writer, whose id cannot be read, ends open flows of the server beside the agent. See claim.txt."""
import json, os, socket, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from deployment import manifest, run_case
from flows import Requester, Server

UNREADABLE_ID = b"i-\xff\xfe"
WATCHED_S = 22


def send_unreadable_ping(rig, server):
    body = json.dumps(server.body() | {"sequence": 1, "born": int(time.time() * 1000)}).encode()
    head = b"PUT /clementinesill/instances/" + UNREADABLE_ID + b" HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
    with socket.create_connection((server.ip, rig.control), 2) as connection:
        connection.sendall(head + body)
        connection.settimeout(2)
        answer = connection.recv(200)
    rig.record(f"another writer's ping with id {UNREADABLE_ID!r} to the agent of {server.name}: {answer.splitlines()[0].decode()}")


def test(rig, trouble):
    rig.controllers(3)
    rig.add("front-1", "balancer", 11, "mandaue")
    sides = [f"side-{i}" for i in (1, 2, 3)]
    for i, name in enumerate(sides, 1):
        rig.add(name, "agent", 20 + i, "mandaue", service="desk")
    for name in rig.nodes:
        rig.start(name)
    host = rig.address(100)
    if not rig.operate("PUT", "/clementinesill/config", manifest(7, [(host, 8443, "safe", "desk")], ["desk"])):
        raise RuntimeError("the manifest was not acknowledged")
    servers = [Server(rig, name, f"i-{i}", "desk") for i, name in enumerate(sides, 1)]
    rig.wait_ready(["front-1"] + sides)
    time.sleep(3)
    requester = Requester(rig, rig.address(200), (rig.address(11), rig.datagram))
    flows = [requester.open(host, 8443) for _ in range(16)]
    if not all(flow.connect() for flow in flows) or not all(flow.request(b"GET /feed") for flow in flows):
        raise RuntimeError("a flow did not open before the disruption")
    holders = {port: server.name for server in servers for _, port in server.opened}
    if len(set(holders.values())) < 2 or "i-1" not in holders.values():
        raise RuntimeError("the flows did not spread over the servers")
    if trouble:
        send_unreadable_ping(rig, servers[0])
    broken = []
    end = time.monotonic() + WATCHED_S
    while time.monotonic() < end:
        time.sleep(0.4)
        for flow in [f for f in flows if f.state == "open"]:
            flow.request(b"GET /feed")
            if flow.state == "reset":
                text = f"flow {flow.sport}, open at {holders[flow.sport]}, which lives and sent no reset, got a reset of the system"
                rig.record(text)
                broken.append(text)
    answers = {server.name: [status for _, _, status in server.pings] for server in servers}
    for name, statuses in answers.items():
        rig.record(f"pings of {name}: {len(statuses)}, answered {sorted(set(map(str, statuses)))}")
    return broken


run_case(test)
