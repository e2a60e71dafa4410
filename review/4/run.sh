#!/usr/bin/env bash
# Runs case 4 and writes record.txt beside this file. With TROUBLE=0, leaves out
# the change of the weights.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review/case-4 target/platform/radishspread-platform; do
    [ -x "$program" ] || exit 2
done
TROUBLE=${TROUBLE:-1} exec target/review/case-4 review/4
