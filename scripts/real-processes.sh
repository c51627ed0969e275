#!/usr/bin/env bash
# Runs real daemons as separate processes on loopback for long: killed, paused
# with SIGSTOP and restarted, and judged by the simulator's oracle.
# Usage: scripts/real-processes.sh [ROUNDS] [DAEMONS] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-60}
daemons=${2:-9}
seed=${3:-1}
go test ./internal/lab/processes -count=1 -v -timeout 60m -run TestRealProcesses \
  -processes.rounds="$rounds" -processes.daemons="$daemons" -processes.seed="$seed"
