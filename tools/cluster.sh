# Functions that start stand-ins and instances on loopback. Sourced by tools/demo, tools/measure and
# tools/test-processes.
# Ports of instance i on 127.0.0.1: callers 7200 + 10 * i, operators +1, peers +2.
# The sourcing script sets `bin` (folder of the programs) and `work` (folder of logs, settings and credentials).

declare -A pids=()

start_process() { # NAME COMMAND...; logs to $work/NAME.log
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

stop_process() { # NAME [SIGNAL]; waits for the process and returns its exit code
  local pid=${pids[$1]}
  unset "pids[$1]"
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid"
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do stop_process "$name" KILL 2>/dev/null || true; done
}

wait_for_http() { # URL; polls for at least 15 s until the response is a success
  local i
  for i in $(seq 1 150); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "timed out waiting for $1" >&2
  return 1
}

write_credentials() { # creates $work with the operators' token, the peer key and a credential
  mkdir -p "$work"
  echo "operators-token-of-the-demo" >"$work/token"
  echo "peer-key-shared-by-all-instances" >"$work/peer-key"
  echo "orchard-coop-credential" >"$work/credential"
}

start_standins() { # DECLARATIONS [OPTIONS...]
  local declarations=$1
  shift
  start_process table "$bin/foxtailwheel-standins" --table 127.0.0.1:7100
  start_process list "$bin/foxtailwheel-standins" --list 127.0.0.1:7101 --list-lag 500ms
  start_process backends "$bin/foxtailwheel-standins" --declarations "$declarations" "$@"
  wait_for_http http://127.0.0.1:7101/v1/instances
  wait_for_http "http://127.0.0.1:7100/v1/row?key=none"
}

zones=(cork limerick waterford kilkenny)

write_settings() { # INDEX
  local port=$((7200 + 10 * $1))
  cat >"$work/instance-$1.yaml" <<YAML
instance: instance-$1
zone: ${zones[$(($1 % 4))]}
region: ireland-south
callers: 127.0.0.1:$port
operators: 127.0.0.1:$((port + 1))
peers: 127.0.0.1:$((port + 2))
table: 127.0.0.1:7100
instance_list: 127.0.0.1:7101
balancer_delay: ${balancer_delay:-300ms}
drain_limit: 30s
operator_token_file: $work/token
peer_key_file: $work/peer-key
YAML
}

start_instance() { # INDEX
  write_settings "$1"
  start_process "instance-$1" "$bin/foxtailwheeld" --settings "$work/instance-$1.yaml"
}

run_cli() { # INDEX ARGUMENT...; runs the foxtailwheel tool against one instance
  local port=$((7200 + 10 * $1))
  shift
  "$bin/foxtailwheel" "$@" --operators "127.0.0.1:$((port + 1))" --token-file "$work/token" \
    --callers "127.0.0.1:$port" --credential-file "$work/credential"
}
