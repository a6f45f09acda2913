import java.nio.file.Path;
import java.util.Map;

/** Runs one case: NAME FOLDER. TROUBLE=0 leaves out the disruption. Exits with 0, 1 or 2. */
public final class Main {
    interface Case {
        void run(Lab lab) throws Exception;
    }

    private static final Map<String, Case> CASES = Map.of(
        "late-stage-answer", new LateStageAnswer(),
        "config-storm", new ConfigStorm(),
        "odd-keys", new OddKeys(),
        "crashing-request", new CrashingRequest(),
        "large-bodies", new LargeBodies());

    private Main() {}

    public static void main(String[] args) {
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Lab lab = new Lab(Path.of(args[1], "record.txt"), trouble)) {
            lab.record("case %s, %s the disruption", args[0], trouble ? "with" : "without");
            CASES.get(args[0]).run(lab);
            code = lab.verdict();
        } catch (Throwable e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
