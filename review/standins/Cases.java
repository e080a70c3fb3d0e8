import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;

/** Runs one case: {@code Cases NAME ROOT FOLDER}. */
public final class Cases {

    /** Longest run of a case; a run that takes longer could not run. */
    private static final long MAX_RUN_MS = 118_000;

    /** Part of a service's configuration that all cases share. */
    static final String SERVICES =
            "\"Services\":[{\"Name\":\"huvo11a\",\"HealthPath\":\"/health\",\"MaxConns\":330,\"Protocol\":\"h1\",\"Tls\":false,"
                    + "\"ColdStart\":\"3s\",\"ColdPerS\":15.0},{\"Name\":\"wuno96b\",\"HealthPath\":\"/health\",\"MaxConns\":330,"
                    + "\"Protocol\":\"h1\",\"Tls\":false,\"ColdStart\":\"3s\",\"ColdPerS\":15.0},"
                    + "{\"Name\":\"kafi81c\",\"HealthPath\":\"/health\",\"MaxConns\":330,\"Protocol\":\"h1\",\"Tls\":false,"
                    + "\"ColdStart\":\"3s\",\"ColdPerS\":15.0},{\"Name\":\"lovo22d\",\"HealthPath\":\"/health\",\"MaxConns\":330,"
                    + "\"Protocol\":\"h1\",\"Tls\":false,\"ColdStart\":\"3s\",\"ColdPerS\":15.0}],"
                    + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\","
                    + "\"IdleTimeout\":\"15000ms\"}";

    static final String KEY = "s989anu6wsjnbanfqasn";

    private Cases() {}

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Returns a configuration with a safe route /leny950/ and an unsafe route /puka111/. */
    static String configuration(int version, int safeTimeoutMs, int unsafeTimeoutMs) {
        return "{\"Version\":\"r" + version + "\",\"Routes\":["
                + "{\"Name\":\"r-frge9it\",\"Host\":\"hulo84.example\",\"PathPrefix\":\"/leny950/\",\"Type\":\"safe\",\"Timeout\":\""
                + safeTimeoutMs + "ms\",\"TargetLatency\":\"1000ms\",\"Priority\":2,\"Service\":\"huvo11a\",\"MaxAttempts\":2,"
                + "\"NoAuth\":false,\"Sticky\":false,\"AllowedRegions\":[]},"
                + "{\"Name\":\"r-frzm2d5\",\"Host\":\"hulo84.example\",\"PathPrefix\":\"/puka111/\",\"Type\":\"unsafe\",\"Timeout\":\""
                + unsafeTimeoutMs + "ms\",\"TargetLatency\":\"1000ms\",\"Priority\":1,\"Service\":\"wuno96b\",\"MaxAttempts\":2,"
                + "\"NoAuth\":false,\"Sticky\":false,\"AllowedRegions\":[]}],"
                + SERVICES
                + ",\"Tenants\":[{\"Name\":\"cuka620\",\"ApiKeys\":[\"" + KEY
                + "\"],\"Priority\":1,\"RatePerS\":0,\"Burst\":0,\"AllowedRegions\":[]}]}";
    }

    /** A case; returns whether the rule held. */
    interface Case {
        boolean run(Path root, Record record) throws Exception;
    }

    public static void main(String[] args) throws IOException {
        Case chosen =
                switch (args[0]) {
                    case "pipelined-stop" -> PipelinedStop::run;
                    case "abandoned-answers" -> AbandonedAnswers::run;
                    case "extra-bytes" -> ExtraBytes::run;
                    case "foreign-entry" -> ForeignEntry::run;
                    case "grown-configuration" -> GrownConfiguration::run;
                    default -> throw new IllegalArgumentException("no case " + args[0]);
                };
        Record record = new Record(Path.of(args[2]).resolve("record.txt"));
        record.line("case " + args[0] + (trouble() ? "" : ", without the disruption"));
        Threads.start("limit", () -> {
            Threads.sleep(MAX_RUN_MS);
            record.say("could not run: takes too long");
            System.exit(2);
        });
        int code;
        try {
            boolean held = chosen.run(Path.of(args[1]), record);
            record.say(held ? "the rule held" : "the rule was broken");
            code = held ? 0 : 1;
        } catch (Exception e) {
            record.say(String.format(Locale.ROOT, "could not run: %s", e));
            code = 2;
        }
        System.exit(code);
    }
}
