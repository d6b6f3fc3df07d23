#!/bin/sh
# Builds what the cases 6 to 10 start besides the build of deploy/balancer.toml. Their stand-ins are Python and
# need only its standard library, so this checks that there is one and that they compile.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - review/lib-2/*.py review/*/case.py review/7/clients.py <<'PYTHON'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
