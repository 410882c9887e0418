#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file:
# the stand-ins of review/standins-2 and the cases, which are Python without any package.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or newer")
for path in ([*pathlib.Path("standins-2").glob("*.py"), *(pathlib.Path(str(number)) / "case.py" for number in range(6, 11))]):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)
PYTHON
