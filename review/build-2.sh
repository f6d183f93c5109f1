#!/usr/bin/env bash
# Prepares the stand-ins of the second review. They are Python scripts that use the
# standard library only, so this only checks that the interpreter takes them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for script in [Path("standins-2/harness.py"), *sorted(Path().glob("[6-9]/case.py")), *Path().glob("10/case.py")]:
    ast.parse(script.read_text(encoding="utf-8"), str(script))
PYTHON
