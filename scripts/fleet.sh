# Functions that start, ask and end a stand-in and entry hosts; sourced by the
# demo and by measurements. The caller sets `work_dir` and `bin_dir`.

# Two numbers of a loopback network of this run's own.
loopback_network="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
operator_key="operator-key"
operator_key_digest="$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)"
fleet_size=0
standin_pid=""
platform=""
declare -A host_pids=()
domains=(perth-a perth-b bunbury-a)
regions=(perth perth bunbury)

now_ms() { date +%s%3N; }

# Ends whatever still runs, by process id.
end_fleet() {
  local pid
  for pid in "${host_pids[@]}" ${standin_pid:+"$standin_pid"}; do
    kill -KILL "$pid" 2>/dev/null || true
  done
}

# Waits until a command succeeds: wait_for SECONDS COMMAND...
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS > end)); then
      echo "not in time: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

start_standin() {
  "$bin_dir/zinniastep-standin" --settings "$1" >"$work_dir/standin.json" \
    2>"$work_dir/standin.log" &
  standin_pid=$!
  wait_for 20 grep -q platform "$work_dir/standin.json"
  platform="$(sed 's/.*"platform":"\([^"]*\)".*/\1/' "$work_dir/standin.json")"
}

# Address of a backend server by its name.
server_address() {
  sed "s/.*\"$1\":\"\([^\"]*\)\".*/\1/" "$work_dir/standin.json"
}

set_fault() {
  curl -fsS -X POST "http://$platform/faults" -d "$1" >/dev/null
}

peer_address() { echo "$loopback_network.$1:7001"; }
caller_address() { echo "$loopback_network.$1:8001"; }

write_host_settings() {
  local number=$1 seeds="" other
  for ((other = 1; other <= fleet_size; ++other)); do
    ((other == number)) || seeds+="${seeds:+, }\"$(peer_address "$other")\""
  done
  cat >"$work_dir/host-$number.json" <<JSON
{
  "host": "host-$number",
  "failure_domain": "${domains[(number - 1) % 3]}",
  "region": "${regions[(number - 1) % 3]}",
  "peer_address": "$(peer_address "$number")",
  "caller_address": "$(caller_address "$number")",
  "operator_key_digest": "$operator_key_digest",
  "store_address": "$platform",
  "host_list_address": "$platform",
  "rating_address": "$platform",
  "seeds": [$seeds],
  "wire_keys": ["a-wire-key-for-one-run"],
  "session_keys": ["a-session-key-for-one-run"],
  "limits": {},
  "address_ttl_seconds": 2
}
JSON
}

start_host() {
  "$bin_dir/zinniastepd" --settings "$work_dir/host-$1.json" \
    >>"$work_dir/host-$1.log" 2>&1 &
  host_pids[$1]=$!
}

host_ready() {
  curl -fsS -m 2 "http://$(caller_address "$1")/ready"
}

# Tells the platform's host list of all hosts.
publish_hosts() {
  local hosts="" number
  for ((number = 1; number <= fleet_size; ++number)); do
    hosts+="${hosts:+,}{\"host\":\"host-$number\",\"state\":\"live\","
    hosts+="\"address\":\"$(peer_address "$number")\"}"
  done
  curl -fsS -X PUT "http://$platform/hosts" -d "{\"hosts\":[$hosts]}" >/dev/null
}

# Starts this many entry hosts and waits until all are ready.
start_fleet() {
  local number
  fleet_size=$1
  publish_hosts
  for ((number = 1; number <= fleet_size; ++number)); do
    write_host_settings "$number"
    start_host "$number"
  done
  for ((number = 1; number <= fleet_size; ++number)); do
    wait_for 20 host_ready "$number"
  done
}

# Puts an object that does not exist yet.
create_object() {
  curl -fsS -X PUT -H 'If-Match: 0' "http://$platform/objects/$1" \
    --data-binary "@$2" >/dev/null
}

fetch_evidence() {
  curl -fsS "http://$platform/account" >"$work_dir/account.json"
  curl -fsS "http://$platform/list?prefix=bills/" >"$work_dir/bills.json"
}

# Waits until the bills have stopped changing.
settle_bills() {
  local before="" after i
  for ((i = 0; i < 20; ++i)); do
    fetch_evidence
    after="$(sed 's/"revision":[0-9]*//' "$work_dir/bills.json" | sha256sum)"
    [[ "$before" != "$after" ]] || return 0
    before="$after"
    sleep 1.5
  done
}

# Shuts the entry hosts down gracefully; fails when one does not end well.
stop_fleet() {
  local number status=0
  for number in "${!host_pids[@]}"; do
    kill -TERM "${host_pids[$number]}" 2>/dev/null || true
  done
  for number in "${!host_pids[@]}"; do
    wait "${host_pids[$number]}" || {
      echo "host-$number ended with status $?" >&2
      status=1
    }
    unset "host_pids[$number]"
  done
  return "$status"
}

stop_standin() {
  kill -TERM "$standin_pid"
  wait "$standin_pid" || true
  standin_pid=""
}
