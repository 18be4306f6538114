"""Experiments on deployments of the real binaries: broken flows, imbalance, a zone taken out and back in, overload, agent cost.

The experiments on whole deployments take a Context and a Topology; all return figures.
"""
import collections
import json
import os
import pathlib
import statistics
import subprocess
import time
import urllib.request

import deployment
from figures import Figure

# Requests to the filings service count twice, as the customer weights them.
WEIGHTS = {"filings": 2.0}
# Seed of the request arrivals and of the fabric's choice of balancers.
SEED = 1
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def figure(name, value, unit, target=None, at_most=True):
    """Creates a figure with one value. The target is an upper bound, or a lower bound if at_most is false."""
    bound = {} if target is None else {"at_most": target} if at_most else {"at_least": target}
    return Figure(name, unit, [value], **bound)


class LoadRun:
    """A run of the load generator alongside an experiment."""

    def __init__(self, system, seconds, rates, feeds=0, seed=1, order_share=0.2, timeout_ms=5000, output="load.jsonl", send_keys=True):
        self.output = system.folder / output
        targets = [f"{s.name}={s.address}:{s.port}/{rates[s.name]}/{feeds if i == 0 else 0}"
                   for i, s in enumerate(system.topology.services)]
        self.started = time.monotonic()
        self.process = subprocess.Popen(
            [str(system.build / "src" / "bench" / "load"), *targets, "--seconds", str(seconds), "--seed", str(seed),
             "--order-share", str(order_share), "--timeout-ms", str(timeout_ms), "--output", str(self.output),
             *([] if send_keys else ["--without-keys"])])

    def now(self):
        return time.monotonic() - self.started

    def sleep_until(self, second):
        time.sleep(max(0.0, second - self.now()))

    def records(self):
        """Waits for the load generator to finish and returns its records."""
        if self.process.wait():
            raise deployment.DeploymentError("the load generator failed")
        return [json.loads(line) for line in self.output.read_text().splitlines()]


def successful(records):
    return [r for r in records if r["kind"] in ("read", "order") and r["status"] == 200]


def sent_requests(records):
    return [r for r in records if r["kind"] in ("read", "order")]


def feeds(records):
    return [r for r in records if r["kind"] == "feed"]


def capacity(system, service):
    """Maximum requests per second of all backend servers of the service."""
    return sum(s.slots / (s.work_ms / 1000) for s in system.servers if s.service.name == service.name)


def metric_sum(system, prefix, name, label=""):
    """Sum of a counter over the daemons whose name starts with prefix; None if an endpoint does not respond."""
    total = 0.0
    for process in list(system.processes):
        if not process.startswith(prefix):
            continue
        settings = json.loads((system.folder / f"{process}.json").read_text())
        try:
            with urllib.request.urlopen(f"http://{settings['admin']['endpoint']}/metrics", timeout=2) as response:
                text = response.read().decode()
        except OSError:
            return None
        for line in text.splitlines():
            if line.startswith(f"clementinesill_{name}") and label in line:
                total += float(line.rsplit(" ", 1)[1])
    return total


def agent_packets(system):
    """Numbers of packets that agents have delivered to their server and forwarded to other agents."""
    return [metric_sum(system, "agent", "agent_packets_total", f'reason="{reason}"') or 0 for reason in ("held", "not_held")]


def make_deployment(context, topology, **options):
    return deployment.Deployment(context.build, pathlib.Path("var") / f"bench-{topology.name}", topology, seed=SEED, **options)


def warm_up(system, seconds=6.0):
    """Applies half the capacity as load, so that the warm-up limits rise before an experiment starts."""
    rates = {s.name: capacity(system, s) * 0.5 for s in system.topology.services}
    LoadRun(system, seconds, rates).records()


def broken_flows(context, topology):
    """Feeds and requests during a rolling drain of all servers of a service, while a balancer is killed and restarted."""
    feed_count, rate = (20, 20) if context.quick else (100, 60)
    system = make_deployment(context, topology)
    service = topology.services[0]
    drained = [s for s in system.servers if s.service is service]
    step = 1.5 if context.quick else 3.0
    seconds = 6 + step * len(drained) + 4
    try:
        system.start()
        warm_up(system)
        before = agent_packets(system)
        load = LoadRun(system, seconds, {s.name: rate for s in topology.services}, feeds=feed_count, seed=SEED)
        load.sleep_until(5)
        balancer = 0
        for number, spec in enumerate(drained):
            system.run_cli("drain", spec.name)
            if number == len(drained) // 3:
                system.kill(f"balancer-{balancer + 1}")
            if number == 2 * len(drained) // 3:
                system.start_balancer(balancer)
            load.sleep_until(5 + step * (number + 1))
            system.run_cli("drain", spec.name, "--resume")
        records = load.records()
        delivered, forwarded = (after - earlier for after, earlier in zip(agent_packets(system), before))
    finally:
        system.close()
    held_feeds = feeds(records)
    sent = sent_requests(records)
    broken = [f for f in held_feeds if not f["whole"]]
    failed = [r for r in sent if r["status"] != 200]
    mismatched = [r for r in sent if r["status"] == 200 and not r["matched"]]
    figures = [
        figure("feeds broken", len(broken), f"of {len(held_feeds)}", 0),
        figure("requests failed", len(failed), f"of {len(sent)}", 0),
        figure("feeds told to come back first", sum(1 for f in held_feeds if f["refusals"]), f"of {len(held_feeds)}"),
        figure("answers of another request", len(mismatched), "", 0),
        figure("longest silence of a feed", max((f["longest_silence"] for f in held_feeds), default=0), "s"),
    ]
    if delivered:
        figures.append(figure("packets passed on for each delivered", forwarded / delivered, ""))
    context.parameters |= {"size": topology.name, "feeds": feed_count, "rate": rate, "drained": len(drained), "seconds": seconds}
    return figures


def concurrent_requests(records, begin, end):
    """Mean number of concurrent requests per server in the window."""
    work = collections.Counter()
    for record in successful(records):
        overlap = min(record["end"], end) - max(record["start"], begin)
        if overlap > 0:
            work[record["server"]] += overlap / (end - begin)
    return work


def imbalance(context, topology):
    """Ratio of highest to mean concurrent requests per slot at 70 % load, with equal and with unequal servers."""
    seconds = 12 if context.quick else 30
    context.parameters |= {"size": topology.name, "load": 0.7, "seconds": seconds}
    figures = []
    variants = {
        "equal servers": {"*": {"work_ms": 100}},
        "unequal servers": {"*": {"work_ms": 100}, f"{topology.services[0].name}-1": {"work_ms": 100, "slots": 10}},
    }
    for variant, options in variants.items():
        system = make_deployment(context, topology, server_options=options)
        try:
            system.start()
            warm_up(system)
            rates = {s.name: capacity(system, s) * 0.7 for s in topology.services}
            records = LoadRun(system, seconds, rates, seed=SEED).records()
        finally:
            system.close()
        work = concurrent_requests(records, 2, seconds - 1)
        for service in topology.services:
            relative = [work[s.name] / s.slots for s in system.servers if s.service is service]
            mean = statistics.mean(relative)
            figures.append(figure(f"{variant}: {service.name} greatest over mean", max(relative) / mean if mean else 0, "", 1.15))
        sent = sent_requests(records)
        figures.append(figure(f"{variant}: requests answered", 100 * len(successful(records)) / max(1, len(sent)), "%", 99.0, at_most=False))
    return figures


def per_second(records, seconds, weight=lambda record: 1.0):
    counts = collections.Counter()
    for record in records:
        counts[int(record["end"])] += weight(record)
    return [(second, counts[second]) for second in range(int(seconds))]


def zone_out_and_in(context, topology):
    """Requests and feeds while an availability zone is taken out and back in."""
    out_at, in_at, seconds = (6, 12, 20) if context.quick else (10, 25, 45)
    system = make_deployment(context, topology, server_options={"*": {"work_ms": 50}})
    zone = topology.zones[0]
    try:
        system.start()
        warm_up(system)
        rates = {s.name: capacity(system, s) * 0.35 for s in topology.services}
        load = LoadRun(system, seconds, rates, feeds=10, seed=SEED)
        load.sleep_until(out_at)
        out_sent = load.now()
        system.run_cli("zone", "out", zone)
        load.sleep_until(in_at)
        in_sent = load.now()
        system.run_cli("zone", "in", zone)
        records = load.records()
    finally:
        system.close()
    in_zone = lambda record: system.zone_of(record.get("server", "")) == zone
    in_zone_records = [r for r in successful(records) if in_zone(r)]
    while_out = [r["start"] for r in in_zone_records if out_sent < r["start"] < in_sent]
    last_in_zone = max(while_out, default=out_sent) - out_sent
    # Requests in flight when the zone was taken out may have been served by it, so only later losses have a target.
    lost = [r for r in sent_requests(records) if r["status"] != 200 and r["start"] > out_sent + 3]
    lost_during = [r for r in sent_requests(records) if r["status"] != 200 and out_sent - 0.5 < r["start"] <= out_sent + 3]
    first_return = min((r["start"] for r in in_zone_records if r["start"] > in_sent), default=float("inf")) - in_sent
    feeds_lost = [f for f in feeds(records) if not f["whole"] and not in_zone(f)]
    weight = lambda record: WEIGHTS.get(record["service"], 1.0)
    sent_weight = sum(weight(r) for r in sent_requests(records))
    figures = [
        figure("last request into the zone after", last_in_zone, "s", 3.0),
        figure("requests lost 3 s after the zone left or later", len(lost), f"of {len(sent_requests(records))}", 0),
        figure("requests lost around the moment it left", len(lost_during), ""),
        figure("feeds lost outside the zone", len(feeds_lost), f"of {len(feeds(records))}", 0),
        figure("first answer of the zone after its return", first_return, "s"),
        figure("weighted share answered", 100 * sum(weight(r) for r in successful(records)) / max(1.0, sent_weight), "%"),
    ]
    context.time_series = {"answers a second": per_second(successful(records), seconds),
                           f"answers a second by {zone}": per_second(in_zone_records, seconds)}
    context.parameters |= {"size": topology.name, "out_at": out_sent, "in_at": in_sent, "zone": zone, "seconds": seconds}
    return figures


def overload(context, topology):
    """Goodput at one, two and three times the capacity, and latency and headers of rejections."""
    seconds = 8 if context.quick else 20
    context.parameters |= {"size": topology.name, "seconds": seconds}
    figures = []
    for factor in (1, 2, 3):
        system = make_deployment(context, topology, server_options={"*": {"work_ms": 100}})
        try:
            system.start()
            warm_up(system)
            rates = {s.name: capacity(system, s) * factor for s in topology.services}
            records = LoadRun(system, seconds, rates, seed=SEED, order_share=0).records()
        finally:
            system.close()
        window = seconds - 3
        good = [r for r in successful(records) if 2 <= r["end"] < 2 + window]
        total = sum(capacity(system, s) for s in topology.services)
        rejected = [r for r in sent_requests(records) if r["status"] == 503]
        other = [r for r in sent_requests(records) if r["status"] not in (200, 503)]
        figures.append(figure(f"{factor} times: goodput of capacity", 100 * len(good) / window / total, "%", 90.0, at_most=False))
        if rejected:
            times = sorted(r["end"] - r["start"] for r in rejected)
            with_retry_after = sum(1 for r in rejected if r["retry_after"])
            figures.append(figure(f"{factor} times: time to a refusal, p99", times[int(0.99 * (len(times) - 1))], "s"))
            figures.append(figure(f"{factor} times: refusals with Retry-After", 100 * with_retry_after / len(rejected), "%", 100.0, at_most=False))
        figures.append(figure(f"{factor} times: neither answered nor refused", len(other), f"of {len(sent_requests(records))}"))
    return figures


def resident_kilobytes(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def cpu_seconds(process):
    """User and system time of the process."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def agent_cost(context):
    """Memory and processor time of an agent at several numbers of open flows."""
    flow_counts = (100, 400) if context.quick else (100, 400, 800, 1200)
    topology = deployment.Topology("agent-cost", deployment.TAHANAN.zones, (deployment.ServiceSpec("feeds", "198.51.100.50", "127.0.3.10", 8080, 2, mode="stream"),))
    context.parameters |= {"agents": 2, "flows": flow_counts}
    figures = []
    idle_kilobytes = None
    for flows in (0, *flow_counts):
        system = deployment.Deployment(context.build, pathlib.Path("var") / "bench-agent", topology, seed=SEED, server_options={"*": {"connections": 4000}})
        try:
            system.start()
            agents = [system.processes[f"agent-{s.name}"] for s in system.servers]
            load = LoadRun(system, 10 + 0.02 * flows, {"feeds": 0}, feeds=flows) if flows else None
            time.sleep(3 + 0.02 * flows)
            before = [cpu_seconds(agent) for agent in agents]
            time.sleep(5)
            cores = statistics.mean(cpu_seconds(agent) - earlier for agent, earlier in zip(agents, before)) / 5
            kilobytes = statistics.mean(resident_kilobytes(agent) for agent in agents)
            whole = sum(1 for f in feeds(load.records()) if f["whole"]) if load else 0
        finally:
            system.close()
        idle_kilobytes = idle_kilobytes if flows else kilobytes
        figures.append(figure(f"{flows // 2} flows an agent: memory", kilobytes, "KB"))
        figures.append(figure(f"{flows // 2} flows an agent: processor", cores, "cores"))
        if flows:
            figures.append(figure(f"{flows // 2} flows an agent: memory a flow", (kilobytes - idle_kilobytes) / (flows / 2), "KB"))
            figures.append(figure(f"{flows // 2} flows an agent: flows whole", 100 * whole / flows, "%", 100.0, at_most=False))
    return figures


def for_topology(experiment, topology):
    """Binds the experiment to one topology."""
    return lambda context: experiment(context, topology)


EXPERIMENTS = {f"{name}-{topology.name}": for_topology(experiment, topology)
               for topology in (deployment.TAHANAN, deployment.RUSZTOWANIA)
               for name, experiment in (("broken-flows", broken_flows), ("imbalance", imbalance),
                                        ("zone", zone_out_and_in), ("overload", overload))}
EXPERIMENTS["agent-cost"] = agent_cost
