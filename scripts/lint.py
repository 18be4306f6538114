#!/usr/bin/env python3
"""Runs clang-tidy on the given files in parallel and caches clean results.

A file is checked again if the file, a header that it includes from this repository, the clang-tidy version, .clang-tidy or
the compile command has changed.
"""
import argparse
import concurrent.futures
import hashlib
import json
import pathlib
import re
import subprocess
import sys

INCLUDE = re.compile(r'^\s*#include\s+"([^"]+)"', re.M)


TOOL_VERSION = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=False).stdout


def included_files(path, root, seen):
    """Adds path and all repository headers that it includes, directly or indirectly, to seen."""
    if path in seen or not path.exists():
        return
    seen.add(path)
    for name in INCLUDE.findall(path.read_text()):
        for candidate in (path.parent / name, root / name, root / "src" / name, root / "src/framework" / name,
                          root / "src/framework/schema/generated" / name):
            if candidate.exists():
                included_files(candidate.resolve(), root, seen)
                break


def fingerprint(path, root, command):
    files = set()
    included_files(path, root, files)
    digest = hashlib.sha256((root / ".clang-tidy").read_bytes() + TOOL_VERSION + command.encode())
    for name in sorted(files):
        digest.update(str(name.relative_to(root)).encode() + name.read_bytes())
    return digest.hexdigest()


def lint(path, build):
    return subprocess.run(["clang-tidy", "-p", str(build), "--quiet", str(path)],
                          capture_output=True, text=True, check=False)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, type=pathlib.Path)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("files", nargs="+", type=pathlib.Path)
    arguments = parser.parse_args()
    root = pathlib.Path(__file__).resolve().parent.parent
    build = arguments.build.resolve()
    commands = {entry["file"]: entry["command"].replace(str(root), "")
                for entry in json.loads((build / "compile_commands.json").read_text())}
    cache = pathlib.Path(subprocess.run(["ccache", "-k", "cache_dir"], capture_output=True, text=True,
                                        check=False).stdout.strip() or build) / "clang-tidy"
    cache.mkdir(parents=True, exist_ok=True)
    pending = {}
    for name in arguments.files:
        path = name.resolve()
        if str(path) not in commands:
            continue
        marker = cache / fingerprint(path, root, commands[str(path)])
        if not marker.exists():
            pending[path] = marker
    failed = False
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        runs = {pool.submit(lint, path, build): path for path in pending}
        for run in concurrent.futures.as_completed(runs):
            result = run.result()
            if result.returncode == 0:
                pending[runs[run]].touch()
                continue
            failed = True
            print(result.stdout + result.stderr)
    print(f"lint: {len(pending)} of {len(arguments.files)} files checked, {'failed' if failed else 'clean'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
