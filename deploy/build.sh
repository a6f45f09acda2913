#!/usr/bin/env bash
# Builds target/oriolehall.jar, its libraries, and an archive of the classes that a start needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -q -ntp ${MAVEN_ARGS:-} -T "${MAVEN_THREADS:-4}" -Dmaven.test.skip=true -pl platform -am package
# The archive is taken with the flags of the run line, because it fits only the same class path and a like collector.
flags=$(sed -n 's/^run = "java \(.*\) -jar .*/\1/p' deploy/system.toml | tr ' ' '\n' | grep -v -e SharedArchiveFile -e Xshare)
# shellcheck disable=SC2086 # One word per flag.
timeout 120 java $flags -XX:ArchiveClassesAtExit=target/oriolehall.jsa -jar target/oriolehall.jar --metrics-port 9464 self-check \
    >target/self-check.log 2>&1
