#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 it does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fescueslip ] && [ -x target/review-7 ] || exit 2
timeout -k 5 110 target/review-7 target/fescueslip review/7/record.txt
code=$?
[ $code -eq 0 ] || [ $code -eq 1 ] || exit 2
exit $code
