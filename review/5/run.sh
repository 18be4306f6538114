#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption; run_case()
# in ../standins/deployment.py reads it and passes it to the case.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")"
exec python3 case.py
