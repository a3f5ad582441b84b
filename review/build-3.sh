#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
objects=()
pids=()
for source in review/standins3/*.cpp; do
    object=target/review-3/$(basename "$source" .cpp).o
    objects+=("$object")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
"${CXX:-g++}" "${objects[@]}" -o target/review-3/review-case -pthread
