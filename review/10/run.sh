#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout --signal=INT --kill-after=3 116 python3 case.py
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
