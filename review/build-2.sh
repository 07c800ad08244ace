#!/usr/bin/env bash
# The stand-ins of review/4 to review/8 are Python programs of review/kit-2; there is nothing to compile. Checks that
# they and the gateway of the deploy file are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import ast
import pathlib
import sys

sys.dont_write_bytecode = True
for path in sorted(pathlib.Path("review").glob("kit-2/*.py")) + sorted(pathlib.Path("review").glob("[4-8]/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
EOF
test -x target/masticcourse-gateway
