#!/bin/bash
# Builds the stand-ins of the cases of the second review, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-2 ./review/standin-2
