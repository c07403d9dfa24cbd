#!/usr/bin/env bash
# Builds everything with warnings as errors.
# Usage: scripts/build.sh [DIRECTORY [SANITIZER]]
set -euo pipefail
cd "$(dirname "$0")/.."

directory="${1:-build}"
sanitizer="${2:-}"
jobs="${MEDLAR_BUILD_JOBS:-$(nproc)}"
cmake -G Ninja -S . -B "$directory" -DMEDLAR_SANITIZE="$sanitizer" >/dev/null
cmake --build "$directory" -j "$jobs" ${MEDLAR_BUILD_TARGETS:+--target $MEDLAR_BUILD_TARGETS}
