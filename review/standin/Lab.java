import java.io.PrintWriter;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One run of a case: the store, the gateways, what is recorded, and the rule that was broken, if any. */
final class Lab implements AutoCloseable {
    final boolean trouble;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    final List<AutoCloseable> resources = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    private final PrintWriter record;
    private final Path folder;
    private final long startNanos = System.nanoTime();
    private final String network;
    private final AtomicInteger ids = new AtomicInteger();
    private int hosts;

    Lab(Path record, boolean trouble) throws Exception {
        this.trouble = trouble;
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
        Random random = new Random();
        network = "127." + (16 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        folder = Files.createTempDirectory("review");
        store = new Store(nextHost());
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    String nextHost() {
        return network + (++hosts);
    }

    /** Milliseconds since the start of the run. */
    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void record(String format, Object... values) {
        String line = "%8d ms  %s".formatted(nowMs(), String.format(format, values));
        synchronized (record) {
            record.println(line);
        }
    }

    void violation(String format, Object... values) {
        String text = String.format(format, values);
        synchronized (violations) {
            violations.add(text);
        }
        record("BROKEN %s", text);
    }

    /** A new attempt id, 16 hexadecimal digits. */
    String attemptId() {
        return "%08x%08x".formatted(network.hashCode(), ids.incrementAndGet());
    }

    /** Creates {@code count} gateways in zone-a; the control addresses of the first three are the seeds. */
    void createGateways(int count) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < count; i++) all.add(nextHost());
        List<String> seeds = all.stream().limit(3).map(host -> host + ":" + Gateway.CONTROL).toList();
        for (int i = 0; i < count; i++) {
            gateways.add(new Gateway("edge-" + (i + 1), all.get(i), "zone-a", seeds, store.address(), folder));
        }
    }

    void startGateways() throws Exception {
        for (Gateway gateway : gateways) gateway.start();
        for (Gateway gateway : gateways) gateway.awaitReady(20_000);
        record("%d gateways are ready", gateways.size());
    }

    /** Writes the configuration; {@code routes} and {@code services} are the JSON entries of the lists. */
    void publish(int version, String routes, String services) {
        store.put("op/config", """
            {"version":%d,"routes":[%s],"services":[%s],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                       "idle_timeout_ms":15000},
             "tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}
            """.formatted(version, routes, services));
    }

    static String route(String prefix, String kind, String service, int timeoutMs, int attempts, String more) {
        return """
            {"name":"r%s","host":"lab.example","prefix":"/%s/","route_kind":"%s","timeout_ms":%d,
             "target_latency_ms":%d,"priority":1,"service":"%s","max_attempts":%d,"anonymous":false%s}
            """.formatted(prefix, prefix, kind, timeoutMs, timeoutMs / 4, service, attempts, more);
    }

    static String service(String name, double coldPerS, String more) {
        return """
            {"name":"%s","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,
             "cold_start_s":3.0,"cold_per_s":%s%s}
            """.formatted(name, coldPerS, more);
    }

    void register(String id, String service, String address, String phase, long born, long coldMs) {
        store.put("servers/" + id, """
            {"service":"%s","address":"%s","zone":"zone-a","version":"v1","slots":8,"phase":"%s",
             "cold_remaining_ms":%d,"sequence":1,"born":%d}
            """.formatted(service, address, phase, coldMs, born));
    }

    /** The head of a requester's request; {@code more} are header lines that end with CRLF. */
    static String head(String method, String target, String attempt, int deadlineMs, String more) {
        return method + " " + target + " HTTP/1.1\r\nHost: lab.example\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer key-1\r\n" + more + "\r\n";
    }

    /** Sends a request without a body on a new connection; null if the connection ends without a whole answer. */
    static Http.Message call(String address, String head, int timeoutMs) {
        try (Socket socket = Http.connect(address, 1_000)) {
            socket.setSoTimeout(timeoutMs);
            Http.write(socket, head);
            Http.Message answer = Http.read(socket.getInputStream(), true, false);
            return answer == null || answer.body() == null ? null : answer;
        } catch (Exception e) {
            return null;
        }
    }

    static String tally(Map<String, Integer> counts) {
        return new TreeMap<>(counts).toString();
    }

    /** The exit code of the run. */
    int verdict() throws Exception {
        recordEndedThreads();
        record(violations.isEmpty() ? "the rule held" : "the rule was broken " + violations.size() + " times");
        return violations.isEmpty() ? 0 : 1;
    }

    /** Records the threads of the gateways that ended with an error, as their logs say. */
    private void recordEndedThreads() throws Exception {
        for (Gateway gateway : gateways) {
            for (String line : gateway.log()) {
                if (line.startsWith("Exception in thread ")) record("%s: %s", gateway.name, line);
            }
        }
    }

    private void endProcesses() {
        for (Gateway gateway : gateways) {
            try {
                gateway.kill();
            } catch (Exception e) {
                // ended already
            }
        }
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (AutoCloseable resource : resources) resource.close();
        store.close();
        record.close();
        if (System.getenv("KEEP") != null) {
            System.out.println(folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
