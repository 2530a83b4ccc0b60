#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")" || exit 2
python=python3
[ -x /usr/bin/python3 ] && python=/usr/bin/python3
command -v "$python" >/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 2 118 "$python" case.py
