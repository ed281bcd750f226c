#!/usr/bin/env bash
# Generates the committed code in proto/generated. Needs protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=proto/generated proto/fleet.proto
protoc -I proto --cpp_out=proto/generated --grpc_out=proto/generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peer.proto
