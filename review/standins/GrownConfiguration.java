import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The configuration grows by many routes three times; then a key is taken away. No host may accept it any more. */
final class GrownConfiguration {

    /** Routes that one change adds. */
    private static final int ROUTES = 1_400;

    private static final int CHANGES = 3;
    private static final String WITHDRAWN = "mgkcuyj8pjbvk9m68k7b";

    private GrownConfiguration() {}

    static boolean run(Path root, Record record) throws Exception {
        try (Deployment deployment = new Deployment(root, record, 500)) {
            for (int i = 0; i < 8; i++) {
                deployment.target("i-00000" + (10 + i), i % 2 == 0 ? "huvo11a" : "wuno96b",
                        i % 4 < 2 ? "lima-cercado" : "arequipa-centro", 9);
            }
            deployment.configure(configuration(7, 0, true));
            List<Deployment.Front> fronts = new ArrayList<>();
            for (int i = 1; i <= 4; i++) {
                fronts.add(deployment.front(i, i < 4 ? "lima-cercado" : "arequipa-centro"));
            }
            for (Deployment.Front front : fronts) {
                deployment.awaitReady(front);
            }
            Threads.sleep(Deployment.STABLE_WINDOW_MS);
            int version = 7;
            for (int change = 1; change <= CHANGES; change++) {
                version++;
                int routes = Cases.trouble() ? change * ROUTES : 0;
                write(deployment, record, version, configuration(version, routes, true));
                Threads.sleep(6_000);
            }
            version++;
            write(deployment, record, version, configuration(version, Cases.trouble() ? CHANGES * ROUTES : 0, false));
            Threads.sleep(Deployment.CONFIG_APPLY_MS);
            long begin = record.millis();
            int broken = 0;
            while (record.millis() < begin + 15_000) {
                for (Deployment.Front front : fronts) {
                    broken += probe(front, record) ? 1 : 0;
                }
                Threads.sleep(300);
            }
            record.say(broken + " requests with the withdrawn key ran later than ConfigApply after its withdrawal");
            return broken == 0;
        }
    }

    private static void write(Deployment deployment, Record record, int version, String json) {
        deployment.configure(json);
        record.say("the store acknowledges r" + version + " with " + json.length() + " bytes");
    }

    /** Sends one request with the withdrawn key; returns whether it ran. */
    private static boolean probe(Deployment.Front front, Record record) {
        String id = Client.newId();
        try (Client client = new Client(front.edge())) {
            client.socket.setSoTimeout(2_500);
            client.send("POST", "/puka111/2f?work=20", id, WITHDRAWN, 2_000, new byte[300]);
            Http.Message answer = client.read();
            record.line(front.name() + " answers " + (answer == null ? "nothing" : answer.status()) + " to " + id);
        } catch (IOException e) {
            record.line(front.name() + ": " + e.getMessage() + " for " + id);
        }
        boolean ran = record.runs(id) > 0;
        if (ran) {
            record.line("CONFIG: " + id + " with a withdrawn key was run by way of " + front.name());
        }
        return ran;
    }

    private static String configuration(int version, int routes, boolean withKey) {
        String plain = Cases.configuration(version, 2_000, 2_500);
        StringBuilder more = new StringBuilder("\"Routes\":[");
        for (int i = 0; i < routes; i++) {
            more.append(String.format(Locale.ROOT,
                    "{\"Name\":\"r-x%06d\",\"Host\":\"hulo84.example\",\"PathPrefix\":\"/more%06d/\",\"Type\":\"safe\","
                            + "\"Timeout\":\"2000ms\",\"TargetLatency\":\"300ms\",\"Priority\":2,\"Service\":\"huvo11a\","
                            + "\"MaxAttempts\":2,\"NoAuth\":false,\"Sticky\":false,\"AllowedRegions\":[]},",
                    i, i));
        }
        String grown = plain.replace("\"Routes\":[", more);
        return withKey ? grown.replace("\"" + Cases.KEY + "\"", "\"" + Cases.KEY + "\",\"" + WITHDRAWN + "\"") : grown;
    }
}
