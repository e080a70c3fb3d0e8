package org.knapweedhatch.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedhatch.admin.Admin;
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
                .page("/-/timeline", this::timeline)
                .build();
    }

    private Admin.Reply ready() {
        boolean ready = host.configuration().number() > 0;
        return Admin.Reply.text(ready ? OK : UNAVAILABLE, ready ? "ready\n" : "no configuration yet\n");
    }

    private ObjectNode status() {
        Host self = host.settings().host();
        ObjectNode node = JSON.createObjectNode();
        node.put("host", self.name());
        node.put("region", self.region());
        node.put("domain", self.domain());
        node.put("configuration", host.configuration().number());
        node.put("platformReachable", host.platformReachable());
        return node;
    }

    private Admin.Reply timeline(Admin.Query query) {
        long after = query.number("after", 0);
        long max = Math.min(MAX_EVENTS, query.number("max", MAX_EVENTS));
        String page = TimelineJson.render(host.timeline().since(after, (int) max));
        return new Admin.Reply(OK, "application/json", page);
    }
}
