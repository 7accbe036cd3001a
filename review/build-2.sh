#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 6 to 10 into review/target.
set -eu
cd "$(dirname "$0")"
cmake -S standins-2 -B target -DCMAKE_BUILD_TYPE=Release
cmake --build target -j6
