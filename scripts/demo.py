#!/usr/bin/env python3
"""Starts a whole deployment on loopback, sends real requests through it, and checks what must hold.

Exits 0 only if no promise was broken.
"""
import argparse
import collections
import concurrent.futures
import pathlib
import sys
import time

import deployment as d

REQUESTS_PER_SERVICE = 60
FEEDS = 9
PARALLEL_REQUESTS = 6
# Longest time for a drain or a zone's state to be in force.
IN_FORCE_S = 3.0
# Time in which a zone that came back must serve again.
BACK_S = 15.0


class Demo:
    """Runs the steps and keeps what was seen."""

    def __init__(self, system, kill_balancers):
        self.system = system
        self.kill_balancers = kill_balancers
        self.served = collections.Counter()
        self.failed = []
        self.checks = []
        self.feeds = []

    def check(self, name, passed, seen):
        self.checks.append((name, passed, seen))
        print(f"  {'ok    ' if passed else 'BROKEN'} {name}: {seen}", flush=True)

    def step(self, text):
        print(f"\n== {text}", flush=True)

    def send(self, service, count):
        """Sends requests side by side; returns the answers by server."""
        servers = collections.Counter()
        with concurrent.futures.ThreadPoolExecutor(PARALLEL_REQUESTS) as pool:
            for answer in pool.map(lambda number: d.patient_request(service, f"/item/{number}"), range(count)):
                right = answer.status == 200 and self.system.service_of(answer.server) == service.name
                if right:
                    servers[answer.server] += 1
                    self.served[answer.server] += 1
                else:
                    self.failed.append((service.name, answer.status, answer.error or answer.body[:80]))
        return servers

    def open_feeds(self):
        service = self.system.size.services[0]
        self.feeds = [d.Feed(service) for _ in range(FEEDS)]
        self.system.retry("feeds open", self.feeds_started)

    def feeds_started(self):
        if not all(feed.lines for feed in self.feeds):
            raise d.Failed(f"{sum(1 for f in self.feeds if f.lines)} of {FEEDS} feeds have data")

    def check_feeds(self, when, zone_out=None):
        kept = [f for f in self.feeds if self.system.zone_of(f.server) != zone_out]
        broken = [f for f in kept if not f.healthy()]
        self.check(f"feeds {when}", not broken, f"{len(kept) - len(broken)} of {len(kept)} unbroken")

    def requests(self):
        self.step("Requests to both services, and feeds held open")
        self.open_feeds()
        for service in self.system.size.services:
            servers = self.send(service, REQUESTS_PER_SERVICE)
            self.check(f"{service.name} answered", sum(servers.values()) == REQUESTS_PER_SERVICE,
                       f"{sum(servers.values())} of {REQUESTS_PER_SERVICE}, by {len(servers)} servers")

    def drain(self):
        busiest = collections.Counter(f.server for f in self.feeds).most_common(1)[0][0]
        self.step(f"Drain of {busiest}, which holds feeds")
        self.system.operate("drain", busiest)
        time.sleep(IN_FORCE_S)
        servers = self.send(self.system.size.services[0], REQUESTS_PER_SERVICE)
        self.check("drained server gets no new work", servers[busiest] == 0, f"{servers[busiest]} requests")
        self.check_feeds("through the drain")
        self.system.operate("drain", busiest, "--resume")

    def balancers(self):
        for index in range(self.system.balancer_count):
            name = f"balancer-{index + 1}"
            self.step(f"Kill of {name}, then its return")
            self.system.kill(name)
            time.sleep(1)
            self.send(self.system.size.services[0], 20)
            self.check_feeds(f"without {name}")
            self.system.start_balancer(index)
            time.sleep(2)
            self.send(self.system.size.services[0], 20)
            self.check_feeds(f"with {name} back")

    def zone(self):
        zone = self.system.size.zones[0]
        self.step(f"Zone {zone} out, then in")
        self.system.operate("zone", "out", zone)
        time.sleep(IN_FORCE_S)
        for service in self.system.size.services:
            servers = self.send(service, REQUESTS_PER_SERVICE)
            inside = sum(count for name, count in servers.items() if self.system.zone_of(name) == zone)
            self.check(f"{service.name} without the zone", inside == 0 and sum(servers.values()) == REQUESTS_PER_SERVICE,
                       f"{sum(servers.values())} of {REQUESTS_PER_SERVICE} answered, {inside} by the zone")
        self.check_feeds("outside the zone", zone_out=zone)
        self.system.operate("zone", "in", zone)
        started = time.monotonic()
        self.system.retry("the zone serves again", lambda: self.zone_serves(zone), timeout=BACK_S)
        self.check("zone serves again", True, f"after {time.monotonic() - started:.1f} s")
        self.check_feeds("after the zone's return", zone_out=zone)

    def zone_serves(self, zone):
        for service in self.system.size.services:
            servers = self.send(service, 30)
            if not any(self.system.zone_of(name) == zone for name in servers):
                raise d.Failed(f"{service.name} is not served by {zone}")

    def report(self):
        print("\nserver            zone         answered")
        for spec in self.system.servers:
            print(f"{spec.name:<17} {spec.zone:<12} {self.served[spec.name]:>8}")
        by_zone = collections.Counter()
        for name, count in self.served.items():
            by_zone[self.system.zone_of(name)] += count
        print("by zone: " + ", ".join(f"{zone} {by_zone[zone]}" for zone in self.system.size.zones))
        print(f"served {sum(self.served.values())}, failed {len(self.failed)}")
        for service, status, reason in self.failed[:5]:
            print(f"  failed: {service} status {status}: {reason}")
        broken = [name for name, passed, _ in self.checks if not passed]
        print("promises broken: " + (", ".join(broken) if broken else "none"))
        return not broken and not self.failed

    def run(self):
        self.requests()
        self.drain()
        if self.kill_balancers:
            self.balancers()
        self.zone()
        return self.report()


def keep(system):
    service = system.size.services[0]
    print(f"""
The deployment keeps running. Try:
  curl http://{service.address}:{service.port}/hello
  {system.binary('clementinesill')} status --controllers {','.join(system.controllers())}
Press Enter to end it.""")
    sys.stdin.readline()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--annex-b", action="store_true", help="Rusztowania's deployment in place of Tahanan's")
    parser.add_argument("--kill-balancers", action="store_true", help="kill the balancers one at a time during the feeds")
    parser.add_argument("--keep", action="store_true", help="leave the deployment running at the end")
    parser.add_argument("--base-port", type=int, default=30000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    size = d.RUSZTOWANIA if arguments.annex_b else d.TAHANAN
    folder = pathlib.Path("var") / f"demo-{size.name}"
    system = d.Deployment(arguments.build, folder, size, base_port=arguments.base_port, seed=arguments.seed)
    passed = False
    try:
        print(f"Starting {size.name}: logs and settings are in {folder}")
        system.start()
        demo = Demo(system, arguments.kill_balancers)
        passed = demo.run()
        if arguments.keep:
            keep(system)
    except d.Failed as error:
        print(f"demo: {error}; see the logs in {folder}")
    finally:
        system.close()
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
