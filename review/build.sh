#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/. They are Python programs without dependencies, so this only checks that the
# interpreter is recent enough and that each file compiles.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
