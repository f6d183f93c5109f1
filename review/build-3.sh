#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are Python without further packages and
# need no build; the router is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, glob, sys
assert sys.version_info >= (3, 8), "the stand-ins need Python 3.8 or later"
for path in ["standins-3/standins.py", *sorted(glob.glob("1[1-5]/case.py"))]:
    with open(path) as f:
        ast.parse(f.read(), path)
PY
