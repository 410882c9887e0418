#!/usr/bin/env bash
# Runs loadtool with each placement policy under the same load and prints the tables, which hold the
# measures M1-M4, side by side.
# Usage: MIX=peach|daugava DURATION=30 LOAD=1.3 SEED=1 POLICIES="..." tools/measure.sh
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
base=${BASE_PORT:-21000}
mix=${MIX:-peach}
duration=${DURATION:-30}
load=${LOAD:-1.3}
seed=${SEED:-1}
slots=${SLOTS:-16}
memory=${MEMORY_TOKENS:-12000}
policies=${POLICIES:-estimated least-outstanding round-robin}
hosts=8
case $mix in
  peach) long=tagwriter; desk=storedesk; longs=14; desks=3; domains=3 ;;
  daugava) long=plan; desk=depotdesk; longs=12; desks=4; domains=4 ;;
  *) echo "MIX is peach or daugava" >&2; exit 2 ;;
esac
. "$root/tools/measurement.sh"

servers=''
engines=''
services=''
# Starts one engine and adds it to $engines and $servers. Arguments: number, model, name.
add_engine() {
  start "$bin/standin-engine" --listen="$(address $((100 + $1)))" --model="$2" --name="$3" \
    --slots="$slots" --memory-tokens="$memory" --cache-tokens=4000 --length=tail --seed="$1"
  engines+=${engines:+,}$(address $((100 + $1)))
  servers+=${servers:+,}'{"name":"'$3'","kind":"engine","address":"'$(address $((100 + $1)))'","models":["'$2'"],"slots":'$slots',"memory_tokens":'$memory',"failure_domain":"domain-'$(($1 % domains + 1))'"}'
}

start_fleet() { # Argument: placement policy.
  servers='' engines='' services=''
  start "$bin/standin-platform" --listen="$(address 0)"
  local n
  for n in $(seq "$longs"); do add_engine "$n" "$long" "$long-$n"; done
  for n in $(seq "$desks"); do
    add_engine $((longs + n)) "$desk" "$desk-$n"
    start "$bin/standin-service" --listen="$(address $((150 + n)))" --work-ms=5
    services+=${services:+,}$(address $((150 + n)))
    servers+=',{"name":"calls-'$n'","kind":"service","address":"'$(address $((150 + n)))'","models":["'$desk'-calls"],"slots":64,"failure_domain":"domain-'$((n % domains + 1))'"}'
  done
  await curl -fs "http://$(address 0)/objects"
  put_configuration "$(accounts_json '[{"name":"'$long'"},{"name":"'$desk'"}]' '["'$desk'-calls"]')" "$servers"
  for n in $(seq $hosts); do start_entry "$n" $((n % domains + 1)) --placement="$1"; done
  apply_configuration
  await has_hosts $hosts
  require_running
}

entries=$(address 210),$(address 220),$(address 230)
echo "mix $mix, load $load, $duration s, seed $seed, $longs + $desks engines of $slots slots and $memory tokens, $hosts entry hosts"
echo "$(date -u +%FT%TZ), load average before: $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) cores"
for policy in $policies; do
  start_fleet "$policy"
  timeout $((duration + 25)) "$bin/loadtool" --mix="$mix" --entry="$entries" --engines="$engines" --services="$services" --slots="$slots" \
    --duration-s="$duration" --load="$load" --seed="$seed" --output=json > "$logs/result-$policy.json"
  stop_all
done
echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
python3 - "$logs" $policies << 'EOF'
import json, sys
logs, policies = sys.argv[1], sys.argv[2:]
tables = [json.load(open(f"{logs}/result-{policy}.json")) for policy in policies]
print(f"{'':34}" + "".join(f"{policy:>24}" for policy in policies))
print(f"{'':34}" + f"{'normal':>12}{'slowed':>12}" * len(policies))
for rows in zip(*tables):
    values = "".join(f"{row['normal']:12.3f}{row['slowed']:12.3f}" for row in rows)
    print(f"{rows[0]['name']:34}{values}")
EOF
