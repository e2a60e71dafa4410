#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O2 -Wall -Wextra -o "target/review-2/$name" "$source"
done
