#!/usr/bin/env bash
# Writes docs/EVENTS.md from the event headers: number, name, severity and the one-line
# doc comment of each event.
set -euo pipefail
cd "$(dirname "$0")/.."

{
    echo "# Log events"
    echo
    echo "Each line of a program's log is one event: time, severity, program,"
    echo "\`event=NUMBER name=NAME\`, then named fields. Numbers are never given a new meaning."
    echo "This page is written by \`scripts/write_event_catalogue.sh\`; a test compares it with"
    echo "the code."
    echo
    echo "| number | name | severity | meaning |"
    echo "| --- | --- | --- | --- |"
    cat include/medlar/detail/log/*_events.hpp | tr '\n' ' ' | sed 's/  */ /g' |
        grep -oE '/// [^{}]*inline constexpr event [a-z0-9_]+ ?\{ ?[0-9]+, severity::[a-z]+, "[a-z0-9_]+"' |
        sed -E 's#^.*/// (@brief )?([^/]*(/[^/][^/]*)*) inline constexpr event [a-z0-9_]+ ?\{ ?([0-9]+), severity::([a-z]+), "([a-z0-9_]+)"$#| \4 | \6 | \5 | \2 |#' |
        sort -t'|' -k2 -n
} >docs/EVENTS.md
