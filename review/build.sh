#!/bin/sh
# Builds the driver of the scripted cases with all its stand-ins.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-driver ./review/driver
