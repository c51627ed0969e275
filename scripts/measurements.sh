#!/usr/bin/env bash
# Runs the experiments on the path of a request one after the other, keeps
# their figures in out/ and draws the plots of docs/MEASUREMENTS.md from them.
# Takes about eight minutes. Rounds are added by hand:
#   springstack-lab report --round TITLE --cause ... --change ... --before RECORD --after RECORD
set -uo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
mkdir -p out
go build -o out/springstack-lab ./cmd/springstack-lab || exit 1
failed=0
measure() {
  local record=$1
  shift
  if ! out/springstack-lab experiment "$@" --seed "$seed" --output json --record "$record" | tail -1; then
    echo "event=measurement_failed record=$record" >&2
    failed=1
  fi
}
measure request-path-windhoek request-path --deployment windhoek --depth
measure request-path-accra request-path --deployment accra --depth
for baseline in none round-robin no-queue-bound unbudgeted-retries; do
  measure "overload-$baseline" overload --baseline "$baseline"
done
measure rolling-restart rolling-restart
measure faults-windhoek faults --deployment windhoek
measure faults-accra faults --deployment accra
out/springstack-lab report || failed=1
exit "$failed"
