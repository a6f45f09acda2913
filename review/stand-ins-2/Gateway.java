import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.TimeUnit;

/** A process of the project, started with the run line of the deploy file. */
final class Gateway {
    final String name, zone, ip;
    final int frontend, readiness, control;
    private final Path folder;
    private Process process;
    private int starts;

    Gateway(String name, String zone, String ip, Path folder) throws IOException {
        this.name = name;
        this.zone = zone;
        this.ip = ip;
        this.folder = folder;
        frontend = freePort(ip);
        readiness = freePort(ip);
        control = freePort(ip);
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    /** Settings as DEPLOY.md shows them, with the bounds of the small sites. */
    private String settings(List<Gateway> seeds, Store store) {
        StringJoiner seedList = new StringJoiner(",");
        for (Gateway seed : seeds) seedList.add(Json.quote(seed.ip + ":" + seed.control));
        return """
            {"node_name":"%s","role":"gateway","machine_class":"edge","serves":["edge","control"],"ip":"%s","zone":"%s",
             "region":"r","zones":{"z-a":"r","z-b":"r","z-c":"r"},
             "listen":{"frontend":"%s:%d","readiness":"%s:%d","control_plane":"%s:%d"},"port_range":[7740,7755],
             "seeds":[%s],"bootstrap":%s,"counts_as_loss":false,
             "limits":{"cpu_quota":0.75,"cores":1,"memory_mb":430,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0},
             "data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
             "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","stages"],
             "fault_tolerance":{"machines":2,"zones":1,"regions":0},
             "bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
              "grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"downgrade_slack_ms":250,"partition_max_ms":5000,
              "strict_revocation":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,
              "retry_allowance":56,"cold_overshoot":1.5,"cold_slack":5,"evacuate_ms":5000,"recover_s":12,"pass_ms":120,
              "again_s":10},
             "platform":{"address":"%s","form":"read","writes_per_s":400,"reads_per_s":2000,"history_s":20,
              "value_bytes":1048576,"ttl_min_ms":1000}}
            """.formatted(name, ip, zone, ip, frontend, ip, readiness, ip, control, seedList, starts == 0,
            store.hostPort());
    }

    private static List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no run line");
    }

    void start(List<Gateway> seeds, Store store) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings(seeds, store));
        starts++;
        ProcessBuilder builder = new ProcessBuilder(runLine());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("ORIOLEHALL_NODE_FILE", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    boolean alive() { return process.isAlive(); }

    int exitCode() { return process.exitValue(); }

    long pid() { return process.pid(); }

    /** Sends a signal to this process by its id. */
    void signal(String signal) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
    }

    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, readiness), 900);
            socket.setSoTimeout(900);
            socket.getOutputStream().write(Http.head("GET /-/readyz HTTP/1.1", "Host", "x", "Connection", "close"));
            return Http.readResponse(new BufferedInputStream(socket.getInputStream())).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(int seconds) throws IOException, InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (!ready()) {
            if (!alive() || System.nanoTime() > end) throw new IOException(name + " does not become ready");
            Thread.sleep(100);
        }
    }

    void kill() {
        if (process == null) return;
        process.destroyForcibly();
        try { process.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException e) { Thread.currentThread().interrupt(); }
    }
}
