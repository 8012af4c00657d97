#!/usr/bin/env bash
# Builds the stand-ins and test drivers of the scripted cases into review/build/.
# It uses only packages that the deploy file names (g++, libboost-dev, nlohmann-json3-dev).
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -Wall -o build/review-case standins/main.cc -lpthread
