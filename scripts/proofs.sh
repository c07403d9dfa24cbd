#!/usr/bin/env bash
# Runs the tests that docs/PROOFS.md names and tells for each row whether it holds. Closes with
# "proofs: N hold, N do not, N not proved" and fails if any does not hold.
set -uo pipefail
cd "$(dirname "$0")/.."

directory="${MEDLAR_BUILD_DIR:-build}"
results="$(mktemp)"
trap 'rm -f "$results"' EXIT

"$directory/system_test" >>"$results" 2>&1
"$directory/model_test" >>"$results" 2>&1
"$directory/entry_test" >>"$results" 2>&1
"$directory/decisions_test" >>"$results" 2>&1

hold=0
do_not=0
not_proved=0
while IFS='|' read -r _ promise failure proof _; do
    test="$(grep -oE '`[a-z_]+::[a-z_0-9]+`' <<<"$proof" | tr -d '`' | head -1)"
    if [ -z "$test" ]; then
        not_proved=$((not_proved + 1))
        echo "not proved:  $promise: $failure"
    elif awk -v test="$test" '
        index($0, "::" test) { seen = 1; if (/: (assertion|error)/) bad = 1 }
        index($0, "Test name:") && index($0, "::" test) { bad = 1 }
        END { exit !(seen && !bad) }' "$results"; then
        hold=$((hold + 1))
        echo "holds:       $promise: $failure"
    else
        do_not=$((do_not + 1))
        echo "DOES NOT:    $promise: $failure ($test)"
    fi
done < <(grep -E '^\| ' docs/PROOFS.md | grep -vE '^\| (promise|---)')

echo "proofs: $hold hold, $do_not do not, $not_proved not proved"
[ "$do_not" -eq 0 ]
