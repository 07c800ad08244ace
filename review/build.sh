#!/usr/bin/env bash
# The stand-ins of the cases are Python programs (3.11, standard library only), so nothing is compiled. Checks that
# they can be loaded and that the gateway has been built by the line `build` of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for file in pathlib.Path(".").rglob("*.py"):
    ast.parse(file.read_text(encoding="utf-8"), str(file))
PY
[ -x ../target/masticcourse-gateway ] || { echo "target/masticcourse-gateway is missing" >&2; exit 1; }
echo "stand-ins are ready"
