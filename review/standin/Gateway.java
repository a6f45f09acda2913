import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One gateway process, started with the command of the deploy file. Its ports are on a loopback address of its own. */
final class Gateway implements AutoCloseable {
    static final int FRONTEND = 18625;
    static final int READINESS = 18621;
    static final int CONTROL = 18628;

    final String name;
    final String host;
    private final String zone;
    private final List<String> seeds;
    private final String store;
    private final Path folder;
    private int starts;
    private Process process;

    Gateway(String name, String host, String zone, List<String> seeds, String store, Path folder) {
        this.name = name;
        this.host = host;
        this.zone = zone;
        this.seeds = seeds;
        this.store = store;
        this.folder = folder;
    }

    String frontend() {
        return host + ":" + FRONTEND;
    }

    void start() throws Exception {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings());
        List<String> command = command();
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("ORIOLEHALL_NODE_FILE", settings.toString());
        builder.redirectOutput(folder.resolve(name + "-" + ++starts + ".log").toFile());
        process = builder.start();
    }

    /** The words of the `run` line of the deploy file, with the java of this process. */
    private static List<String> command() throws Exception {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (!line.startsWith("run = ")) continue;
            List<String> words = new ArrayList<>(List.of(line.substring(7, line.length() - 1).split(" ")));
            words.set(0, System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
            return words;
        }
        throw new IllegalStateException("deploy/system.toml has no run line");
    }

    private String settings() {
        return """
            {"node_name":"%s","role":"gateway","machine_class":"edge","serves":["edge","control"],
             "ip":"%s","zone":"%s","region":"geo-1","zones":{"zone-a":"geo-1","zone-b":"geo-1"},
             "listen":{"frontend":"%s:%d","readiness":"%s:%d","control_plane":"%s:%d"},
             "port_range":[17740,17755],"seeds":[%s],"bootstrap":false,"counts_as_loss":false,
             "limits":{"cpu_quota":0.75,"cores":1,"memory_mb":430,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0},
             "data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
             "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places",
                          "platform","stages"],
             "fault_tolerance":{"machines":2,"zones":1,"regions":0},
             "bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,
                       "drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,
                       "downgrade_slack_ms":250,"partition_max_ms":5000,"strict_revocation":true,"revoke_ms":5000,
                       "retry_budget_ratio":0.2,"budget_window_s":10,"retry_allowance":56,"cold_overshoot":1.5,
                       "cold_slack":5,"evacuate_ms":5000,"recover_s":12,"pass_ms":120,"again_s":10},
             "platform":{"address":"%s","form":"read","writes_per_s":400,"reads_per_s":2000,"history_s":20,
                         "value_bytes":1048576,"ttl_min_ms":1000}}
            """.formatted(name, host, zone, host, FRONTEND, host, READINESS, host, CONTROL,
                String.join(",", seeds.stream().map(seed -> "\"" + seed + "\"").toList()), store);
    }

    boolean isReady() {
        try (var socket = Http.connect(host + ":" + READINESS, 500)) {
            socket.setSoTimeout(900);
            Http.write(socket, "GET /-/readyz HTTP/1.1\r\nHost: " + host + "\r\n\r\n");
            var answer = Http.read(socket.getInputStream(), true, false);
            return answer != null && answer.status() == 200;
        } catch (Exception e) {
            return false;
        }
    }

    void awaitReady(long timeoutMs) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!isReady()) {
            if (System.nanoTime() > until) throw new IllegalStateException(name + " is not ready");
            Thread.sleep(50);
        }
    }

    /** What the last process has written. */
    List<String> log() throws Exception {
        byte[] text = Files.readAllBytes(folder.resolve(name + "-" + starts + ".log"));
        return new String(text, StandardCharsets.UTF_8).lines().toList();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Ends the process at once, as a loss of power does. */
    void kill() throws Exception {
        if (process != null) process.destroyForcibly().waitFor();
    }

    @Override
    public void close() throws Exception {
        kill();
    }
}
