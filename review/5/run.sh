#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/system.toml and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
[ -f "$here/../../target/sardinepostd.jar" ] && [ -d "$here/../target" ] || exit 2
exec java -Xmx256m -cp "$here/../target" review.RemovedTogether "$here"
