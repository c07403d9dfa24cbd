#!/usr/bin/env bash
# Measures the system with real processes and stand-ins on this machine.
# Usage: scripts/bench.sh policy [OPTION...]    the policies against the baselines
#        scripts/bench.sh slopes [SECONDS]      what the exchange costs by hosts and claims
#        scripts/bench.sh path                  what a gateway adds to direct calls
#        scripts/bench.sh decisions             what decisions cost by targets and organisations
#        scripts/bench.sh control [SECONDS]     what control costs each process when idle
set -euo pipefail
cd "$(dirname "$0")/.."

case "${1:-}" in
    policy)
        shift
        exec python3 test/bench/policy_bench.py "$@"
        ;;
    slopes)
        shift
        # the log of the exchanges is not part of the result
        exec "${MEDLAR_BUILD_DIR:-build}/exchange-slopes" "$@" 2>/dev/null
        ;;
    path)
        exec scripts/bench_path.sh
        ;;
    decisions)
        exec "${MEDLAR_BUILD_DIR:-build}/decision-slopes"
        ;;
    control)
        shift
        exec scripts/bench_control.sh "$@"
        ;;
    *)
        sed -n '2,7p' "$0" >&2
        exit 2
        ;;
esac
