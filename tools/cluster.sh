# Functions that start stand-ins and instances on loopback; sourced by tools/demo and the process tests.
# Callers: 127.0.0.1:$((7200 + 10 * i)), operators +1, peers +2.

declare -A pids=()

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

stop() { # NAME [SIGNAL]; waits and returns the exit code
  local pid=${pids[$1]}
  unset "pids[$1]"
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid"
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do stop "$name" KILL 2>/dev/null || true; done
}

wait_for() { # URL
  local i
  for i in $(seq 1 150); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

prepare() {
  mkdir -p "$work"
  echo "operators-token-of-the-demo" >"$work/token"
  echo "peer-key-shared-by-all-instances" >"$work/peer-key"
  echo "orchard-coop-credential" >"$work/credential"
}

start_standins() { # DECLARATIONS [OPTIONS...]
  local declarations=$1
  shift
  start table "$bin/foxtailwheel-standins" --table 127.0.0.1:7100
  start list "$bin/foxtailwheel-standins" --list 127.0.0.1:7101 --list-lag 500ms
  start backends "$bin/foxtailwheel-standins" --declarations "$declarations" "$@"
  wait_for http://127.0.0.1:7101/v1/instances
  wait_for "http://127.0.0.1:7100/v1/row?key=none"
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
  start "instance-$1" "$bin/foxtailwheeld" --settings "$work/instance-$1.yaml"
}

tool() { # INDEX WORDS...: the operators' tool against one instance
  local port=$((7200 + 10 * $1))
  shift
  "$bin/foxtailwheel" "$@" --operators "127.0.0.1:$((port + 1))" --token-file "$work/token" \
    --callers "127.0.0.1:$port" --credential-file "$work/credential"
}
