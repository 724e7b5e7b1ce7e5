#!/usr/bin/env bash
# Real processes under failure: the control leader is killed, frozen, and a voter loses its disk,
# while callers send non-idempotent requests and an operator changes the register.
# Usage: failures.sh BUILD_FOLDER
set -uo pipefail
cd "$(dirname "$0")/../../../.."

build="$(realpath "$1")"
work="$(mktemp -d)"
register="$work/register.toml"
# A loopback network of its own, so that no other run is in the way.
network="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
sed "s/127\.0\.0\./$network./" examples/port-louis.toml >"$register"
# shellcheck source=scripts/lib/cluster.sh
. scripts/lib/cluster.sh

clean_up() {
  stop_cluster
  rm -rf "$work"
}
trap clean_up EXIT

fail() {
  echo "FAILED: $1"
  grep -hE '"level":"(error|warning)"' "$work"/*/log 2>/dev/null | tail -n 20
  exit 1
}

operators() {
  local list="" it
  for it in "${hosts[@]}"; do list+="${host_operators[$it]},"; done
  echo "${list%,}"
}

entries() {
  local list="" it
  for it in "${hosts[@]}"; do list+="${host_callers[$it]},"; done
  echo "${list%,}"
}

# A host that has just started names no leader until one has reached it, so each is asked.
leader() {
  local it name
  for it in "${hosts[@]}"; do
    name="$(ctl --host "${host_operators[$it]}" status --json 2>/dev/null |
      grep -o '"leader": *"[^"]*"' | head -n 1 | cut -d'"' -f4)"
    if [ -n "$name" ]; then echo "$name"; return; fi
  done
}

has_leader() { [ -n "$(leader)" ]; }

# Highest term of the control quorum that any host knows.
term() {
  local it
  for it in "${hosts[@]}"; do
    ctl --host "${host_operators[$it]}" status --json 2>/dev/null | tr -d ' \n' |
      grep -o '"group":"control"[^}]*"term":[0-9]*' | grep -o '[0-9]*$'
  done | sort -n | tail -n 1
}

version_in_force() { ctl --host "$(operators)" watch --version "$1" --timeout 1; }

# Waits for a leader that is not the given host.
other_leader() {
  local now
  now="$(leader)"
  [ -n "$now" ] && [ "$now" != "$1" ]
}

# Repeats a command until it succeeds: a drain that is refused after a lost answer is repeated.
drain() { wait_until 30 ctl --host "$(operators)" drain target "$1" || fail "drain of $1"; }

orders() {
  caller -e "$(entries)" -s catalogue -p /orders --post -n "$1" -j 4 --attempts 12 --rate 60
}

start_cluster
export GREENGAGEVALVE_TOKEN="$token"
wait_until 40 version_in_force 1 || fail "start"
wait_until 40 caller -e "$(entries)" -s catalogue -n 1 --attempts 1 --expect-done || fail "first request"

echo "== the control leader is killed while orders arrive"
orders 300 >"$work/killed.json" 2>/dev/null &
orders_pid=$!
sleep 1
wait_until 30 has_leader || fail "no leader before the first loss"
first="$(leader)"
kill -KILL "${host_pid[$first]}"
wait "$orders_pid" || fail "orders while the leader was killed"
cat "$work/killed.json"
wait_until 30 other_leader "$first" || fail "election"
drain catalogue-02
wait_until 30 version_in_force 2 || fail "change after the leader was killed"

echo "== its disk is emptied, it comes back as a new member, then a second voter is lost"
rm -rf "${work:?}/$first/data"
start_host "$first"
settled() { ctl --host "${host_operators[$first]}" status --json | grep -q '"role": *"follower"'; }
wait_until 60 settled || fail "the emptied host is taken in"
wait_until 30 has_leader || fail "no leader before the second loss"
second="$(leader)"
kill -KILL "${host_pid[$second]}"
wait_until 30 other_leader "$second" || fail "election after the second loss"
drain catalogue-03
wait_until 30 version_in_force 3 || fail "change after the second loss"
wait_until 30 has_leader || fail "no leader after the second loss"
before="$(term)"
start_host "$second"
wait_until 40 version_in_force 3 || fail "the second host comes back"
wait_until 30 has_leader || fail "no leader after the second host came back"
after="$(term)"
[ -n "$before" ] && [ "$before" = "$after" ] || fail "the return of a host raised the term from $before to $after"

echo "== the control leader is frozen while a change is accepted elsewhere, then wakes"
frozen="$(leader)"
kill -STOP "${host_pid[$frozen]}"
wait_until 30 other_leader "$frozen" || fail "election while the leader is frozen"
drain catalogue-04
kill -CONT "${host_pid[$frozen]}"
woken() { ctl --host "${host_operators[$frozen]}" status --json | grep -q '"in_force": *4\b'; }
wait_until 30 woken || fail "the woken host has version 4 in force"
orders 100 >"$work/woken.json" 2>/dev/null || fail "orders after the freeze"
cat "$work/woken.json"

echo "== what the targets counted"
for it in "${target_pid[@]}"; do kill -TERM "$it"; done
for it in "${target_pid[@]}"; do wait "$it"; done
cat "$work"/targets-*.stats
if grep -vq '"executed_twice":0' "$work"/targets-*.stats; then fail "an order ran twice"; fi
if grep -vq '"over_slots":0' "$work"/targets-*.stats; then fail "a target got more than its slots"; fi
echo "all steps are right"
