#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start, besides the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j4
