#!/bin/sh
# Plays the case "frozen". Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run;
# TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/review-standin ] || exit 2
[ -x target/release/verbenaturn-platform ] || exit 2
target/review/review-standin case frozen review/3
code=$?
# A stand-in that fails by itself says nothing about the rule.
[ "$code" -le 2 ] || exit 2
exit "$code"
