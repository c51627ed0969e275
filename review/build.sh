#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. The daemon is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
