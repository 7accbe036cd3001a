#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 it runs without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
case=$(basename "$folder")
[ -x "build-review/case-$case" ] || exit 2
exec "build-review/case-$case" "review/$case" "${TROUBLE:-1}"
