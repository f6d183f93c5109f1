#!/usr/bin/env bash
# The stand-ins are in Python and use its standard library only; checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common/*.py [1-9]/*.py <<'CHECK'
import ast
import sys

assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
