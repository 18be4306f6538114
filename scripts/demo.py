#!/usr/bin/env python3
"""Starts a deployment on loopback, sends requests through it, and checks how it behaves during drains and failures.

Exits with 0 only if every check passed.
"""
import argparse
import collections
import concurrent.futures
import pathlib
import sys
import time

import deployment

REQUESTS_PER_SERVICE = 60
FEEDS = 9
PARALLEL_REQUESTS = 6
# Upper bound for the time until a drain or a zone's state takes effect.
TAKES_EFFECT_S = 3.0
# A zone that is taken back in must serve requests within this time.
ZONE_RETURN_TIMEOUT_S = 15.0


class Demo:
    """Runs the steps and collects their results."""

    def __init__(self, system, kill_balancers):
        self.system = system
        self.kill_balancers = kill_balancers
        self.served = collections.Counter()
        self.failed = []
        self.checks = []
        self.feeds = []

    def check(self, name, passed, result):
        self.checks.append((name, passed, result))
        print(f"  {'ok    ' if passed else 'FAILED'} {name}: {result}", flush=True)

    def print_step(self, text):
        print(f"\n== {text}", flush=True)

    def send_requests(self, service, count):
        """Sends requests in parallel; returns the number of successful responses per server."""
        servers = collections.Counter()
        with concurrent.futures.ThreadPoolExecutor(PARALLEL_REQUESTS) as pool:
            for response in pool.map(lambda number: deployment.request_with_retries(service, f"/item/{number}"), range(count)):
                succeeded = response.status == 200 and self.system.service_of(response.server) == service.name
                if succeeded:
                    servers[response.server] += 1
                    self.served[response.server] += 1
                else:
                    self.failed.append((service.name, response.status, response.error or response.body[:80]))
        return servers

    def open_feeds(self):
        service = self.system.topology.services[0]
        self.feeds = [deployment.Feed(service) for _ in range(FEEDS)]
        self.system.retry("feeds open", self.require_feeds_started)

    def require_feeds_started(self):
        if not all(feed.lines for feed in self.feeds):
            raise deployment.DeploymentError(f"{sum(1 for f in self.feeds if f.lines)} of {FEEDS} feeds have data")

    def check_feeds(self, when, zone_out=None):
        expected_open = [f for f in self.feeds if self.system.zone_of(f.server) != zone_out]
        broken = [f for f in expected_open if not f.is_healthy()]
        self.check(f"feeds {when}", not broken, f"{len(expected_open) - len(broken)} of {len(expected_open)} unbroken")

    def check_requests(self):
        self.print_step("Requests to both services, with open feeds")
        self.open_feeds()
        for service in self.system.topology.services:
            servers = self.send_requests(service, REQUESTS_PER_SERVICE)
            self.check(f"{service.name} serves requests", sum(servers.values()) == REQUESTS_PER_SERVICE,
                       f"{sum(servers.values())} of {REQUESTS_PER_SERVICE}, by {len(servers)} servers")

    def check_drain(self):
        busiest = collections.Counter(f.server for f in self.feeds).most_common(1)[0][0]
        self.print_step(f"Drain of {busiest}, which has open feeds")
        self.system.run_cli("drain", busiest)
        time.sleep(TAKES_EFFECT_S)
        servers = self.send_requests(self.system.topology.services[0], REQUESTS_PER_SERVICE)
        self.check("drained server gets no new requests", servers[busiest] == 0, f"{servers[busiest]} requests")
        self.check_feeds("during the drain")
        self.system.run_cli("drain", busiest, "--resume")

    def check_balancer_kills(self):
        for index in range(self.system.balancer_count):
            name = f"balancer-{index + 1}"
            self.print_step(f"Kill and restart of {name}")
            self.system.kill(name)
            time.sleep(1)
            self.send_requests(self.system.topology.services[0], 20)
            self.check_feeds(f"without {name}")
            self.system.start_balancer(index)
            time.sleep(2)
            self.send_requests(self.system.topology.services[0], 20)
            self.check_feeds(f"after the restart of {name}")

    def check_zone_out(self):
        zone = self.system.topology.zones[0]
        self.print_step(f"Zone {zone} out, then in")
        self.system.run_cli("zone", "out", zone)
        time.sleep(TAKES_EFFECT_S)
        for service in self.system.topology.services:
            servers = self.send_requests(service, REQUESTS_PER_SERVICE)
            served_by_zone = sum(count for name, count in servers.items() if self.system.zone_of(name) == zone)
            self.check(f"{service.name} without the zone", served_by_zone == 0 and sum(servers.values()) == REQUESTS_PER_SERVICE,
                       f"{sum(servers.values())} of {REQUESTS_PER_SERVICE} served, {served_by_zone} of them by the zone")
        self.check_feeds("outside the zone", zone_out=zone)
        self.system.run_cli("zone", "in", zone)
        started = time.monotonic()
        self.system.retry("zone serves again", lambda: self.require_zone_serving(zone), timeout=ZONE_RETURN_TIMEOUT_S)
        self.check("zone serves again", True, f"after {time.monotonic() - started:.1f} s")
        self.check_feeds("after the zone is back in", zone_out=zone)

    def require_zone_serving(self, zone):
        for service in self.system.topology.services:
            servers = self.send_requests(service, 30)
            if not any(self.system.zone_of(name) == zone for name in servers):
                raise deployment.DeploymentError(f"{service.name} is not served by {zone}")

    def report(self):
        print("\nserver            zone         requests")
        for spec in self.system.servers:
            print(f"{spec.name:<17} {spec.zone:<12} {self.served[spec.name]:>8}")
        by_zone = collections.Counter()
        for name, count in self.served.items():
            by_zone[self.system.zone_of(name)] += count
        print("by zone: " + ", ".join(f"{zone} {by_zone[zone]}" for zone in self.system.topology.zones))
        print(f"served {sum(self.served.values())}, failed {len(self.failed)}")
        for service, status, reason in self.failed[:5]:
            print(f"  failed: {service} status {status}: {reason}")
        broken = [name for name, passed, _ in self.checks if not passed]
        print("failed checks: " + (", ".join(broken) if broken else "none"))
        return not broken and not self.failed

    def run(self):
        self.check_requests()
        self.check_drain()
        if self.kill_balancers:
            self.check_balancer_kills()
        self.check_zone_out()
        return self.report()


def wait_for_enter(system):
    service = system.topology.services[0]
    print(f"""
The deployment keeps running. Try:
  curl http://{service.address}:{service.port}/hello
  {system.binary('clementinesill')} status --controllers {','.join(system.controllers())}
Press Enter to stop it.""")
    sys.stdin.readline()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--annex-b", action="store_true", help="run Rusztowania's deployment instead of Tahanan's")
    parser.add_argument("--kill-balancers", action="store_true", help="kill the balancers one at a time while feeds are open")
    parser.add_argument("--keep", action="store_true", help="leave the deployment running at the end")
    parser.add_argument("--base-port", type=int, default=30000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    topology = deployment.RUSZTOWANIA if arguments.annex_b else deployment.TAHANAN
    folder = pathlib.Path("var") / f"demo-{topology.name}"
    system = deployment.Deployment(arguments.build, folder, topology, base_port=arguments.base_port, seed=arguments.seed)
    passed = False
    try:
        print(f"Starting {topology.name}: logs and settings are in {folder}")
        system.start()
        demo = Demo(system, arguments.kill_balancers)
        passed = demo.run()
        if arguments.keep:
            wait_for_enter(system)
    except deployment.DeploymentError as error:
        print(f"demo: {error}; logs are in {folder}")
    finally:
        system.close()
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
