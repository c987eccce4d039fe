#!/bin/sh
# Builds the stand-ins of the review's scripts into build/review/. Needs no more than the compiler
# that the build of the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview "$source" -o "build/review/case-$number"
done
