#!/usr/bin/env bash
# Checks what the scripts of the second review need: the programs of the deploy file's build, and Python 3.11 with its standard
# library. Their stand-ins (review/standins-2) are Python sources and are only compiled here, as a check.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/src/app/clementinesilld ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 - review/standins-2/*.py review/[6-9]/*.py review/10/*.py <<'PYTHON'
import os, sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in filter(os.path.exists, sys.argv[1:]):
    compile(open(path).read(), path, "exec")
PYTHON
echo "the stand-ins are ready"
