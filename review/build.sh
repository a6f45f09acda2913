#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need only a JDK; the gateway is built by deploy/build.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -Xlint:-serial -Xlint:-try -d target/review review/standin/*.java
