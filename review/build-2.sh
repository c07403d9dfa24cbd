#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
options=(-std=c++17 -O1 -Wall -Wextra -Werror -Ireview -pthread)
support=()
for source in review/support-2/*.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    g++ "${options[@]}" -c "$source" -o "$object"
    support+=("$object")
done
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number="$(basename "$(dirname "$source")")"
    g++ "${options[@]}" "$source" "${support[@]}" -o "$out/case-$number"
done
