#!/usr/bin/env bash
# Runs a small mesh on loopback: the platform stand-in, eight daemons in two
# regions of four zones, and emulated back ends beside four of them. Settings,
# tokens, logs and binaries are written into a temporary folder.
#
# usage: scripts/local-mesh.sh [SECONDS]
#
# The mesh ends after SECONDS (default 1800), or at Ctrl-C; only processes that
# this script started are ended. Environment: BASE_PORT (default 18000) moves
# all ports, MESH_DIRECTORY names the folder to use.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-1800}
base=${BASE_PORT:-18000}
directory=${MESH_DIRECTORY:-$(mktemp -d)}
mkdir -p "$directory"
chmod 700 "$directory"
pids=()

stop_all() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  echo "stopped; logs are in $directory"
}
trap stop_all EXIT
trap 'exit 0' INT TERM

# start NAME COMMAND... runs a process with its log and pid in the folder.
start() {
  local name=$1
  shift
  "$@" >"$directory/$name.log" 2>&1 &
  pids+=("$!")
  echo "$!" >"$directory/$name.pid"
}

# make_token PARTNER writes the partner's token and the client's settings.
make_token() {
  local partner=$1
  head -c 32 /dev/urandom | sha256sum | cut -d' ' -f1 | tr -d '\n' >"$directory/$partner.token"
  {
    echo "servers:"
    for index in 1 2 3 4 5 6 7 8; do echo "  - http://127.0.0.1:$((base + 300 + index))"; done
    echo "token_file: $directory/$partner.token"
  } >"$directory/$partner.yaml"
}

digest_of() { sha256sum <"$directory/$1.token" | cut -d' ' -f1; }

# write_settings INDEX NAME REGION ZONE [PARTNER SERVICE BACKEND]
write_settings() {
  local index=$1 name=$2 region=$3 zone=$4
  cat >"$directory/$name.yaml" <<SETTINGS
node: {id: $name, region: $region, zone: $zone}
listen:
  callers: 127.0.0.1:$((base + 100 + index))
  gate: 127.0.0.1:$((base + 80 + index))
  control: 127.0.0.1:$((base + 200 + index))
  operators: 127.0.0.1:$((base + 300 + index))
  admin: 127.0.0.1:$((base + 400 + index))
mesh:
  seeds: [127.0.0.1:$((base + 201)), 127.0.0.1:$((base + 203)), 127.0.0.1:$((base + 205))]
  partners: [kameeldoring, adomako]
platform: {url: "http://127.0.0.1:$base"}
operators:
  tokens:
    - {partner: kameeldoring, sha256: "$(digest_of kameeldoring)"}
    - {partner: adomako, sha256: "$(digest_of adomako)"}
SETTINGS
  if [ $# -gt 4 ]; then
    echo "backend: {partner: $5, service: $6, name: $7, address: 127.0.0.1:$((base + 500 + index)), slots: 6}" \
      >>"$directory/$name.yaml"
    start "$7" "$directory/springstack-lab" backend --name "$7" --listen "127.0.0.1:$((base + 500 + index))" --seed "$index"
  fi
  start "$name" "$directory/springstackd" run --settings "$directory/$name.yaml"
  printf '%-12s %-9s %-13s callers %-16s operators http://127.0.0.1:%s admin http://127.0.0.1:%s pid %s\n' \
    "$name" "$region" "$zone" "127.0.0.1:$((base + 100 + index))" "$((base + 300 + index))" "$((base + 400 + index))" "${pids[-1]}"
}

echo "building into $directory"
go build -o "$directory" ./cmd/...
# The examples' back ends are at ports 18081 to 18084; the emulated ones answer
# probes at paths of their own.
for file in examples/*.yaml; do
  sed -e "s#127\.0\.0\.1:180\(8[0-9]\)#127.0.0.1:$((base / 1000))0\1#; s#/healthz#/-/health#; s#: /load#: /-/load#" \
    "$file" >"$directory/example-$(basename "$file")"
done
make_token kameeldoring
make_token adomako

start platform "$directory/springstack-lab" platform --listen "127.0.0.1:$base"
write_settings 1 klein-1 windhoek klein-hall kameeldoring renewals renewals-1
write_settings 2 eros-1 windhoek eros-hall kameeldoring roast-schedule roast-schedule-1
write_settings 3 tema-1 accra tema-hall adomako clock-ins clock-ins-1
write_settings 4 osu-1 accra osu-hall adomako scans scans-1
write_settings 5 olympia-1 windhoek olympia-hall
write_settings 6 ludwigs-1 windhoek ludwigs-hall
write_settings 7 kaneshie-1 accra kaneshie-hall
write_settings 8 spintex-1 accra spintex-hall

cat <<HELP

As an operator (the token files are $directory/PARTNER.token):
  export PATH=$directory:\$PATH
  springstack --settings $directory/kameeldoring.yaml submit $directory/example-kameeldoring-services.yaml
  springstack --settings $directory/kameeldoring.yaml submit --wait $directory/example-kameeldoring-routes.yaml
  springstack --settings $directory/adomako.yaml submit --wait $directory/example-adomako.yaml
  springstack --settings $directory/kameeldoring.yaml status
As a caller:
  curl -i http://127.0.0.1:$((base + 107))/roast/schedule
Start a daemon again that you ended:
  springstackd run --settings $directory/klein-1.yaml
An outage of the platform, and its end:
  curl -X PUT -H 'Content-Type: application/json' -d '{"outage":"refusing"}' http://127.0.0.1:$base/lab/faults
  curl -X PUT -H 'Content-Type: application/json' -d '{}' http://127.0.0.1:$base/lab/faults

The mesh ends in $seconds s, or at Ctrl-C.
HELP
sleep "$seconds" &
pids+=("$!")
wait "$!" || true
