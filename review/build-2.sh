#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy
# file. The stand-ins are Python modules that need no build, so this only checks that
# they can be read. It writes nothing.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - review/common-2/*.py review/[0-9]*/case.py tests/process/pool/cell.py \
    tests/process/pool/proxy.py tests/process/pool/standins.py tests/process/pool/web.py <<'P'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
P
