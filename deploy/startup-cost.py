#!/usr/bin/env python3
"""Measures the processor time of a gateway start until its readiness address answers 200.

Starts the program with the run line of deploy/system.toml, a boot file and a store stand-in on the loopback interface.
Run from the root of a checkout after deploy/build.sh. Prints each figure and the median, in milliseconds.
"""
import argparse
import base64
import http.server
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import statistics
import subprocess
import tempfile
import threading
import time
import urllib.parse

SERVICES = 10
ENDPOINTS = 100
POLL_SECONDS = 0.005
START_TIMEOUT_SECONDS = 60
# Linux: the clock of the processor time of a process (see clock_getcpuclockid), finer than the ticks of /proc/PID/stat.
CPUCLOCK_SCHED = 2


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def store_items():
    routes = [
        {"name": f"route-{i}", "host": f"service-{i}.example", "prefix": "/", "route_kind": "safe", "timeout_ms": 5000,
         "target_latency_ms": 1000, "service": f"service-{i}", "max_attempts": 3}
        for i in range(SERVICES)
    ]
    services = [{"name": f"service-{i}", "health_path": "/health"} for i in range(SERVICES)]
    tenants = [{"name": f"organisation-{i}", "api_keys": [f"key-{i}"]} for i in range(SERVICES)]
    items = {"op/config": {"version": 1, "routes": routes, "services": services, "tenants": tenants}}
    for i in range(ENDPOINTS):
        items[f"servers/endpoint-{i:03}"] = {
            "service": f"service-{i % SERVICES}", "address": f"127.0.0.1:{20000 + i}", "zone": f"zone-{i % 3}", "slots": 6,
            "phase": "ready", "born": 1}
    return items


class Store(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    items = store_items()
    def do_GET(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/kv-range":
            found = [
                {"key": k, "value": base64.b64encode(json.dumps(v).encode()).decode(), "revision": 5}
                for k, v in sorted(self.items.items()) if k.startswith(query.get("prefix", ""))]
            answer = {"items": found, "truncated": False, "as_of": 5}
        else:
            time.sleep(int(query.get("wait_ms", "0")) / 1000)
            answer = {"events": [], "as_of": 5}
        body = json.dumps(answer).encode()
        try:
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            pass

    def log_message(self, *args):
        pass


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """A killed instance resets its connections."""


def write_boot(path, name, zone, store, seeds):
    ports = {"frontend": free_port(), "readiness": free_port(), "control_plane": free_port()}
    boot = {
        "node_name": name, "zone": zone, "listen": {k: f"127.0.0.1:{p}" for k, p in ports.items()}, "seeds": seeds,
        "bounds": {"grace_s": 5, "retry_budget_ratio": 0.1, "budget_window_s": 10, "retry_allowance": 5},
        "platform": {"address": f"127.0.0.1:{store}"}, "limits": {"cpu_quota": 0.27, "cores": 1.0}}
    path.write_text(json.dumps(boot))
    return ports


def ready(port):
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1) as s:
            s.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return s.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def cpu_ms(pid):
    return time.clock_gettime((~pid << 3) | CPUCLOCK_SCHED) * 1000


def ticks_ms(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / os.sysconf("SC_CLK_TCK")


def start(command, directory, name, zone, store, seeds):
    boot = directory / f"{name}.json"
    ports = write_boot(boot, name, zone, store, seeds)
    out = open(directory / f"{name}.log", "w")
    began = time.monotonic()
    process = subprocess.Popen(
        command, stdout=out, stderr=subprocess.STDOUT, env={**os.environ, "ORIOLEHALL_NODE_FILE": str(boot)})
    while not ready(ports["readiness"]):
        if process.poll() is not None or time.monotonic() - began > START_TIMEOUT_SECONDS:
            process.kill()
            raise SystemExit(f"{name} did not become ready:\n" + (directory / f"{name}.log").read_text())
        time.sleep(POLL_SECONDS)
    ticks, precise = ticks_ms(process.pid), cpu_ms(process.pid)
    return process, ports, ticks, precise, (time.monotonic() - began) * 1000


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--peers", type=int, default=1, help="running instances that the started one has as seeds")
    parser.add_argument("--flags", default="", help="JVM flags put before -jar")
    parser.add_argument("--without", default="", help="regular expression of flags to leave out")
    parser.add_argument("--command", help="command instead of the run line of deploy/system.toml")
    parser.add_argument("--verbose", action="store_true")
    args = parser.parse_args()
    toml = pathlib.Path("deploy/system.toml").read_text()
    run = args.command or re.search(r'^run = "(.*)"$', toml, re.M).group(1)
    command = [w for w in shlex.split(run) if not (args.without and re.search(args.without, w))]
    command = [str(free_port()) if w == "9464" else w for w in command]
    jar = command.index("-jar")
    command[jar:jar] = shlex.split(args.flags)
    server = Server(("127.0.0.1", 0), Store)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    store = server.server_address[1]
    directory = pathlib.Path(tempfile.mkdtemp(prefix="startup-cost-"))
    peers, seeds = [], []
    no_metrics = command[:command.index("--metrics-port")]
    try:
        for i in range(args.peers):
            peer = start(no_metrics, directory, f"peer-{i}", f"zone-{i % 3}", store, list(seeds))
            peers.append(peer[0])
            seeds.append(f"127.0.0.1:{peer[1]['control_plane']}")
        figures = []
        for i in range(args.runs):
            process, ports, ticks, precise, wall = start(command, directory, f"instance-{i}", "zone-1", store, seeds)
            process.send_signal(signal.SIGKILL)
            process.wait()
            figures.append((precise, ticks, wall))
        if args.verbose:
            print((directory / "instance-0.log").read_text())
        print("cpu ms:", " ".join(f"{p:.0f}" for p, _, _ in figures))
        print("median: cpu %.0f ms, cpu by ticks %.0f ms, elapsed %.0f ms; lowest cpu %.0f ms" % (
            *(statistics.median(f[i] for f in figures) for i in range(3)), min(f[0] for f in figures)))
    finally:
        for peer in peers:
            peer.kill()
            peer.wait()


if __name__ == "__main__":
    main()
