# Functions that start a whole installation on loopback addresses; sourced by demo, measure and prove.
# Processes are started, signalled and ended only through these functions, by their process ids.

home=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
run=${BAMBOOHATCH_RUN:-$home/run/$$}
mkdir -p "$run"
# Third octet of the loopback addresses, so that two installations can run side by side.
net=${BAMBOOHATCH_NET:-0}
declare -A pids=()
control_addresses="127.0.$net.11:7000,127.0.$net.12:7000,127.0.$net.13:7000"
control_list="[127.0.$net.11:7000, 127.0.$net.12:7000, 127.0.$net.13:7000]"
export BAMBOOHATCH_CONTROL=$control_addresses

# Prints a progress line with the time of day.
say() { printf '%s %s\n' "$(date +%H:%M:%S)" "$*"; }

# Starts a program in the background: name, then the command line.
launch() {
  local name=$1
  shift
  "$@" >>"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

# Ends a process started by launch and waits for it: name, signal (TERM by default).
end() {
  local pid=${pids[$1]:-}
  if [ -n "$pid" ]; then
    kill -"${2:-TERM}" "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    unset "pids[$1]"
  fi
}

# Sends a signal to a process started by launch: name, signal.
signal() { kill -"$2" "${pids[$1]}"; }

# Kills every process started by launch; CONT comes first because some may be stopped.
end_all() {
  local name
  for name in "${!pids[@]}"; do kill -CONT "${pids[$name]}" 2>/dev/null || true; kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
}
trap end_all EXIT

zone_of() { local zones=(none a b c); echo "zone-${zones[$((($1 - 1) % 3 + 1))]}"; }

# Writes the settings of a control process: number.
control_settings() {
  cat >"$run/control-$1.yaml" <<YAML
host: control-$1
zone: $(zone_of "$1")
listen: 127.0.$net.1$1:7000
${control_advertise:+advertise: 127.0.$net.8$1:7000}
dataFolder: $run/data-$1
peers: $control_list
snapshotEntries: ${BAMBOOHATCH_SNAPSHOT:-10000}
YAML
}

start_control() { control_settings "$1"; launch "control-$1" "$home/bin/bamboohatch-control" --settings "$run/control-$1.yaml"; }

# Starts an entry: number, policy, control addresses.
start_entry() {
  cat >"$run/entry-$1.yaml" <<YAML
host: entry-$1
zone: $(zone_of "$1")
http: 127.0.$net.2$1:8080
listen: 127.0.$net.2$1:7100
control: ${3:-$control_list}
policy: ${2:-fair-predicted}
seed: 1
YAML
  launch "entry-$1" "$home/bin/bamboohatch-entry" --settings "$run/entry-$1.yaml"
}

# Starts a stand-in engine: number, additional settings.
start_engine() {
  printf 'listen: 127.0.%s.4%s:9000\nmodels: [glass@1]\n%s\n' "$net" "$1" "${2:-}" >"$run/engine-$1.yaml"
  launch "engine-$1" "$home/bin/bamboohatch-standin" engine --settings "$run/engine-$1.yaml"
}

# Starts a stand-in plain service: number, delay in milliseconds.
start_plain() {
  printf 'listen: 127.0.%s.5%s:9000\ndelayMillis: %s\n' "$net" "$1" "${2:-5}" >"$run/plain-$1.yaml"
  launch "plain-$1" "$home/bin/bamboohatch-standin" plain --settings "$run/plain-$1.yaml"
}

# Starts the agent of an engine: number, memory in tokens.
start_engine_agent() {
  cat >"$run/agent-$1.yaml" <<YAML
host: engine-host-$1
zone: $(zone_of "$1")
listen: 127.0.$net.6$1:7200
target: engine-$1
service: assistant
driver: completions
targetUrl: http://127.0.$net.4$1:9000
control: $control_list
memoryTokens: ${2:-400000}
YAML
  launch "agent-$1" "$home/bin/bamboohatch-agent" --settings "$run/agent-$1.yaml"
}

# Starts the agent of a plain service: number.
start_plain_agent() {
  cat >"$run/plain-agent-$1.yaml" <<YAML
host: plain-host-$1
zone: $(zone_of "$1")
listen: 127.0.$net.7$1:7200
target: plain-$1
service: portal
driver: plain
targetUrl: http://127.0.$net.5$1:9000
control: ${2:-$control_list}
memoryTokens: 0
YAML
  launch "plain-agent-$1" "$home/bin/bamboohatch-agent" --settings "$run/plain-agent-$1.yaml"
}

# Repeats a command until it succeeds: timeout in seconds, then the command line.
await() {
  local deadline=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$(date +%s)" -ge "$deadline" ]; then
      say "timed out: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

ready() { curl -sf -m 1 "http://$1:8080/readyz" >/dev/null; }
