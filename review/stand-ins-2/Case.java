import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;

/** Exit codes of the cases: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
    private Case() {}

    static boolean trouble() { return !"0".equals(System.getenv("TROUBLE")); }

    static String newId() { return String.format("%016x", ThreadLocalRandom.current().nextLong()); }

    static void run(Callable<Integer> play) {
        int code = 2;
        try {
            code = play.call();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
