#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
command -v python3 >/dev/null || exit 2
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 review/7/case.py
