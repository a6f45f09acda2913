import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.ThreadLocalRandom;

/** A small deployment on loopback addresses of its own: a store, gateways and the folder for their settings and logs. */
final class Fleet implements Closeable {
    final Path folder;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    private final String net;

    Fleet(int gatewayCount) throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        net = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
        folder = Files.createTempDirectory("oriolehall-review-");
        store = new Store(net + "1");
        store.start();
        String[] zones = {"z-a", "z-b", "z-c"};
        for (int i = 0; i < gatewayCount; i++) {
            gateways.add(new Gateway("edge-" + zones[i % 3] + "-" + i, zones[i % 3], net + (11 + i), folder));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(Gateway::kill)));
    }

    String workerIp(int number) { return net + (50 + number); }

    /** Publishes a configuration with routes and services as JSON. One tenant, one key. */
    void configure(int version, String routes, String services) {
        store.put("op/config", ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"max_header_bytes\":16384," +
            "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}," +
            "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1}]}").formatted(version, routes, services));
    }

    static String service(Worker.Service s, int maxConnections, double coldS, double coldPerS) {
        String head = ("{\"name\":\"%s\",\"health_path\":\"/healthz\",\"max_connections\":%d,\"protocol\":\"h1\",\"tls\":false," +
            "\"cold_start_s\":%s,\"cold_per_s\":%s").formatted(s.name(), maxConnections, coldS, coldPerS);
        String pieces = ",\"pieces\":{\"slots\":%d,\"queue\":%d,\"batch\":%d,\"call_ms\":%d,\"item_ms\":%s,\"headroom_mb\":16.6,\"handle_s\":%s,\"link_mbps\":10000}"
            .formatted(s.slots(), s.queue(), s.batch(), s.callMs(), s.itemMs(), s.handleS());
        return head + (s.kind() == Worker.Kind.STAGE ? pieces : "") + "}";
    }

    void startGateways() throws IOException, InterruptedException {
        List<Gateway> seeds = gateways.subList(0, Math.min(3, gateways.size()));
        for (Gateway gateway : gateways) gateway.start(seeds, store);
        for (Gateway gateway : gateways) gateway.awaitReady(30);
    }

    /** Opens a connection to the gateway as a requester. */
    static Socket connect(Gateway gateway, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(gateway.ip, gateway.frontend), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        return socket;
    }

    @Override
    public void close() {
        gateways.forEach(Gateway::kill);
        store.end();
    }
}
