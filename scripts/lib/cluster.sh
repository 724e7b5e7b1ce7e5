# Functions that run a whole system of one register on this machine, as separate processes.
# The caller sets: build (build folder), register (register file), work (scratch folder).

token="${token:-example-operator-token}"
secret="${secret:-example-shared-secret}"
declare -A host_pid=() host_domain=() host_callers=() host_operators=() host_internal=() host_disk=()
declare -A target_pid=()
hosts=()
domains=()

# Reads name, domain and addresses of the entry hosts, and the failure domains, from the register.
read_register() {
  local section="" key value name=""
  while IFS= read -r line; do
    case "$line" in
      "[["*) section="${line//[\[\]]/}"; continue ;;
    esac
    key="${line%% =*}"
    value="${line#*= }"
    value="${value//\"/}"
    case "$section/$key" in
      entry_host/name) name="$value"; hosts+=("$name") ;;
      entry_host/domain) host_domain[$name]="$value" ;;
      entry_host/callers) host_callers[$name]="$value" ;;
      entry_host/operators) host_operators[$name]="$value" ;;
      entry_host/internal) host_internal[$name]="$value" ;;
      entry_host/disk) host_disk[$name]="$value" ;;
      failure_domain/name) domains+=("$value") ;;
    esac
  done <"$register"
}

write_settings() {
  local name="$1" digest data=""
  digest="$(printf '%s' "$token" | sha256sum | cut -d' ' -f1)"
  if [ "${host_disk[$name]:-false}" = true ]; then data="data_folder = \"$work/$name/data\""; fi
  mkdir -p "$work/$name"
  cat >"$work/$name/settings.toml" <<EOF
[host]
name = "$name"
failure_domain = "${host_domain[$name]}"
callers = "${host_callers[$name]}"
operators = "${host_operators[$name]}"
internal = "${host_internal[$name]}"
threads = 2
$data

[cluster]
secret = "$secret"
bootstrap_register = "$register"

[trace]
file = "$work/$name/spans.jsonl"

[[operator]]
name = "demo"
token_sha256 = "$digest"
EOF
}

# start_host NAME [option]: starts one entry host.
start_host() {
  local name="$1"
  shift
  "$build/packages/greengagevalved/greengagevalved" --settings "$work/$name/settings.toml" "$@" \
    >>"$work/$name/log" 2>&1 &
  host_pid[$name]=$!
}

start_targets() {
  local domain="$1"
  shift
  "$build/packages/coordination/ggv_standin_target" --register "$register" --domain "$domain" "$@" \
    >"$work/targets-$domain.stats" 2>"$work/targets-$domain.log" &
  target_pid[$domain]=$!
}

start_cluster() {
  local it
  mkdir -p "$work"
  read_register
  for it in "${domains[@]}"; do start_targets "$it"; done
  for it in "${hosts[@]}"; do
    write_settings "$it"
    start_host "$it" --initialize
  done
}

# Ends all processes that this script has started, by their ids.
stop_cluster() {
  local it
  for it in "${host_pid[@]}"; do kill -KILL "$it" 2>/dev/null; done
  for it in "${target_pid[@]}"; do kill -TERM "$it" 2>/dev/null; done
  wait 2>/dev/null
}

ctl() { "$build/packages/greengagevalvectl/greengagevalvectl" --token "$token" "$@"; }

caller() { "$build/packages/coordination/ggv_caller" "$@"; }

# wait_until SECONDS command...: repeats the command until it succeeds.
wait_until() {
  local seconds="$1" end
  shift
  end=$((SECONDS + seconds))
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}
