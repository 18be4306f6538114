#!/usr/bin/env bash
# Builds what the scripts of this review start besides the build of the deploy file. The stand-ins are Python programs that need no
# build: this checks that they can be compiled and that the daemon is there.
set -eu
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
for source in review/lib3/*.py review/1[1-5]/*.py; do
    [ -f "$source" ] || continue
    PYTHONPYCACHEPREFIX="$scratch" python3 -m py_compile "$source"
done
[ -x target/src/app/clementinesilld ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
