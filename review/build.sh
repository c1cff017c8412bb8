#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. The project's own build is that of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-standin ./review/standin
