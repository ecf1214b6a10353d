#!/usr/bin/env bash
# One call to a sidecar's second address: ask.sh HOST PORT CALL
set -euo pipefail
exec 3<>"/dev/tcp/$1/$2"
printf '%s\n' "$3" >&3
cat <&3
