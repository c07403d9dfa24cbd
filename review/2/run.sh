#!/usr/bin/env bash
# Runs case 2; see claim.txt. TROUBLE=0 runs it without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/medlar-entry ] && [ -x build-review/case-2 ] || exit 2
exec build-review/case-2
