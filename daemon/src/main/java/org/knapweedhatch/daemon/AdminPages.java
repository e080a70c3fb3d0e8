package org.knapweedhatch.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Optional;
import org.knapweedhatch.admin.Admin;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.steer.LookUpAnswer;
import org.knapweedhatch.timeline.TimelineJson;
import org.knapweedhatch.world.Host;

/** The admin pages of one host. */
final class AdminPages {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long MAX_EVENTS = 1_000;

    private final EntryHost host;

    AdminPages(EntryHost host) {
        this.host = host;
    }

    Admin pages() {
        return Admin.builder()
                .page("/-/live", query -> Admin.Reply.text(OK, "live\n"))
                .page("/-/ready", query -> ready())
                .page("/-/status", query -> Admin.Reply.json(status()))
                .page("/-/lookup", this::lookUp)
                .page("/-/timeline", this::timeline)
                .page("/-/metrics", query -> Admin.Reply.text(OK, host.metrics().scrape()))
                .build();
    }

    private Admin.Reply ready() {
        boolean ready = host.ready();
        return Admin.Reply.text(ready ? OK : UNAVAILABLE, ready ? "ready\n" : "not ready\n");
    }

    private ObjectNode status() {
        Host self = host.settings().host();
        ObjectNode node = JSON.createObjectNode();
        node.put("host", self.name());
        node.put("region", self.region());
        node.put("domain", self.domain());
        node.put("incarnation", host.incarnation());
        node.put("configuration", host.configuration().number());
        node.put("drain", host.drainState().name().toLowerCase(Locale.ROOT));
        node.put("inFlight", host.inFlight());
        node.put("platformReachable", host.platformReachable());
        ArrayNode members = node.putArray("members");
        host.view().members().values().stream()
                .sorted((one, other) -> one.name().compareTo(other.name()))
                .forEach(member -> members.add(member(member)));
        return node;
    }

    private static ObjectNode member(Member member) {
        ObjectNode node = JSON.createObjectNode();
        node.put("host", member.name());
        node.put("region", member.host().region());
        node.put("domain", member.host().domain());
        node.put("state", member.state().name());
        node.put("configuration", member.configuration());
        return node;
    }

    private Admin.Reply lookUp(Admin.Query query) {
        Optional<LookUpAnswer> found = host.lookUp(query.text("client", query.sourceIp()), query.text("team", ""));
        if (found.isEmpty()) {
            return Admin.Reply.text(UNAVAILABLE, "not ready\n");
        }
        LookUpAnswer answer = found.get();
        ObjectNode node = JSON.createObjectNode();
        node.put("region", answer.region());
        node.put("configuration", answer.configuration());
        node.put("ttlSeconds", answer.timeToLive().toSeconds());
        ArrayNode hosts = node.putArray("hosts");
        for (LookUpAnswer.Choice choice : answer.choices()) {
            ObjectNode one = hosts.addObject();
            one.put("host", choice.host().name());
            one.put("address", choice.host().edge().toString());
            one.put("rank", choice.rank());
            one.put("weight", choice.weight());
        }
        return Admin.Reply.json(answer.choices().isEmpty() ? UNAVAILABLE : OK, node);
    }

    private Admin.Reply timeline(Admin.Query query) {
        long after = query.number("after", 0);
        long max = Math.min(MAX_EVENTS, query.number("max", MAX_EVENTS));
        String page = TimelineJson.render(host.timeline().since(after, (int) max));
        return new Admin.Reply(OK, "application/json", page);
    }
}
