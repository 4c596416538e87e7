#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start. The packages are those of the build of the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
cargo build --release --locked --offline --target-dir target || cargo build --release --locked --target-dir target
