#!/bin/sh
# The stand-ins of the second review's scripts are Python (standard library only; the
# build itself needs python3 for meson). Nothing is compiled: the script checks that they
# can be read by the interpreter that is here.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
for path in [pathlib.Path("fleet2.py"), *sorted(pathlib.Path(".").glob("[4-8]/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
import tomllib  # Python 3.11
PY
