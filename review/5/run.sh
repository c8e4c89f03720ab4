#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/5 ] || exit 2
exec timeout -k 2 110 target/review/5 review/5
