#!/usr/bin/env python3
"""Runs the measurements, writes their figures as JSON and prints them with their targets.

An experiment is a function in EXPERIMENTS that takes a Context and returns Figures.
Results go to results/NAME-COMMIT.json; --compare prints the ratios of two results.
"""
import argparse
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile

import experiments
from figures import Context, Figure

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS = ROOT / "results"


def run_json(command):
    """Runs a program that takes the name of its JSON output file as last argument; returns the parsed output."""
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "report.json"
        subprocess.run([str(part) for part in command] + [str(file)], check=True, stdout=subprocess.DEVNULL,
                       stderr=subprocess.DEVNULL, timeout=600)
        return json.loads(file.read_text())


def run_google_benchmark(context, name):
    """Runs a Google Benchmark program; returns its processor times and its counter bytes_a_flow."""
    repetitions = 3 if context.quick else 7
    seconds = 0.02 if context.quick else 0.1
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "report.json"
        subprocess.run([context.program(name), f"--benchmark_repetitions={repetitions}", f"--benchmark_min_time={seconds}",
                        "--benchmark_out_format=json", f"--benchmark_out={file}"], check=True,
                       stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, timeout=600)
        runs = json.loads(file.read_text())["benchmarks"]
    context.parameters.update(repetitions=repetitions, min_time_s=seconds)
    figures = {}
    for run in runs:
        if run["run_type"] != "iteration":
            continue
        figures.setdefault(run["name"], Figure(run["name"], run["time_unit"], [])).values.append(run["cpu_time"])
        if "bytes_a_flow" in run:
            figures.setdefault("bytes_a_flow", Figure("bytes_a_flow", "bytes", [], at_most=64)).values.append(run["bytes_a_flow"])
    return list(figures.values())


def run_report(context, command, prefix=""):
    """Runs a benchmark program that writes a BenchReport; returns its figures."""
    report = run_json(command)
    context.parameters.update({prefix + name: value for name, value in report["parameters"].items()})
    return [Figure(prefix + figure["name"], figure["unit"], figure["values"]) for figure in report["figures"]]


def forward(context):
    return run_google_benchmark(context, "bench_forward")


def relay(context):
    figures = []
    repetitions = 3 if context.quick else 7
    for servers in (7, 64, 1024):
        command = [context.program("bench_relay"), "--servers", servers, "--repetitions", repetitions, "--json"]
        figures += run_report(context, command, f"{servers}_servers/")
    for figure in figures:
        if figure.unit == "ratio":
            figure.at_least = 0.7
    return figures


def table(context):
    command = [context.program("bench_table"), "--repetitions", 3 if context.quick else 7, "--json"]
    return run_report(context, command)


def rank(context):
    return run_report(context, [context.program("bench_rank"), "--repetitions", 1 if context.quick else 3, "--json"])


EXPERIMENTS = {
    "forward": forward,
    "rank": rank,
    "relay": relay,
    "table": table,
    **experiments.EXPERIMENTS,
}


def draw_time_series(time_series, file):
    """Draws time series as an SVG file, unless there are none."""
    if not time_series:
        return
    script = [f'set terminal svg size 900,360; set output "{file}"; set xlabel "seconds"; set yrange [0:*]']
    script.append("plot " + ", ".join(f"'-' with lines title '{name}'" for name in time_series))
    for points in time_series.values():
        script += [f"{second} {value}" for second, value in points] + ["e"]
    subprocess.run(["gnuplot"], input="\n".join(script), text=True, check=True)


def commit_label():
    """Returns the short commit id, with the suffix "-changed" if the work tree differs from it."""
    head = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=True)
    changed = subprocess.run(["git", "status", "--porcelain", "-uno"], cwd=ROOT, capture_output=True, text=True, check=True)
    return head.stdout.strip() + ("-changed" if changed.stdout.strip() else "")


def format_target(figure):
    bounds = []
    if figure.at_least is not None:
        bounds.append(f">= {figure.at_least:g}")
    if figure.at_most is not None:
        bounds.append(f"<= {figure.at_most:g}")
    return " ".join(bounds)


def print_table(rows):
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip())


def run_experiment(name, arguments):
    """Runs one experiment and writes its result; returns the number of figures that missed their target."""
    context = Context(arguments.build.resolve(), arguments.quick, os.environ.get("RC_PARAMS", ""))
    figures = EXPERIMENTS[name](context)
    result = {"name": name, "commit": commit_label(), "seed": context.seed, "quick": context.quick,
              "parameters": context.parameters,
              "figures": [dataclasses.asdict(figure) | {"median": figure.median, "met": figure.meets_target} for figure in figures]}
    RESULTS.mkdir(exist_ok=True)
    file = RESULTS / f"{name}-{result['commit']}.json"
    file.write_text(json.dumps(result, indent=2) + "\n")
    draw_time_series(context.time_series, file.with_suffix(".svg"))
    rows = [("figure", "median", "least", "greatest", "unit", "target", "")]
    for figure in figures:
        rows.append((figure.name, f"{figure.median:.4g}", f"{min(figure.values):.4g}", f"{max(figure.values):.4g}",
                     figure.unit, format_target(figure), "MISSED" if figure.meets_target is False else ""))
    print(f"{name}, commit {result['commit']}, {context.seed}{', quick' if context.quick else ''}")
    print_table(rows)
    print(f"written to {file.relative_to(ROOT)}\n")
    return sum(figure.meets_target is False for figure in figures)


def load_results(label):
    """Loads the results of a file or of a commit, by experiment."""
    path = pathlib.Path(label)
    files = [path] if path.is_file() else sorted(RESULTS.glob(f"*-{label}.json"))
    if not files:
        sys.exit(f"bench: no results of '{label}'; give a file, or a commit that ./run bench has measured")
    results = [json.loads(file.read_text()) for file in files]
    return {result["name"]: result for result in results}


def compare(first, second):
    """Prints the ratios of the second result's figures to the first's, with the lowest and highest ratio of repetitions."""
    before, after = load_results(first), load_results(second)
    shared = [name for name in before if name in after]
    if not shared:
        sys.exit(f"bench: '{first}' and '{second}' have no experiment in common; run the same one at both")
    rows = [("figure", "unit", first, second, "ratio", "least", "greatest")]
    for name in shared:
        old = {figure["name"]: figure for figure in before[name]["figures"]}
        for figure in after[name]["figures"]:
            base = old.get(figure["name"])
            if not base or not base["median"] or not min(base["values"]):
                continue
            rows.append((f"{name}/{figure['name']}", figure["unit"], f"{base['median']:.4g}", f"{figure['median']:.4g}",
                         f"{figure['median'] / base['median']:.3f}",
                         f"{min(figure['values']) / max(base['values']):.3f}",
                         f"{max(figure['values']) / min(base['values']):.3f}"))
    print_table(rows)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--quick", action="store_true", help="fewer and shorter repetitions")
    parser.add_argument("--compare", nargs=2, metavar=("A", "B"), help="two result files, or two commits that were measured")
    parser.add_argument("name", nargs="?", choices=sorted(EXPERIMENTS), help="experiment to run; default: all")
    arguments = parser.parse_args()
    if arguments.compare:
        compare(*arguments.compare)
        return 0
    names = [arguments.name] if arguments.name else list(EXPERIMENTS)
    missed = sum(run_experiment(name, arguments) for name in names)
    print(f"{missed} figure(s) missed their target" if missed else "every figure with a target met it")
    return 0


if __name__ == "__main__":
    sys.exit(main())
