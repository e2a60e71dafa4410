#!/usr/bin/env bash
# Builds the stand-ins, which all cases share, and the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
flags="-std=c++20 -O1 -Wall -Wextra"
for source in review/1/standins/*.cpp; do
    g++ $flags -c "$source" -o "target/review/$(basename "$source" .cpp).o" &
done
wait
for source in review/[1-5]/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ $flags "$source" target/review/*.o -o "target/review/case-$number"
done
