#!/usr/bin/env bash
# Builds what the scripts start beside the deploy file's program: the stand-ins, which are Python and need no library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "Python 3.8 or newer is needed" >&2; exit 2; }
for source in standins/lab.py */case.py; do
  python3 - "$source" <<'PY'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
PY
done
