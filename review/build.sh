#!/usr/bin/env bash
# Builds what the scripts start beside the program: the stand-ins are Python of the standard library
# alone, so there is nothing to compile; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [1-5]/case.py <<'CHECK'
import ast
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in sys.argv[1:]:
    with open(name) as file:
        ast.parse(file.read(), name)
CHECK
chmod +x [1-5]/run.sh
