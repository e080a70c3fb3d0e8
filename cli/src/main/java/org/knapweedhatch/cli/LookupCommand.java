package org.knapweedhatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.world.Address;
import org.kohsuke.args4j.Option;

/** Asks an entry host which hosts a client is to use. */
final class LookupCommand implements Command {

    @Option(name = "--client", metaVar = "IP", required = true, usage = "IP number of the client")
    private String client;

    @Option(name = "--team", metaVar = "TEAM", usage = "team of the client")
    private String team = "";

    @Override
    public String name() {
        return "lookup";
    }

    @Override
    public String summary() {
        return "Asks an entry host which hosts a client is to use.";
    }

    @Override
    public ExitCode run(Session session) {
        Result<List<Address>> hosts = session.hosts();
        if (!hosts.isOk()) {
            return session.unreachable(hosts.fault());
        }
        String path = "/-/lookup?client=" + encoded(client) + (team.isEmpty() ? "" : "&team=" + encoded(team));
        Fault last = Fault.at(Step.SETTINGS, "", "no entry host is known");
        for (Address host : hosts.orThrow()) {
            Result<JsonNode> answer = session.ask(host, path);
            if (answer.isOk()) {
                session.print(answer.orThrow(), lines(answer.orThrow()));
                return ExitCode.OK;
            }
            last = answer.fault();
        }
        return session.unreachable(last);
    }

    private static List<String> lines(JsonNode answer) {
        List<String> lines = new ArrayList<>();
        for (JsonNode host : answer.path("hosts")) {
            lines.add(String.format(
                    "%-21s weight %s",
                    host.path("address").asText(), host.path("weight").asText()));
        }
        lines.add("time to live " + answer.path("ttlSeconds").asText() + " s");
        return lines;
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
