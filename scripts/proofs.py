#!/usr/bin/env python3
"""Failure proofs with real processes: kills, freezes, lost disks, races. Prints one line a proof; exits 0 if all hold."""
import argparse
import concurrent.futures
import json
import pathlib
import shutil
import signal
import sys
import time

import deployment as d

# Longest time from an accepted change to every daemon's table, at today's sizes.
IN_FORCE_S = 2.0
# Longest time from the loss of the leader to the next accepted change.
ELECTION_S = 3.0
# Time in which a server that is gone must get no more flows.
LEASE_S = 5.0
# Slack for starting a process and for a busy machine; no promise depends on it.
SLACK_S = 10.0


class Proof:
    """One deployment and what is asked of it."""

    def __init__(self, build, name, seed, base_port):
        self.system = d.Deployment(build, pathlib.Path("var") / f"proof-{name}", d.TAHANAN, base_port=base_port, seed=seed)
        self.orders = d.TAHANAN.services[0]

    def require(self, condition, text):
        if not condition:
            raise d.Failed(text)

    # Operators

    def status(self):
        result = self.system.operate("status", "--output", "json", check=False)
        self.require(result.returncode == 0, f"status: exit {result.returncode} {result.stderr}")
        return json.loads(result.stdout)

    def leader(self):
        leaders = [c["id"] for c in self.status()["controllers"] if c["role"] == "leader"]
        self.require(len(leaders) == 1, f"leaders: {leaders}")
        return leaders[0]

    def settled(self):
        """Every server is registered and some controller leads."""
        self.system.retry("all servers registered", lambda: self.require(
            len(self.status()["servers"]) == len(self.system.servers), "servers are missing"))

    def zone(self, state, name):
        started = time.monotonic()
        self.system.retry(f"zone {state} {name}", lambda: self.system.operate("zone", state, name))
        return time.monotonic() - started

    def zone_states(self):
        return {z["name"]: z["state"] for z in self.status()["zones"]}

    def requests(self, count=30):
        """Requests to the order desk; returns how many each server answered. None may fail."""
        with concurrent.futures.ThreadPoolExecutor(5) as pool:
            answers = list(pool.map(lambda n: d.request(self.orders, f"/item/{n}"), range(count)))
        failed = [a for a in answers if a.status != 200]
        self.require(not failed, f"{len(failed)} of {count} requests failed: {failed[0] if failed else ''}")
        servers = [a.server for a in answers]
        return {name: servers.count(name) for name in servers}

    def feeds(self, count=6):
        feeds = [d.Feed(self.orders) for _ in range(count)]
        self.system.retry("feeds open", lambda: self.require(all(f.lines for f in feeds), "no data yet"))
        return feeds

    def controller_index(self, name):
        return int(name.rsplit("-", 1)[1]) - 1


def leader_killed(proof):
    """The leader is killed at once: the next change is accepted in time, nothing accepted is lost."""
    proof.zone("out", "talisay")
    leader = proof.leader()
    proof.system.kill(leader)
    took = proof.zone("out", "mandaue")
    states = proof.zone_states()
    proof.require(states["talisay"] == states["mandaue"] == "ZONE_STATE_OUT", f"zones: {states}")
    proof.system.start_controller(proof.controller_index(leader))
    proof.zone("in", "mandaue")
    proof.require(took <= ELECTION_S, f"next change accepted after {took:.1f} s, target {ELECTION_S}")
    return f"next change accepted after {took:.1f} s"


def leader_frozen(proof):
    """The leader is cut off silently for a while: others go on, and when it comes back nothing reverts."""
    leader = proof.leader()
    proof.system.signal(leader, signal.SIGSTOP)
    proof.zone("out", "mandaue")
    version = int(proof.status()["version"])
    time.sleep(3)
    proof.system.signal(leader, signal.SIGCONT)
    for _ in range(10):
        time.sleep(0.3)
        status = proof.status()
        proof.require(int(status["version"]) >= version, f"version went back to {status['version']} from {version}")
        servers = proof.requests(5)
        inside = [s for s in servers if proof.system.zone_of(s) == "mandaue"]
        proof.require(not inside, f"a zone that is out served: {inside}")
    return f"version stays at {version} or above, no request into the zone"


def disk_lost_then_second_controller(proof):
    """A controller loses its disk and comes back; then a second VM is lost: no accepted change is lost."""
    for _ in range(5):
        proof.zone("out", "talisay")
        proof.zone("in", "talisay")
    proof.zone("out", "lapu-lapu")
    proof.system.kill("controller-3")
    shutil.rmtree(proof.system.folder / "data" / "controller-3")
    proof.system.start_controller(2)
    caught_up = lambda: proof.require(len({c["lastIndex"] for c in proof.status()["controllers"]}) == 1, "not caught up")
    proof.system.retry("the new disk caught up", caught_up)
    time.sleep(2)
    proof.system.kill("controller-1")
    proof.zone("out", "mandaue")
    states = proof.zone_states()
    proof.require(states == {"mandaue": "ZONE_STATE_OUT", "lapu-lapu": "ZONE_STATE_OUT", "talisay": "ZONE_STATE_IN"}, f"zones: {states}")
    return "the change before and the one after both stand"


def all_controllers_restarted(proof):
    """All controllers are killed after a hundred changes: the configuration is the same after their restart."""
    for _ in range(50):
        proof.zone("out", "mandaue")
        proof.zone("in", "mandaue")
    proof.zone("out", "talisay")
    before = proof.status()
    for index in range(3):
        proof.system.kill(f"controller-{index + 1}")
    served = proof.requests(10)
    for index in range(3):
        proof.system.start_controller(index)
    proof.settled()
    after = proof.status()
    proof.require(int(after["revision"]) == int(before["revision"]), f"revision {after['revision']}, was {before['revision']}")
    proof.require(int(after["version"]) >= int(before["version"]), f"version {after['version']}, was {before['version']}")
    proof.require({z["name"]: z["state"] for z in after["zones"]}["talisay"] == "ZONE_STATE_OUT", "the zone came back by itself")
    inside = [s for s in proof.requests(10) if proof.system.zone_of(s) == "talisay"]
    proof.require(not inside, f"a zone that is out served: {inside}")
    return f"revision {after['revision']} kept; {sum(served.values())} of 10 requests served without any controller"


def operators_race(proof):
    """Two operators change the same revision at once: one is accepted, the other is told so, nothing is mixed."""
    folders = []
    for number, (port, name) in enumerate(((9001, "left"), (9002, "right"))):
        folder = proof.system.folder / f"operators-{name}"
        shutil.copytree(proof.system.operator_folder(), folder)
        (folder / "30-more.json").write_text(json.dumps({"services": [
            {"name": f"extra-{name}", "address": "198.51.100.99", "port": port, "protocol": "tcp", "mode": "stream"}]}))
        folders.append(folder)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        codes = sorted(r.returncode for r in pool.map(lambda f: proof.system.operate("apply", f, check=False), folders))
    # Both may be accepted one after the other if one read its revision after the other's change.
    proof.require(codes in ([0, 4], [0, 0]), f"exit codes {codes}")
    return f"exit codes {codes}"


def balancer_frozen(proof):
    """A balancer freezes without a sign: feeds go on through the others."""
    feeds = proof.feeds()
    proof.system.signal("balancer-1", signal.SIGSTOP)
    time.sleep(6)
    proof.system.signal("balancer-1", signal.SIGCONT)
    time.sleep(3)
    broken = [f for f in feeds if not f.open() or f.gap]
    for feed in feeds:
        feed.close()
    proof.require(not broken, f"{len(broken)} of {len(feeds)} feeds broke")
    return f"{len(feeds)} of {len(feeds)} feeds unbroken"


def agent_killed(proof):
    """An agent is killed: its callers are told by a reset instead of waiting, and new requests go elsewhere."""
    feeds = proof.feeds(8)
    victim = feeds[0].server
    held = [f for f in feeds if f.server == victim]
    proof.system.kill(f"agent-{victim}")
    time.sleep(LEASE_S)
    servers = proof.requests(30)
    proof.require(victim not in servers, f"{victim} still answers")
    spec = next(s for s in proof.system.servers if s.name == victim)
    proof.system.start_agent(spec)
    # A feed's caller sends nothing, so only its keepalive or the restarted agent can tell it.
    others = [f for f in feeds if f not in held]
    time.sleep(1)
    broken = [f for f in others if not f.healthy()]
    proof.require(not broken, f"{len(broken)} feeds of other servers broke")
    proof.system.retry("the server serves again", lambda: proof.require(
        victim in proof.requests(30), "no request yet"), timeout=LEASE_S + SLACK_S)
    for feed in feeds:
        feed.close()
    return f"{len(others)} feeds of other servers unbroken, the restarted one serves again"


def agent_stopped_gracefully(proof):
    """An agent is asked to stop: its feeds go on, it takes nothing new."""
    feeds = proof.feeds(8)
    victim = feeds[0].server
    proof.system.signal(f"agent-{victim}", signal.SIGTERM)
    time.sleep(3)
    servers = proof.requests(30)
    proof.require(victim not in servers, f"{victim} got {servers.get(victim)} new requests")
    time.sleep(3)
    broken = [f for f in feeds if not f.healthy()]
    proof.require(not broken, f"{len(broken)} of {len(feeds)} feeds broke: {[f.server for f in broken]}, stopped {victim}")
    for feed in feeds:
        feed.close()
    process = proof.system.processes[f"agent-{victim}"]
    proof.system.retry("the agent ends once its flows ended", lambda: proof.require(process.poll() == 0, f"exit {process.poll()}"), timeout=SLACK_S)
    return f"{len(feeds)} of {len(feeds)} feeds unbroken, exit 0 once they ended"


def everything_at_once(proof):
    """A drain, a zone out, a killed balancer and a killed leader together: flows outside the zone live on."""
    feeds = proof.feeds(9)
    zone = "talisay"
    kept = [f for f in feeds if proof.system.zone_of(f.server) != zone]
    proof.require(kept, "no feed outside the zone")
    proof.system.kill("balancer-2")
    proof.system.operate("drain", kept[0].server)
    proof.system.kill(proof.leader())
    proof.zone("out", zone)
    proof.system.start_balancer(1)
    time.sleep(3)
    servers = proof.requests(40)
    wrong = [s for s in servers if proof.system.zone_of(s) == zone or s == kept[0].server]
    proof.require(not wrong, f"new work for {wrong}")
    broken = [f for f in kept if not f.healthy()]
    proof.require(not broken, f"{len(broken)} of {len(kept)} feeds broke")
    for feed in feeds:
        feed.close()
    return f"{len(kept)} of {len(kept)} feeds unbroken, 40 of 40 requests answered"


PROOFS = [leader_killed, leader_frozen, disk_lost_then_second_controller, all_controllers_restarted, operators_race,
          balancer_frozen, agent_killed, agent_stopped_gracefully, everything_at_once]


def run(step, build, seed, base_port):
    proof = Proof(build, step.__name__.replace("_", "-"), seed, base_port)
    try:
        proof.system.start()
        proof.settled()
        return True, step(proof)
    except d.Failed as error:
        return False, f"{error}; logs in {proof.system.folder}"
    finally:
        proof.system.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=31000)
    parser.add_argument("names", nargs="*", help="proofs to run; all if none is named")
    arguments = parser.parse_args()
    failed = 0
    for step in PROOFS:
        if arguments.names and step.__name__ not in arguments.names:
            continue
        started = time.monotonic()
        held, seen = run(step, arguments.build, arguments.seed, arguments.base_port)
        failed += not held
        print(f"{'ok    ' if held else 'FAILED'} {step.__name__} ({time.monotonic() - started:.0f} s): {seen}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
