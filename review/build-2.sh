#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the project's own programs, after the build
# of the deploy file: the harness, whose process contains the stand-ins of clients, runners and
# operators.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/_harness
