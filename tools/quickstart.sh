#!/usr/bin/env bash
# Builds the system, starts stand-ins and two entry hosts on loopback, streams one generation and sends
# a non-idempotent call twice.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
[ "${SKIP_INSTALL:-}" = 1 ] || "$root/tools/install-packages.sh"
"$root/tools/build.sh" "$root/build"
bin=$root/build/bin
base=${BASE_PORT:-18500}
logs=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2> /dev/null || true; wait 2> /dev/null || true; rm -rf "$logs"' EXIT

start() { ${WRAP:-} "$@" > "$logs/$(basename "$1")-${#pids[@]}.log" 2>&1 & pids+=($!); }
address() { echo "127.0.0.1:$((base + $1))"; }
# Repeats a command until it succeeds, for at most 100 attempts 0.1 s apart (about 10 s).
await() {
  for _ in $(seq 100); do "$@" > /dev/null 2>&1 && return 0; sleep 0.1; done
  echo "timed out waiting for: $*" >&2; cat "$logs"/*.log >&2; return 1
}

start "$bin/standin-platform" --listen="$(address 0)"
start "$bin/standin-engine" --listen="$(address 1)" --model=plan --name=plan-1
start "$bin/standin-service" --listen="$(address 2)"
await curl -fs "http://$(address 0)/objects"

key_digest=$(printf '%s' demo-key | sha256sum | cut -d' ' -f1)
export SASSAFRASYARD_POSITION_SECRET=0123456789abcdef SASSAFRASYARD_OPERATOR_TOKEN=0123456789abcdef
for n in 1 2; do
  start "$bin/sassafrasyardd" --host="entry-$n" --failure-domain=domain-$n --region=local \
    --caller-address="$(address $((n * 10)))" --peer-address="$(address $((n * 10 + 1)))" \
    --admin-address="$(address $((n * 10 + 2)))" --platform-address="$(address 0)"
done
ctl() { "$bin/sassafrasyardctl" --admin-address="$(address 12)" "$@"; }
await ctl status
ctl apply --author=quickstart --file=- << JSON
[{"document": "model/plan", "versions": ["v1"]},
 {"document": "template/store",
  "parameters": {"keys": {"type": "strings"}, "rate": {"type": "number", "default": 0}},
  "account": {"key_digests": {"parameter": "keys"}, "models": [{"name": "plan"}],
              "services": ["stock"], "requests_per_second": {"parameter": "rate"}}},
 {"document": "account/demo", "template": "store", "parameters": {"keys": ["$key_digest"]}},
 {"document": "server/plan-1", "kind": "engine", "address": "$(address 1)", "models": ["plan"]},
 {"document": "server/stock-1", "kind": "service", "address": "$(address 2)", "service": "stock"}]
JSON
two_hosts() { [ "$(curl -fs -H 'Authorization: Bearer demo-key' "http://$(address 10)/v1/addresses" | grep -o '"host"' | wc -l)" = 2 ]; }
await two_hosts
both_run_it() { [ "$(ctl status --output=json | grep -c '"lagging": false')" = 2 ]; }
await both_run_it
echo "Entry hosts and the configuration revision that each one has applied:"
ctl status
echo "Addresses that callers may use:"
curl -fs -H 'Authorization: Bearer demo-key' "http://$(address 10)/v1/addresses"; echo
echo "A streamed generation:"
curl -fsN -H 'Authorization: Bearer demo-key' "http://$(address 10)/v1/completions" \
  -d '{"model":"plan","prompt":"Plan for the east levee","max_tokens":8,"seed":7,"stream":true}'
echo "A non-idempotent call, sent twice with the same idempotency key:"
binding=$(curl -fs -H 'Authorization: Bearer demo-key' "http://$(address 10)/v1/addresses" | sed 's/.*"incarnation":"\([^"]*\)".*/\1/')
for _ in 1 2; do
  curl -fs -H 'Authorization: Bearer demo-key' -H 'Idempotency-Key: order-1' \
    -H "Sassafrasyard-Incarnation: $binding" "http://$(address 20)/v1/services/stock/orders" -d '{"bags":40}'; echo
done
