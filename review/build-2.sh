#!/usr/bin/env bash
# Builds the cases 6 to 10 that are scripts, with their stand-ins, into
# target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -Ireview/7/standins "$source" \
        -o "target/review-2/case-$number"
done
