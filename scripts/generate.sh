#!/usr/bin/env bash
# Generates the code of the schema, proto/medlar.proto, into src/generated.
# Needs protobuf-compiler and protobuf-compiler-grpc; the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."

protoc -I proto --cpp_out=src/generated --grpc_out=src/generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/medlar.proto
