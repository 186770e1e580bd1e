#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/stand-2
