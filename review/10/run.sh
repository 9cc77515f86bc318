#!/usr/bin/env bash
# Plays case 10. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. It needs the build of the deploy file and review/build-2.sh.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
[ -x "$root/bin/runner" ] && [ -x "$root/review/second/bin/second" ] || { echo "not built"; exit 2; }
ROOT=$root exec "$root/review/second/bin/second" 10
