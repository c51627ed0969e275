#!/usr/bin/env bash
# Runs the scale experiment at several sizes, one process after the other, and
# writes the tables and plots of docs/CAPACITY.md. Takes about 20 minutes; each
# run is bounded in time and memory. Sizes may be given: DAEMONS="50 100 200".
set -euo pipefail
cd "$(dirname "$0")/.."
lab=$(mktemp -d)/springstack-lab
trap 'rm -rf "$(dirname "$lab")"' EXIT
go build -o "$lab" ./cmd/springstack-lab
for daemons in ${DAEMONS:-50 100 200 400 1000}; do
  timeout 600 "$lab" experiment scale --daemons "$daemons" --services 190 --seed 1 --record "scale-$daemons-190"
done
for services in ${SERVICES:-50 100 400}; do
  timeout 600 "$lab" experiment scale --daemons 100 --services "$services" --seed 1 --record "scale-100-$services"
done
"$lab" capacity
