#!/usr/bin/env bash
# Builds the stand-ins of the cases. The daemon is built by the command of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/cases ./review/cases
