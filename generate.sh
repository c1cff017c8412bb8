#!/usr/bin/env bash
# Generates the Go code of the schema. Commit what it writes.
set -euo pipefail
cd "$(dirname "$0")"
go tool -modfile=tools/buf.mod buf lint
go tool -modfile=tools/buf.mod buf generate
