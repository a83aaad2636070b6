#!/bin/sh
# The stand-ins are Python scripts (standard library only) and need no build; this checks that they compile and that the
# deploy file's build has left its program.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib, sys
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
sys.exit(0 if pathlib.Path("../target/release/runloom").exists() else "run the deploy file's build first")
CHECK
