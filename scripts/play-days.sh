#!/usr/bin/env bash
# Plays the days of deploy/days on deployments with the users' bench, a few at a
# time, and prints a table of them. Reports are kept in a temporary folder.
#
# usage: scripts/play-days.sh BENCH WHY SITE... [-- DAY...]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
why=$2
shift 2
sites=()
while [ $# -gt 0 ] && [ "$1" != "--" ]; do
  sites+=("$1")
  shift
done
[ $# -gt 0 ] && shift
days=("$@")
[ ${#days[@]} -gt 0 ] || days=(deploy/days/*.toml)
out=${DAYS_OUT:-$(mktemp -d)}
mkdir -p "$out"
export bench why out
play() {
  local site=$1 day=$2 name
  name="$(basename "$site" .toml)-$(basename "$day" .toml)"
  "$bench" run "$site" "$day" --why "$why" --report "$out/$name.json" >"$out/$name.txt" 2>&1 || true
}
export -f play
for site in "${sites[@]}"; do
  printf '%s\0' "${days[@]}" | xargs -0 -P "${JOBS:-4}" -I{} bash -c 'play "$0" "$1"' "$site" {}
done
go run ./scripts/daytable "$out"
