"""The users' measures over the real binaries: broken flows, imbalance, service while a zone leaves and returns, overload.

Each experiment takes (build, size, quick, seed, folder) and returns a Result.
"""
import collections
import dataclasses
import json
import pathlib
import statistics
import subprocess
import time
import urllib.request

import deployment as d

# Filings count double, as their users weigh them.
WEIGHTS = {"filings": 2.0}


@dataclasses.dataclass
class Figure:
    """One measured value beside its target; at_most says on which side the target lies."""
    name: str
    value: float
    unit: str
    target: float | None = None
    at_most: bool = True

    def met(self):
        if self.target is None:
            return True
        return self.value <= self.target if self.at_most else self.value >= self.target


@dataclasses.dataclass
class Result:
    """What an experiment gave: parameters, figures, and time courses as {name: [(second, value)]}."""
    parameters: dict
    figures: list
    courses: dict = dataclasses.field(default_factory=dict)


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
        settings = json.loads((system.folder / f"{process if prefix == 'balancer' else process}.json").read_text())
        try:
            with urllib.request.urlopen(f"http://{settings['admin']['endpoint']}/metrics", timeout=2) as answer:
                text = answer.read().decode()
        except OSError:
            return None
        for line in text.splitlines():
            if line.startswith(f"clementinesill_{name}") and label in line:
                total += float(line.rsplit(" ", 1)[1])
    return total


def deployment(build, size, folder, seed, **options):
    return d.Deployment(build, pathlib.Path(folder), size, seed=seed, **options)


def warmed(system, seconds=6.0):
    """Lets the warm-up limits grow under a moderate load before an experiment starts."""
    rates = {s.name: capacity(system, s) * 0.5 for s in system.size.services}
    Load(system, seconds, rates).records()


def broken_flows(build, size, quick, seed, folder):
    """Feeds and orders through a rolling drain of all servers, with a balancer killed and joined at the same time."""
    held, rate = (20, 20) if quick else (100, 60)
    system = deployment(build, size, folder, seed)
    service = size.services[0]
    drained = [s for s in system.servers if s.service is service]
    step = 1.5 if quick else 3.0
    seconds = 6 + step * len(drained) + 4
    try:
        system.start()
        load = Load(system, seconds, {s.name: rate for s in size.services}, feeds=held, seed=seed)
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
        delivered = metric_sum(system, "agent", "agent_packets_total", 'reason="held"')
        passed_on = metric_sum(system, "agent", "agent_packets_total", 'reason="not_held"')
    finally:
        system.close()
    held_feeds = feeds(records)
    sent = requests(records)
    broken = [f for f in held_feeds if not f["whole"]]
    failed = [r for r in sent if r["status"] != 200]
    crossed = [r for r in sent if r["status"] == 200 and not r["matched"]]
    figures = [
        Figure("feeds broken", len(broken), f"of {len(held_feeds)}", 0),
        Figure("requests failed", len(failed), f"of {len(sent)}", 0),
        Figure("answers of another request", len(crossed), "", 0),
        Figure("longest silence of a feed", max((f["longest_silence"] for f in held_feeds), default=0), "s"),
    ]
    if delivered:
        figures.append(Figure("packets passed on for each delivered", passed_on / delivered, ""))
    return Result({"feeds": held, "rate": rate, "drained": len(drained), "seconds": seconds}, figures)


def busy_time(records, begin, end):
    """Concurrent work by server: seconds of work inside the window over its length."""
    work = collections.Counter()
    for record in answered(records):
        overlap = min(record["end"], end) - max(record["start"], begin)
        if overlap > 0:
            work[record["server"]] += overlap / (end - begin)
    return work


def imbalance(build, size, quick, seed, folder):
    """Greatest over mean concurrent work at 70 % load: equal servers, unequal ones, and one that restarted cold."""
    seconds = 12 if quick else 30
    result = Result({"load": 0.7, "seconds": seconds}, [])
    variants = {
        "equal servers": {"*": {"work_ms": 100}},
        "unequal servers": {"*": {"work_ms": 100}, f"{size.services[0].name}-1": {"work_ms": 100, "slots": 10}},
    }
    for variant, options in variants.items():
        system = deployment(build, size, folder, seed, server_options=options)
        try:
            system.start()
            warmed(system)
            rates = {s.name: capacity(system, s) * 0.7 for s in size.services}
            records = Load(system, seconds, rates, seed=seed).records()
        finally:
            system.close()
        work = busy_time(records, 2, seconds - 1)
        for service in size.services:
            relative = [work[s.name] / s.slots for s in system.servers if s.service is service]
            mean = statistics.mean(relative)
            result.figures.append(Figure(f"{variant}: {service.name} greatest over mean", max(relative) / mean if mean else 0, "", 1.15))
        sent = requests(records)
        result.figures.append(Figure(f"{variant}: requests answered", 100 * len(answered(records)) / max(1, len(sent)), "%", 99.0, at_most=False))
    return result


def per_second(records, seconds, weight=lambda record: 1.0):
    course = collections.Counter()
    for record in records:
        course[int(record["end"])] += weight(record)
    return [(second, course[second]) for second in range(int(seconds))]


def zone_leaves(build, size, quick, seed, folder):
    """Service while an availability zone is taken out and brought back."""
    out_at, in_at, seconds = (6, 12, 20) if quick else (10, 25, 45)
    system = deployment(build, size, folder, seed, server_options={"*": {"work_ms": 50}})
    zone = size.zones[0]
    try:
        system.start()
        warmed(system)
        rates = {s.name: capacity(system, s) * 0.35 for s in size.services}
        load = Load(system, seconds, rates, feeds=10, seed=seed)
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
        Figure("last request into the zone after", last, "s", 3.0),
        Figure("requests lost 3 s after the zone left or later", len(lost), f"of {len(requests(records))}", 0),
        Figure("requests lost around the moment it left", len(lost_during), ""),
        Figure("feeds lost outside the zone", len(feeds_lost), f"of {len(feeds(records))}", 0),
        Figure("first answer of the zone after its return", back, "s"),
        Figure("weighted share answered", 100 * sum(weight(r) for r in answered(records)) / max(1.0, sent_weight), "%"),
    ]
    courses = {"answers a second": per_second(answered(records), seconds),
               f"answers a second by {zone}": per_second(inside, seconds)}
    return Result({"out_at": out_sent, "in_at": in_sent, "zone": zone, "seconds": seconds}, figures, courses)


def overload(build, size, quick, seed, folder):
    """Goodput at one, two and three times the capacity, and how refusals are told."""
    seconds = 8 if quick else 20
    result = Result({"seconds": seconds}, [])
    for factor in (1, 2, 3):
        system = deployment(build, size, folder, seed, server_options={"*": {"work_ms": 100}})
        try:
            system.start()
            warmed(system)
            rates = {s.name: capacity(system, s) * factor for s in size.services}
            records = Load(system, seconds, rates, seed=seed, order_share=0).records()
        finally:
            system.close()
        window = seconds - 3
        good = [r for r in answered(records) if 2 <= r["end"] < 2 + window]
        total = sum(capacity(system, s) for s in size.services)
        refused = [r for r in requests(records) if r["status"] == 503]
        other = [r for r in requests(records) if r["status"] not in (200, 503)]
        result.figures.append(Figure(f"{factor} times: goodput of capacity", 100 * len(good) / window / total, "%", 90.0, at_most=False))
        if refused:
            times = sorted(r["end"] - r["start"] for r in refused)
            told = sum(1 for r in refused if r["retry_after"])
            result.figures.append(Figure(f"{factor} times: time to a refusal, p99", times[int(0.99 * (len(times) - 1))], "s"))
            result.figures.append(Figure(f"{factor} times: refusals with Retry-After", 100 * told / len(refused), "%", 100.0, at_most=False))
        result.figures.append(Figure(f"{factor} times: neither answered nor refused", len(other), f"of {len(requests(records))}"))
    return result


EXPERIMENTS = {"broken-flows": broken_flows, "imbalance": imbalance, "zone": zone_leaves, "overload": overload}
