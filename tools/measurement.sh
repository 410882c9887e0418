# Functions that the measurement scripts share; sourced, not run.
# Needs: root, base (first port). Starts processes on loopback and ends only those.
bin=$root/build/bin
logs=$(mktemp -d)
pids=()

stop_all() {
  [ ${#pids[@]} -eq 0 ] || { kill "${pids[@]}" 2> /dev/null || true; }
  # A daemon drains on SIGTERM until its streams have ended; a measurement does not wait for that.
  for pid in "${pids[@]}"; do
    for _ in $(seq 20); do kill -0 "$pid" 2> /dev/null || break; sleep 0.05; done
    kill -9 "$pid" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  pids=()
}
trap 'stop_all; [ -n "${KEEP_LOGS:-}" ] && cp -r "$logs" "$KEEP_LOGS"; rm -rf "$logs"' EXIT

start() { "$@" > "$logs/$(basename "$1")-${#pids[@]}.log" 2>&1 & pids+=($!); }
address() { echo "127.0.0.1:$((base + $1))"; }
# Asks until the command succeeds; gives up after 15 s.
await() {
  for _ in $(seq 150); do "$@" > /dev/null 2>&1 && return 0; sleep 0.1; done
  echo "gave up waiting for: $*" >&2; tail -n 3 "$logs"/*.log >&2; return 1
}

# Prints the accounts as JSON. Arguments: the models, the services, as JSON lists.
accounts_json() {
  local weights=(6 4 3 1 1 1 1 1 1 1) separator='' n digest
  for n in "${!weights[@]}"; do
    digest=$(printf 'key-%d' "$n" | sha256sum | cut -d' ' -f1)
    printf '%s{"name":"account-%d","weight":%d,"key_digests":["%s"],"models":%s,"services":%s}' \
      "$separator" "$n" "${weights[$n]}" "$digest" "$1" "$2"
    separator=,
  done
}

# Fails if a started process has ended, for example because its port is taken.
require_running() {
  local pid
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2> /dev/null || { echo "a process ended at its start:" >&2; tail -n 2 "$logs"/*.log >&2; return 1; }
  done
}

# Keeps the configuration for apply_configuration. Arguments: accounts, servers, as JSON lists
# without brackets.
put_configuration() {
  printf '{"accounts":[%s],"servers":[%s]}' "$1" "$2" > "$logs/configuration.json"
}

# Has the first entry host accept the configuration; it must be listening.
apply_configuration() {
  python3 - "$logs/configuration.json" > "$logs/documents.json" << 'EOF'
import json, sys
given = json.load(open(sys.argv[1]))
documents, models = [], set()
for account in given["accounts"]:
    name = account.pop("name")
    models.update(model["name"] for model in account["models"])
    documents.append({"document": f"template/{name}", "account": account})
    documents.append({"document": f"account/{name}", "template": name})
for server in given["servers"]:
    server["document"] = f"server/{server.pop('name')}"
    if server["kind"] == "service":
        server["service"] = server.pop("models")[0]
    else:
        models.update(server["models"])
    documents.append(server)
documents += [{"document": f"model/{model}", "versions": ["v1"]} for model in sorted(models)]
print(json.dumps(documents))
EOF
  ctl() { "$bin/sassafrasyardctl" --admin-address="$(address 212)" "$@"; }
  await ctl status
  ctl apply --author=measurement --file="$logs/documents.json" > /dev/null
}

export SASSAFRASYARD_POSITION_SECRET=0123456789abcdef SASSAFRASYARD_OPERATOR_TOKEN=0123456789abcdef
# Starts entry host N in failure domain D. Arguments: N, D, further flags.
start_entry() {
  local n=$1 domain=$2
  shift 2
  start "$bin/sassafrasyardd" --host="entry-$n" --failure-domain="domain-$domain" --region=local \
    --caller-address="$(address $((200 + n * 10)))" --peer-address="$(address $((201 + n * 10)))" \
    --admin-address="$(address $((202 + n * 10)))" --platform-address="$(address 0)" \
    --log-level=warning "$@"
}

host_count() { curl -fs -H 'Authorization: Bearer key-0' "http://$(address 210)/v1/addresses" | grep -o '"host"' | wc -l; }
has_hosts() { [ "$(host_count)" = "$1" ]; }
