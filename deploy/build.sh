#!/usr/bin/env bash
# Builds target/oriolehall.jar, its libraries, and an archive of the classes that a start needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -q -ntp -T 4 -Dmaven.test.skip=true -pl platform -am package
# The flags that shape the heap are those of deploy/system.toml: an archive fits only a like collector.
java -Xmx96m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/oriolehall.jsa \
    -Doriolehall.log=queued -Dio.netty.allocator.type=unpooled -jar target/oriolehall.jar self-check >target/self-check.log 2>&1
