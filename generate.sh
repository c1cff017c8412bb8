#!/usr/bin/env bash
# Generates the Go code from the schema. Commit the generated files.
set -euo pipefail
cd "$(dirname "$0")"
go tool -modfile=tools/buf.mod buf lint
go tool -modfile=tools/buf.mod buf generate
