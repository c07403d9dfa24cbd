#!/usr/bin/env bash
# Builds medlar-entry as of a commit of this repository's history, from a copy of its tree.
# Usage: scripts/build_older.sh COMMIT FOLDER
# The program is FOLDER/target/medlar-entry.
set -euo pipefail
if [ $# -ne 2 ]; then
    sed -n '2,4s/^# //p' "$0"
    exit 2
fi

commit="$1"
mkdir -p "$2"
folder="$(cd "$2" && pwd)"
jobs="${MEDLAR_BUILD_JOBS:-$(nproc)}"
git -C "$(dirname "$0")" rev-parse --quiet --verify "$commit^{commit}" >/dev/null || {
    echo "$commit names no commit"
    exit 2
}
# archive gives what is below its directory
git -C "$(dirname "$0")/.." archive "$commit" | tar -x -C "$folder"
cmake -G Ninja -S "$folder" -B "$folder/target" -DCMAKE_BUILD_TYPE=Release \
    -DMEDLAR_ENTRY_ONLY=ON >/dev/null
cmake --build "$folder/target" -j "$jobs" --target medlar-entry
echo "$folder/target/medlar-entry"
