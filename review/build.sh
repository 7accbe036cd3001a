#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the cases, in build-review.
set -eu
cd "$(dirname "$0")/.."
out=build-review
mkdir -p "$out"
flags="-std=c++20 -O1 -g -Wall -Wextra"
for source in review/standins/*.cpp; do
  # shellcheck disable=SC2086
  g++ $flags -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for scenario in review/*/scenario.cpp; do
  case=$(basename "$(dirname "$scenario")")
  # shellcheck disable=SC2086
  g++ $flags "$scenario" "$out"/*.o -o "$out/case-$case" &
done
wait
for scenario in review/*/scenario.cpp; do
  test -x "$out/case-$(basename "$(dirname "$scenario")")"
done
