# Functions shared by the measurement scripts, which source this file.
# The caller sets root (the repository) and base (the first port). All processes listen on loopback;
# only processes that these functions started are ended.
bin=$root/build/bin
logs=$(mktemp -d)
pids=()

stop_all() {
  [ ${#pids[@]} -eq 0 ] || { kill "${pids[@]}" 2> /dev/null || true; }
  # On SIGTERM a daemon drains until its streams have ended. Measurements kill it after 1 s instead.
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
# Repeats a command until it succeeds, for at most 150 attempts 0.1 s apart (about 15 s).
await() {
  for _ in $(seq 150); do "$@" > /dev/null 2>&1 && return 0; sleep 0.1; done
  echo "timed out waiting for: $*" >&2; tail -n 3 "$logs"/*.log >&2; return 1
}

# Prints ten client accounts as JSON objects. Arguments: models and services, each as a JSON list.
accounts_json() {
  local weights=(6 4 3 1 1 1 1 1 1 1) separator='' n digest
  for n in "${!weights[@]}"; do
    digest=$(printf 'key-%d' "$n" | sha256sum | cut -d' ' -f1)
    printf '%s{"name":"account-%d","weight":%d,"key_digests":["%s"],"models":%s,"services":%s}' \
      "$separator" "$n" "${weights[$n]}" "$digest" "$1" "$2"
    separator=,
  done
}

# Fails if a started process has exited, for example because its port is in use.
require_running() {
  local pid
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2> /dev/null || { echo "a process exited during startup:" >&2; tail -n 2 "$logs"/*.log >&2; return 1; }
  done
}

# Writes the configuration that apply_configuration applies. Arguments: accounts and servers, each as
# comma-separated JSON objects without brackets.
put_configuration() {
  printf '{"accounts":[%s],"servers":[%s]}' "$1" "$2" > "$logs/configuration.json"
}

# Converts the configuration to documents and applies them through the admin API of entry host 1, which
# must have been started.
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
# Starts an entry host. Arguments: its number, the number of its failure domain, additional flags.
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
