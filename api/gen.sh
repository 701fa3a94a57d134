#!/bin/sh
# Regenerates the committed Go code from the schema files. Needs protoc.
set -e
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
	--connect-go_out=. --connect-go_opt=paths=source_relative godwitward/v1/*.proto
