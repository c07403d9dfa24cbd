#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those given.
# Usage: scripts/check_lint.sh [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."

directory="${MEDLAR_BUILD_DIR:-build}"
jobs="${MEDLAR_BUILD_JOBS:-$(nproc)}"
cmake -G Ninja -S . -B "$directory" >/dev/null
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'test/*.cpp')
fi
printf '%s\n' "${files[@]}" |
    xargs -P "$jobs" -n 1 clang-tidy -p "$directory" --quiet 2> >(grep -v 'warnings generated' >&2)
