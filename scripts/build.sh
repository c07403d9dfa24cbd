#!/usr/bin/env bash
# Builds everything with warnings as errors.
# Usage: scripts/build.sh [DIRECTORY [SANITIZER]]
set -euo pipefail
cd "$(dirname "$0")/.."

directory="${1:-build}"
sanitizer="${2:-}"
jobs="${MEDLAR_BUILD_JOBS:-$(nproc)}"
# paths relative to the tree, so that all checkouts share what ccache holds
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=true
options=(-DMEDLAR_SANITIZE="$sanitizer")
if [ -n "$sanitizer" ]; then
    # sanitizers need line numbers only, and are slow to build and to run without -O1
    options+=(-DCMAKE_BUILD_TYPE=Debug "-DCMAKE_CXX_FLAGS_DEBUG=-O1 -g1")
fi
cmake -G Ninja -S . -B "$directory" "${options[@]}" >/dev/null
cmake --build "$directory" -j "$jobs" ${MEDLAR_BUILD_TARGETS:+--target $MEDLAR_BUILD_TARGETS}
