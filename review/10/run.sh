#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
program=target/review-2/case-$number
[ -x "$program" ] && [ -x target/worksshift-router ] || { echo "not built: review/build-2.sh"; exit 2; }
timeout -k 5 110 "$program" "$folder/record.txt"
status=$?
[ $status -le 2 ] && exit $status
exit 2
