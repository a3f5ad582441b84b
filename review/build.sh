#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -pthread -o target/review/standin review/*.cpp
