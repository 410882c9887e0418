#!/usr/bin/env bash
# Measures the latency that one entry host adds to streams: the same load is sent directly to one
# engine, then through the host. The engine adds timestamps to the token text, which the host relays
# unchanged. All processes read the same steady clock.
# Usage: DURATION=20 STREAMS=1320 tools/measure-relay.sh
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
base=${BASE_PORT:-22000}
duration=${DURATION:-20}
streams=${STREAMS:-1320}
interval=${INTERVAL_MS:-31}
phases=${PHASES:-16}
threads=${IO_THREADS:-}
seed=${SEED:-1}
. "$root/tools/measurement.sh"

engine=$(address 101)
start_engine() {
  start "$bin/standin-engine" --listen="$engine" --model=plan --name=plan-1 --slots=4000 \
    --memory-tokens=8000000 --interval-ms="$interval" --stamp=true --phases="$phases" --retain-ms=2000
  engine_pid=${pids[-1]}
}
measure() { # Arguments: name of the result, additional flags of loadtool.
  local name=$1
  shift
  timeout $((duration + 15)) "$bin/loadtool" --mix=relay --entry="$(address 210)" --engines="$engine" --streams="$streams" \
    --duration-s="$duration" --seed="$seed" --threads=2 --output=json "$@" > "$logs/result-$name.json"
}

echo "$streams streams, one step per $interval ms in $phases groups, entry io-threads ${threads:-default}, $duration s each, seed $seed"
echo "$(date -u +%FT%TZ), load average before: $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) cores"
start_engine
await curl -fs "http://$engine/v1/load"
require_running
measure direct --direct=true --watch-pid="$engine_pid"
stop_all

start "$bin/standin-platform" --listen="$(address 0)"
start_engine
await curl -fs "http://$(address 0)/objects"
put_configuration "$(accounts_json '[{"name":"plan"}]' '[]')" \
  '{"name":"plan-1","kind":"engine","address":"'"$engine"'","models":["plan"],"slots":4000,"memory_tokens":8000000,"failure_domain":"domain-1"}'
start_entry 1 1 ${threads:+--io-threads="$threads"}
entry_pid=${pids[-1]}
apply_configuration
await has_hosts 1
require_running
measure relayed --watch-pid="$entry_pid"
stop_all
echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
python3 - "$logs" << 'EOF'
import json, sys
direct, relayed = (json.load(open(f"{sys.argv[1]}/result-{name}.json")) for name in ("direct", "relayed"))
print(f"{'':44}{'direct':>12}{'relayed':>12}{'added':>12}")
for left, right in zip(direct, relayed):
    added = f"{right['normal'] - left['normal']:12.3f}" if left["name"].endswith(", ms") else ""
    print(f"{left['name']:44}{left['normal']:12.3f}{right['normal']:12.3f}{added}")
print("Processor figures: the engine in the column direct, the entry host in the column relayed.")
EOF
