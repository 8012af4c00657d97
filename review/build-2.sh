#!/usr/bin/env bash
# Builds what the scripts of review 2 start beside the deploy file's program: the stand-ins are
# Python programs on the standard library alone, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/standins-2/*.py review/*/case.py <<'END'
import sys

assert sys.version_info >= (3, 9), "python3 of version 3.9 or later is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print("checked", name)
END
