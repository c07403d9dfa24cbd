#!/usr/bin/env bash
# Fails if a source file is not formatted as .clang-format says.
set -euo pipefail
cd "$(dirname "$0")/.."

git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror
