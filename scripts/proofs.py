#!/usr/bin/env python3
"""Failure tests ("proofs") with real processes: kills, freezes, lost disks, races.

Prints one line per proof; exits with 0 if all pass.
"""
import argparse
import concurrent.futures
import json
import pathlib
import shutil
import signal
import sys
import time

import deployment

# Upper bound for the time from an accepted change until it is in every daemon's table, at the current fleet sizes.
TAKES_EFFECT_S = 2.0
# Upper bound for the time from the loss of the leader to the next accepted change.
ELECTION_S = 3.0
# A server that is gone gets no new flows after this time.
LEASE_S = 5.0
# Extra time for process starts and busy machines; not part of any requirement.
SLACK_S = 10.0


class Proof:
    """A deployment with the operations that the proofs share."""

    def __init__(self, build, name, seed, base_port):
        self.system = deployment.Deployment(build, pathlib.Path("var") / f"proof-{name}", deployment.TAHANAN, base_port=base_port, seed=seed)
        self.orders = deployment.TAHANAN.services[0]

    def require(self, condition, text):
        if not condition:
            raise deployment.DeploymentError(text)

    # Operators

    def status(self):
        result = self.system.run_cli("status", "--output", "json", check=False)
        self.require(result.returncode == 0, f"status: exit {result.returncode} {result.stderr}")
        return json.loads(result.stdout)

    def leader(self):
        leaders = [c["id"] for c in self.status()["controllers"] if c["role"] == "leader"]
        self.require(len(leaders) == 1, f"leaders: {leaders}")
        return leaders[0]

    def wait_until_settled(self):
        """Waits until every server is registered, which needs an elected leader."""
        self.system.retry("all servers registered", lambda: self.require(
            len(self.status()["servers"]) == len(self.system.servers), "servers are missing"))

    def set_zone(self, state, name):
        started = time.monotonic()
        self.system.retry(f"zone {state} {name}", lambda: self.system.run_cli("zone", state, name))
        return time.monotonic() - started

    def zone_states(self):
        return {z["name"]: z["state"] for z in self.status()["zones"]}

    def send_requests(self, count=30):
        """Sends requests to the orders service; returns the number of responses per server. Fails if any request fails."""
        with concurrent.futures.ThreadPoolExecutor(5) as pool:
            responses = list(pool.map(lambda n: deployment.request(self.orders, f"/item/{n}"), range(count)))
        failed = [response for response in responses if response.status != 200]
        self.require(not failed, f"{len(failed)} of {count} requests failed: {failed[0] if failed else ''}")
        servers = [response.server for response in responses]
        return {name: servers.count(name) for name in servers}

    def open_feeds(self, count=6):
        feeds = [deployment.Feed(self.orders) for _ in range(count)]
        self.system.retry("feeds open", lambda: self.require(all(f.lines for f in feeds), "no data yet"))
        return feeds

    def controller_index(self, name):
        return int(name.rsplit("-", 1)[1]) - 1


def leader_killed(proof):
    """The leader is killed: the next change is accepted in time, and no accepted change is lost."""
    proof.set_zone("out", "talisay")
    leader = proof.leader()
    proof.system.kill(leader)
    acceptance_s = proof.set_zone("out", "mandaue")
    states = proof.zone_states()
    proof.require(states["talisay"] == states["mandaue"] == "ZONE_STATE_OUT", f"zones: {states}")
    proof.system.start_controller(proof.controller_index(leader))
    proof.set_zone("in", "mandaue")
    proof.require(acceptance_s <= ELECTION_S, f"next change accepted after {acceptance_s:.1f} s, target {ELECTION_S}")
    return f"next change accepted after {acceptance_s:.1f} s"


def leader_frozen(proof):
    """The leader is frozen: a new leader accepts changes, and they are not reverted when the old leader resumes."""
    leader = proof.leader()
    proof.system.signal(leader, signal.SIGSTOP)
    proof.set_zone("out", "mandaue")
    version = int(proof.status()["version"])
    time.sleep(3)
    proof.system.signal(leader, signal.SIGCONT)
    for _ in range(10):
        time.sleep(0.3)
        status = proof.status()
        proof.require(int(status["version"]) >= version, f"version went back to {status['version']} from {version}")
        servers = proof.send_requests(5)
        served_by_zone = [s for s in servers if proof.system.zone_of(s) == "mandaue"]
        proof.require(not served_by_zone, f"a zone that is out served: {served_by_zone}")
    return f"version did not go below {version}, no request reached the zone"


def disk_lost_then_second_controller(proof):
    """A controller restarts without its disk, then a second controller is lost: no accepted change is lost."""
    for _ in range(5):
        proof.set_zone("out", "talisay")
        proof.set_zone("in", "talisay")
    proof.set_zone("out", "lapu-lapu")
    proof.system.kill("controller-3")
    shutil.rmtree(proof.system.folder / "data" / "controller-3")
    proof.system.start_controller(2)
    require_caught_up = lambda: proof.require(len({c["lastIndex"] for c in proof.status()["controllers"]}) == 1, "the controllers' logs differ in length")
    proof.system.retry("the controller with the new disk caught up", require_caught_up)
    time.sleep(2)
    proof.system.kill("controller-1")
    proof.set_zone("out", "mandaue")
    states = proof.zone_states()
    proof.require(states == {"mandaue": "ZONE_STATE_OUT", "lapu-lapu": "ZONE_STATE_OUT", "talisay": "ZONE_STATE_IN"}, f"zones: {states}")
    return "changes before and after the loss of the disk are kept"


def all_controllers_restarted(proof):
    """All controllers are killed after 100 changes: the configuration is unchanged after their restart."""
    for _ in range(50):
        proof.set_zone("out", "mandaue")
        proof.set_zone("in", "mandaue")
    proof.set_zone("out", "talisay")
    before = proof.status()
    for index in range(3):
        proof.system.kill(f"controller-{index + 1}")
    served = proof.send_requests(10)
    for index in range(3):
        proof.system.start_controller(index)
    proof.wait_until_settled()
    after = proof.status()
    proof.require(int(after["revision"]) == int(before["revision"]), f"revision {after['revision']}, was {before['revision']}")
    proof.require(int(after["version"]) >= int(before["version"]), f"version {after['version']}, was {before['version']}")
    proof.require({z["name"]: z["state"] for z in after["zones"]}["talisay"] == "ZONE_STATE_OUT", "the zone is no longer out")
    served_by_zone = [s for s in proof.send_requests(10) if proof.system.zone_of(s) == "talisay"]
    proof.require(not served_by_zone, f"a zone that is out served: {served_by_zone}")
    return f"revision {after['revision']} kept; {sum(served.values())} of 10 requests served while no controller ran"


def operators_race(proof):
    """Two operators change the same revision concurrently: one is accepted, the other gets a conflict, and nothing is merged."""
    folders = []
    for number, (port, name) in enumerate(((9001, "left"), (9002, "right"))):
        folder = proof.system.folder / f"operators-{name}"
        shutil.copytree(proof.system.write_operator_folder(), folder)
        (folder / "30-more.json").write_text(json.dumps({"services": [
            {"name": f"extra-{name}", "address": "198.51.100.99", "port": port, "protocol": "tcp", "mode": "stream"}]}))
        folders.append(folder)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        codes = sorted(r.returncode for r in pool.map(lambda f: proof.system.run_cli("apply", f, check=False), folders))
    # Both are accepted, one after the other, if one operator reads the revision after the other's change.
    proof.require(codes in ([0, 4], [0, 0]), f"exit codes {codes}")
    return f"exit codes {codes}"


def balancer_frozen(proof):
    """A balancer freezes: feeds continue through the others."""
    feeds = proof.open_feeds()
    proof.system.signal("balancer-1", signal.SIGSTOP)
    time.sleep(6)
    proof.system.signal("balancer-1", signal.SIGCONT)
    time.sleep(3)
    broken = [f for f in feeds if not f.is_open() or f.gap]
    for feed in feeds:
        feed.close()
    proof.require(not broken, f"{len(broken)} of {len(feeds)} feeds broke")
    return f"{len(feeds)} of {len(feeds)} feeds unbroken"


def agent_killed(proof):
    """An agent is killed: feeds of other servers continue, and new requests go to other servers until it restarts."""
    feeds = proof.open_feeds(8)
    victim = feeds[0].server
    victim_feeds = [f for f in feeds if f.server == victim]
    proof.system.kill(f"agent-{victim}")
    time.sleep(LEASE_S)
    servers = proof.send_requests(30)
    proof.require(victim not in servers, f"{victim} still responds")
    spec = next(s for s in proof.system.servers if s.name == victim)
    proof.system.start_agent(spec)
    # The victim's feeds are not checked: their callers send nothing, so only a TCP keepalive or the restarted agent resets them.
    others = [f for f in feeds if f not in victim_feeds]
    time.sleep(1)
    broken = [f for f in others if not f.is_healthy()]
    proof.require(not broken, f"{len(broken)} feeds of other servers broke")
    proof.system.retry("server gets requests again", lambda: proof.require(
        victim in proof.send_requests(30), "no request so far"), timeout=LEASE_S + SLACK_S)
    for feed in feeds:
        feed.close()
    return f"{len(others)} feeds of other servers unbroken, the restarted server serves again"


def agent_stopped_gracefully(proof):
    """An agent shuts down gracefully: its feeds continue, and it gets no new requests."""
    feeds = proof.open_feeds(8)
    victim = feeds[0].server
    proof.system.signal(f"agent-{victim}", signal.SIGTERM)
    time.sleep(3)
    servers = proof.send_requests(30)
    proof.require(victim not in servers, f"{victim} got {servers.get(victim)} new requests")
    time.sleep(3)
    broken = [f for f in feeds if not f.is_healthy()]
    proof.require(not broken, f"{len(broken)} of {len(feeds)} feeds broke: {[f.server for f in broken]}, stopped {victim}")
    for feed in feeds:
        feed.close()
    process = proof.system.processes[f"agent-{victim}"]
    proof.system.retry("agent exits after its flows have ended", lambda: proof.require(process.poll() == 0, f"exit {process.poll()}"), timeout=SLACK_S)
    return f"{len(feeds)} of {len(feeds)} feeds unbroken, exit 0 after they ended"


def everything_at_once(proof):
    """A drain, a zone out, a killed balancer and a killed leader at the same time: flows outside the zone continue."""
    feeds = proof.open_feeds(9)
    zone = "talisay"
    expected_open = [f for f in feeds if proof.system.zone_of(f.server) != zone]
    proof.require(expected_open, "no feed outside the zone")
    proof.system.kill("balancer-2")
    proof.system.run_cli("drain", expected_open[0].server)
    proof.system.kill(proof.leader())
    proof.set_zone("out", zone)
    proof.system.start_balancer(1)
    time.sleep(3)
    servers = proof.send_requests(40)
    forbidden_servers = [s for s in servers if proof.system.zone_of(s) == zone or s == expected_open[0].server]
    proof.require(not forbidden_servers, f"new requests to {forbidden_servers}")
    broken = [f for f in expected_open if not f.is_healthy()]
    proof.require(not broken, f"{len(broken)} of {len(expected_open)} feeds broke")
    for feed in feeds:
        feed.close()
    return f"{len(expected_open)} of {len(expected_open)} feeds unbroken, 40 of 40 requests served"


PROOFS = [leader_killed, leader_frozen, disk_lost_then_second_controller, all_controllers_restarted, operators_race,
          balancer_frozen, agent_killed, agent_stopped_gracefully, everything_at_once]


def run(step, build, seed, base_port):
    proof = Proof(build, step.__name__.replace("_", "-"), seed, base_port)
    try:
        proof.system.start()
        proof.wait_until_settled()
        return True, step(proof)
    except deployment.DeploymentError as error:
        return False, f"{error}; logs are in {proof.system.folder}"
    finally:
        proof.system.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=31000)
    parser.add_argument("names", nargs="*", help="proofs to run; default: all")
    arguments = parser.parse_args()
    failed = 0
    for step in PROOFS:
        if arguments.names and step.__name__ not in arguments.names:
            continue
        started = time.monotonic()
        passed, result = run(step, arguments.build, arguments.seed, arguments.base_port)
        failed += not passed
        print(f"{'ok    ' if passed else 'FAILED'} {step.__name__} ({time.monotonic() - started:.0f} s): {result}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
