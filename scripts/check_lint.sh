#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those given. A file that was clean is not
# checked again until something changes that its verdict depends on, see lint_keys.py.
# Usage: scripts/check_lint.sh [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."

export MEDLAR_LINT_BUILD="${MEDLAR_BUILD_DIR:-build}"
export MEDLAR_LINT_CACHE="${MEDLAR_LINT_CACHE:-$HOME/.cache/medlar-lint}"
jobs="${MEDLAR_BUILD_JOBS:-$(nproc)}"
cmake -G Ninja -S . -B "$MEDLAR_LINT_BUILD" >/dev/null
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'test/*.cpp')
fi
mkdir -p "$MEDLAR_LINT_CACHE"

# Lints one file, and records that it is clean under its key; "-" is no key.
lint_file()
{
    local key="$1" file="$2"
    [ "$key" != - ] && [ -e "$MEDLAR_LINT_CACHE/$key" ] && return 0
    clang-tidy -p "$MEDLAR_LINT_BUILD" --quiet "$file" || return 1
    [ "$key" = - ] || touch "$MEDLAR_LINT_CACHE/$key"
}
export -f lint_file

scripts/lint_keys.py "$MEDLAR_LINT_BUILD" "${files[@]}" |
    xargs -P "$jobs" -L 1 bash -c 'lint_file "$0" "$1"' 2> >(grep -v 'warnings generated' >&2)
