#!/usr/bin/env bash
# Builds the drivers of the cases, with their stand-ins, into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -S review -B build-review >/dev/null
cmake --build build-review
