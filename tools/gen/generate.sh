#!/usr/bin/env bash
# Regenerates the committed protobuf and drpc code. Needs protoc on the PATH.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -modfile=tools/gen/go.mod -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
protoc --plugin="$bin/protoc-gen-go" --plugin="$bin/protoc-gen-go-drpc" \
  --go_out=. --go_opt=module=github.com/baobabhub/baobabhub \
  --go-drpc_out=. --go-drpc_opt=module=github.com/baobabhub/baobabhub \
  -I proto proto/baobab/peer/v1/peer.proto
protoc --plugin="$bin/protoc-gen-go" \
  --go_out=. --go_opt=module=github.com/baobabhub/baobabhub \
  -I proto proto/baobab/gossip/v1/gossip.proto

# record notes which protocol file the generated code beside it comes from.
record() { sha256sum < "$1" | cut -d' ' -f1 > "$2/$(basename "$1").sha256"; }
record proto/baobab/peer/v1/peer.proto pkg/peer/peerpb
record proto/baobab/gossip/v1/gossip.proto pkg/gossip/gossippb
