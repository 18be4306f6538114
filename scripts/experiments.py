"""The users' measures over the real binaries: broken flows, imbalance, service while a zone leaves and returns, overload.

Each experiment takes a Context and the deployment's size and returns figures.
"""
import collections
import json
import os
import pathlib
import statistics
import subprocess
import time
import urllib.request

import deployment as d
from figures import Figure

# Filings count double, as their users weigh them.
WEIGHTS = {"filings": 2.0}
# Seed of the arrivals and of the fabric's choices.
SEED = 1
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def figure(name, value, unit, target=None, at_most=True):
    """One measured value with its target, which bounds it from above or, without at_most, from below."""
    bound = {} if target is None else {"at_most": target} if at_most else {"at_least": target}
    return Figure(name, unit, [value], **bound)


class Load:
    """The load tool running beside an experiment."""

    def __init__(self, system, seconds, rates, feeds=0, seed=1, order_share=0.2, timeout_ms=5000):
        self.output = system.folder / "load.jsonl"
        targets = [f"{s.name}={s.address}:{s.port}/{rates[s.name]}/{feeds if i == 0 else 0}"
                   for i, s in enumerate(system.size.services)]
        self.started = time.monotonic()
        self.process = subprocess.Popen(
            [str(system.build / "src" / "bench" / "load"), *targets, "--seconds", str(seconds), "--seed", str(seed),
             "--order-share", str(order_share), "--timeout-ms", str(timeout_ms), "--output", str(self.output)])

    def now(self):
        return time.monotonic() - self.started

    def sleep_until(self, second):
        time.sleep(max(0.0, second - self.now()))

    def records(self):
        """Waits for the load's end and reads what it saw."""
        if self.process.wait():
            raise d.Failed("the load tool failed")
        return [json.loads(line) for line in self.output.read_text().splitlines()]


def answered(records):
    return [r for r in records if r["kind"] in ("read", "order") and r["status"] == 200]


def requests(records):
    return [r for r in records if r["kind"] in ("read", "order")]


def feeds(records):
    return [r for r in records if r["kind"] == "feed"]


def capacity(system, service):
    """Requests a second that the service's backend servers run at most."""
    return sum(s.slots / (s.work_ms / 1000) for s in system.servers if s.service.name == service.name)


def metric_sum(system, prefix, name, label=""):
    """Sum of a counter over the daemons whose name starts with prefix; None if an endpoint does not answer."""
    total = 0.0
    for process in list(system.processes):
        if not process.startswith(prefix):
            continue
        settings = json.loads((system.folder / f"{process}.json").read_text())
        try:
            with urllib.request.urlopen(f"http://{settings['admin']['endpoint']}/metrics", timeout=2) as answer:
                text = answer.read().decode()
        except OSError:
            return None
        for line in text.splitlines():
            if line.startswith(f"clementinesill_{name}") and label in line:
                total += float(line.rsplit(" ", 1)[1])
    return total


def agent_packets(system):
    """Packets that agents delivered and packets that they passed on, so far."""
    return [metric_sum(system, "agent", "agent_packets_total", f'reason="{reason}"') or 0 for reason in ("held", "not_held")]


def deployment(context, size, **options):
    return d.Deployment(context.build, pathlib.Path("var") / f"bench-{size.name}", size, seed=SEED, **options)


def warmed(system, seconds=6.0):
    """Lets the warm-up limits grow under a moderate load before an experiment starts."""
    rates = {s.name: capacity(system, s) * 0.5 for s in system.size.services}
    Load(system, seconds, rates).records()


def broken_flows(context, size):
    """Feeds and orders through a rolling drain of all servers, with a balancer killed and joined at the same time."""
    held, rate = (20, 20) if context.quick else (100, 60)
    system = deployment(context, size)
    service = size.services[0]
    drained = [s for s in system.servers if s.service is service]
    step = 1.5 if context.quick else 3.0
    seconds = 6 + step * len(drained) + 4
    try:
        system.start()
        warmed(system)
        before = agent_packets(system)
        load = Load(system, seconds, {s.name: rate for s in size.services}, feeds=held, seed=SEED)
        load.sleep_until(5)
        balancer = 0
        for number, spec in enumerate(drained):
            system.operate("drain", spec.name)
            if number == len(drained) // 3:
                system.kill(f"balancer-{balancer + 1}")
            if number == 2 * len(drained) // 3:
                system.start_balancer(balancer)
            load.sleep_until(5 + step * (number + 1))
            system.operate("drain", spec.name, "--resume")
        records = load.records()
        delivered, passed_on = (after - earlier for after, earlier in zip(agent_packets(system), before))
    finally:
        system.close()
    held_feeds = feeds(records)
    sent = requests(records)
    broken = [f for f in held_feeds if not f["whole"]]
    failed = [r for r in sent if r["status"] != 200]
    crossed = [r for r in sent if r["status"] == 200 and not r["matched"]]
    figures = [
        figure("feeds broken", len(broken), f"of {len(held_feeds)}", 0),
        figure("requests failed", len(failed), f"of {len(sent)}", 0),
        figure("feeds told to come back first", sum(1 for f in held_feeds if f["refusals"]), f"of {len(held_feeds)}"),
        figure("answers of another request", len(crossed), "", 0),
        figure("longest silence of a feed", max((f["longest_silence"] for f in held_feeds), default=0), "s"),
    ]
    if delivered:
        figures.append(figure("packets passed on for each delivered", passed_on / delivered, ""))
    context.parameters |= {"size": size.name, "feeds": held, "rate": rate, "drained": len(drained), "seconds": seconds}
    return figures


def busy_time(records, begin, end):
    """Concurrent work by server: seconds of work inside the window over its length."""
    work = collections.Counter()
    for record in answered(records):
        overlap = min(record["end"], end) - max(record["start"], begin)
        if overlap > 0:
            work[record["server"]] += overlap / (end - begin)
    return work


def imbalance(context, size):
    """Greatest over mean concurrent work at 70 % load: equal servers, unequal ones, and one that restarted cold."""
    seconds = 12 if context.quick else 30
    context.parameters |= {"size": size.name, "load": 0.7, "seconds": seconds}
    figures = []
    variants = {
        "equal servers": {"*": {"work_ms": 100}},
        "unequal servers": {"*": {"work_ms": 100}, f"{size.services[0].name}-1": {"work_ms": 100, "slots": 10}},
    }
    for variant, options in variants.items():
        system = deployment(context, size, server_options=options)
        try:
            system.start()
            warmed(system)
            rates = {s.name: capacity(system, s) * 0.7 for s in size.services}
            records = Load(system, seconds, rates, seed=SEED).records()
        finally:
            system.close()
        work = busy_time(records, 2, seconds - 1)
        for service in size.services:
            relative = [work[s.name] / s.slots for s in system.servers if s.service is service]
            mean = statistics.mean(relative)
            figures.append(figure(f"{variant}: {service.name} greatest over mean", max(relative) / mean if mean else 0, "", 1.15))
        sent = requests(records)
        figures.append(figure(f"{variant}: requests answered", 100 * len(answered(records)) / max(1, len(sent)), "%", 99.0, at_most=False))
    return figures


def per_second(records, seconds, weight=lambda record: 1.0):
    course = collections.Counter()
    for record in records:
        course[int(record["end"])] += weight(record)
    return [(second, course[second]) for second in range(int(seconds))]


def zone_leaves(context, size):
    """Service while an availability zone is taken out and brought back."""
    out_at, in_at, seconds = (6, 12, 20) if context.quick else (10, 25, 45)
    system = deployment(context, size, server_options={"*": {"work_ms": 50}})
    zone = size.zones[0]
    try:
        system.start()
        warmed(system)
        rates = {s.name: capacity(system, s) * 0.35 for s in size.services}
        load = Load(system, seconds, rates, feeds=10, seed=SEED)
        load.sleep_until(out_at)
        out_sent = load.now()
        system.operate("zone", "out", zone)
        load.sleep_until(in_at)
        in_sent = load.now()
        system.operate("zone", "in", zone)
        records = load.records()
    finally:
        system.close()
    in_zone = lambda record: system.zone_of(record.get("server", "")) == zone
    inside = [r for r in answered(records) if in_zone(r)]
    while_out = [r["start"] for r in inside if out_sent < r["start"] < in_sent]
    last = max(while_out, default=out_sent) - out_sent
    # A request that was open when the zone left may have been in it; later ones may not.
    lost = [r for r in requests(records) if r["status"] != 200 and r["start"] > out_sent + 3]
    lost_during = [r for r in requests(records) if r["status"] != 200 and out_sent - 0.5 < r["start"] <= out_sent + 3]
    back = min((r["start"] for r in inside if r["start"] > in_sent), default=float("inf")) - in_sent
    feeds_lost = [f for f in feeds(records) if not f["whole"] and not in_zone(f)]
    weight = lambda record: WEIGHTS.get(record["service"], 1.0)
    sent_weight = sum(weight(r) for r in requests(records))
    figures = [
        figure("last request into the zone after", last, "s", 3.0),
        figure("requests lost 3 s after the zone left or later", len(lost), f"of {len(requests(records))}", 0),
        figure("requests lost around the moment it left", len(lost_during), ""),
        figure("feeds lost outside the zone", len(feeds_lost), f"of {len(feeds(records))}", 0),
        figure("first answer of the zone after its return", back, "s"),
        figure("weighted share answered", 100 * sum(weight(r) for r in answered(records)) / max(1.0, sent_weight), "%"),
    ]
    context.courses = {"answers a second": per_second(answered(records), seconds),
                       f"answers a second by {zone}": per_second(inside, seconds)}
    context.parameters |= {"size": size.name, "out_at": out_sent, "in_at": in_sent, "zone": zone, "seconds": seconds}
    return figures


def overload(context, size):
    """Goodput at one, two and three times the capacity, and how refusals are told."""
    seconds = 8 if context.quick else 20
    context.parameters |= {"size": size.name, "seconds": seconds}
    figures = []
    for factor in (1, 2, 3):
        system = deployment(context, size, server_options={"*": {"work_ms": 100}})
        try:
            system.start()
            warmed(system)
            rates = {s.name: capacity(system, s) * factor for s in size.services}
            records = Load(system, seconds, rates, seed=SEED, order_share=0).records()
        finally:
            system.close()
        window = seconds - 3
        good = [r for r in answered(records) if 2 <= r["end"] < 2 + window]
        total = sum(capacity(system, s) for s in size.services)
        refused = [r for r in requests(records) if r["status"] == 503]
        other = [r for r in requests(records) if r["status"] not in (200, 503)]
        figures.append(figure(f"{factor} times: goodput of capacity", 100 * len(good) / window / total, "%", 90.0, at_most=False))
        if refused:
            times = sorted(r["end"] - r["start"] for r in refused)
            told = sum(1 for r in refused if r["retry_after"])
            figures.append(figure(f"{factor} times: time to a refusal, p99", times[int(0.99 * (len(times) - 1))], "s"))
            figures.append(figure(f"{factor} times: refusals with Retry-After", 100 * told / len(refused), "%", 100.0, at_most=False))
        figures.append(figure(f"{factor} times: neither answered nor refused", len(other), f"of {len(requests(records))}"))
    return figures


def resident_kilobytes(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def cpu_seconds(process):
    """User and system time the process has used."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def agent_cost(context):
    """Memory and processor time of an agent over its open flows, and of a balancer over the packets it carries."""
    points = (100, 400) if context.quick else (100, 400, 800, 1200)
    size = d.Size("agent-cost", d.TAHANAN.zones, (d.ServiceSpec("feeds", "198.51.100.50", "127.0.3.10", 8080, 2, mode="stream"),))
    context.parameters |= {"agents": 2, "flows": points}
    figures = []
    idle = None
    for flows in (0, *points):
        system = d.Deployment(context.build, pathlib.Path("var") / "bench-agent", size, seed=SEED, server_options={"*": {"connections": 4000}})
        try:
            system.start()
            agents = [system.processes[f"agent-{s.name}"] for s in system.servers]
            load = Load(system, 10 + 0.02 * flows, {"feeds": 0}, feeds=flows) if flows else None
            time.sleep(3 + 0.02 * flows)
            before = [cpu_seconds(a) for a in agents]
            time.sleep(5)
            cores = statistics.mean(cpu_seconds(a) - b for a, b in zip(agents, before)) / 5
            kilobytes = statistics.mean(resident_kilobytes(a) for a in agents)
            whole = sum(1 for f in feeds(load.records()) if f["whole"]) if load else 0
        finally:
            system.close()
        idle = idle if flows else kilobytes
        figures.append(figure(f"{flows // 2} flows an agent: memory", kilobytes, "KB"))
        figures.append(figure(f"{flows // 2} flows an agent: processor", cores, "cores"))
        if flows:
            figures.append(figure(f"{flows // 2} flows an agent: memory a flow", (kilobytes - idle) / (flows / 2), "KB"))
            figures.append(figure(f"{flows // 2} flows an agent: flows whole", 100 * whole / flows, "%", 100.0, at_most=False))
    return figures


def for_size(experiment, size):
    """The experiment over one of the two deployments."""
    return lambda context: experiment(context, size)


EXPERIMENTS = {f"{name}-{size.name}": for_size(experiment, size)
               for size in (d.TAHANAN, d.RUSZTOWANIA)
               for name, experiment in (("broken-flows", broken_flows), ("imbalance", imbalance),
                                        ("zone", zone_leaves), ("overload", overload))}
EXPERIMENTS["agent-cost"] = agent_cost
