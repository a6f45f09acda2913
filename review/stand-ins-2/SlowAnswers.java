import java.io.*;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 8. Requesters behind links of 5 Mbit/s read answers of 3.5 MB in about six seconds. Each gateway gets a SIGTERM in turn
 * and has eight seconds. No answer that a worker has given in full may be cut.
 */
final class SlowAnswers {
    private static final int ANSWER_BYTES = 3_500_000;
    private static final int LINK_BYTES_PER_S = 600_000;
    private static final int CALLERS = 6;
    private static final long GRACE_MS = 8_000;

    public static void main(String[] args) {
        Case.run(() -> play(Path.of(args[0])));
    }

    private static int play(Path file) throws Exception {
        boolean trouble = Case.trouble();
        Worker.Service documents = new Worker.Service("documents", Worker.Kind.PLAIN, 6, 24, 100, 0, 0, 0);
        AtomicInteger whole = new AtomicInteger(), cut = new AtomicInteger(), other = new AtomicInteger();
        Map<Gateway, Long> terminatedAtMs = new ConcurrentHashMap<>();
        try (Record record = new Record(file); Fleet fleet = new Fleet(2)) {
            Worker.Listener listener = new Worker.Listener() {
                @Override
                public void onRun(Worker worker, Http.Request request) {
                    record.line("run request=" + request.header("x-attempt-id") + " at " + worker.id);
                }

                @Override
                public byte[] answer(Http.Request request) {
                    return request.target.equals("/doc/long") ? new byte[ANSWER_BYTES] : null;
                }
            };
            for (int i = 0; i < 4; i++) {
                new Worker(fleet.workerIp(i), 0, documents, "z-" + "ab".charAt(i % 2), fleet.store, listener).begin(0);
            }
            fleet.configure(7, "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/doc/\",\"route_kind\":\"safe\",\"timeout_ms\":15000," +
                "\"target_latency_ms\":2000,\"priority\":0,\"service\":\"documents\",\"max_attempts\":2,\"stages\":[],\"anonymous\":false," +
                "\"sticky\":false,\"resumable\":false}", Fleet.service(documents, 110, 0, 0));
            fleet.startGateways();
            record.say("ready; trouble=" + trouble);
            for (Gateway gateway : fleet.gateways) {
                List<Thread> callers = new ArrayList<>();
                for (int i = 0; i < CALLERS; i++) {
                    String id = Case.newId();
                    callers.add(Http.daemon("caller " + id, () -> call(gateway, id, record, terminatedAtMs, whole, cut, other)));
                }
                Thread.sleep(300);
                if (trouble) {
                    record.say("SIGTERM to " + gateway.name);
                    terminatedAtMs.put(gateway, record.ms());
                    gateway.signal("TERM");
                }
                for (Thread caller : callers) caller.join();
                if (trouble) {
                    Thread.sleep(Math.max(0, terminatedAtMs.get(gateway) + GRACE_MS - record.ms()));
                    gateway.kill();
                }
            }
        }
        System.out.println("answers whole " + whole + ", cut " + cut + ", other ends " + other);
        return cut.get() > 0 ? 1 : whole.get() > 0 ? 0 : 2;
    }

    private static void call(Gateway gateway, String id, Record record, Map<Gateway, Long> terminatedAtMs, AtomicInteger whole,
        AtomicInteger cut, AtomicInteger other) {
        long sentMs = record.ms();
        record.line("sent request=" + id + " to " + gateway.name);
        try {
            Process requester = new ProcessBuilder("perl", "review/stand-ins-2/slow-requester.pl", gateway.ip, "" + gateway.frontend, id,
                "" + LINK_BYTES_PER_S).redirectError(ProcessBuilder.Redirect.INHERIT).start();
            String[] result = new String(requester.getInputStream().readAllBytes()).trim().split(" ");
            long endMs = record.ms();
            Long terminated = terminatedAtMs.get(gateway);
            long afterTerm = terminated == null ? -1 : endMs - terminated;
            String text = "request=" + id + " status=" + result[0] + " bytes=" + result[1] + "/" + result[2] + " " + result[3] + ", " +
                afterTerm + " ms after the SIGTERM, " + (endMs - sentMs) + " ms after it was sent";
            if (result[0].equals("200") && result[3].equals("whole")) {
                record.line("answered " + text);
                whole.incrementAndGet();
            } else if (result[0].equals("200") && afterTerm >= 0 && afterTerm < GRACE_MS + 1_000) {
                record.say("BROKEN: the channel ended inside the answer: " + text);
                cut.incrementAndGet();
            } else {
                record.say("other end: " + text);
                other.incrementAndGet();
            }
        } catch (IOException e) {
            record.say("request=" + id + ": " + e);
            other.incrementAndGet();
        }
    }
}
