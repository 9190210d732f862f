#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: the Python files in review/lib2, which need
# nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib2
