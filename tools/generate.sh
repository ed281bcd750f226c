#!/usr/bin/env bash
# Regenerates the protobuf and gRPC code in proto/generated, which is committed. Requires the packages
# protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=proto/generated proto/fleet.proto
protoc -I proto --cpp_out=proto/generated --grpc_out=proto/generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peer.proto
