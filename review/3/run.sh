#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/bin/runner" ] && [ -x "$here/../bin/3" ] || { echo "not built"; exit 2; }
exec "$here/../bin/3" "$root" "$here"
