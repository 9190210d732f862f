#!/bin/sh
# The stand-ins are Python files that need the standard library only; check that they compile.
cd "$(dirname "$0")/.." && exec python3 -c "
import pathlib
for path in pathlib.Path('review').rglob('*.py'):
    compile(path.read_text(), str(path), 'exec')
"
