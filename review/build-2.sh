#!/bin/sh
# Builds every stand-in that the cases 6 to 9 start: they are Python modules, compiled by the .venv of the
# deploy file's build. The cases start no stand-in of the project's own. Needs no network.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
python="$here/../.venv/bin/python"
[ -x "$python" ] || { echo "no .venv: run the build of deploy/balancer.toml first" >&2; exit 2; }
exec "$python" -m compileall -q "$here/stand_ins_2" "$here/6" "$here/7" "$here/8" "$here/9"
