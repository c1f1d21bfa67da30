#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
standin="$here/../standin"
[ -x "$here/../../target/pinerun" ] || { echo "build target/pinerun first, as deploy/system.toml says" >&2; exit 2; }
[ -x "$standin" ] || "$here/../build.sh" || exit 2
exec "$standin" -case drain -root "$here/../.." -record "$here/record.txt"
