#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start, into target/review-2/.
# Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/script.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -I review/kit-2 -o "target/review-2/case-$number" "$source" &
done
failed=0
for job in $(jobs -p); do wait "$job" || failed=1; done
exit $failed
