package org.knapweedhatch.cli;

import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.release.Head;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.world.Address;

/** Shows which hosts have the latest configuration in force. */
final class ReleaseStatusCommand implements Command {

    /** The latest number, and what each host has in force. */
    record Report(long latest, long inForceOn, List<HostStatus> hosts) {}

    @Override
    public String name() {
        return "release status";
    }

    @Override
    public String summary() {
        return "Shows which hosts have the latest configuration in force; fails where one has not.";
    }

    @Override
    public ExitCode run(Session session) {
        Result<Head> head = session.releases().then(ReleaseStore::head);
        Result<List<Address>> hosts = session.hosts();
        if (!hosts.isOk()) {
            return session.unreachable(hosts.fault());
        }
        List<HostStatus> all = HostStatus.ask(session, hosts.orThrow());
        long highest = all.stream().mapToLong(HostStatus::configuration).max().orElse(0);
        long latest = head.isOk() ? Math.max(highest, head.orThrow().number()) : highest;
        long inForce = all.stream()
                .filter(h -> h.answered() && h.configuration() == latest)
                .count();
        List<String> lines = new ArrayList<>();
        lines.add("configuration " + latest + " is in force on " + inForce + " of " + all.size() + " hosts");
        lines.add(HostStatus.heading());
        all.forEach(host -> lines.add(host.line()));
        session.print(new Report(latest, inForce, all), lines);
        if (!head.isOk()) {
            return session.unreachable(head.fault());
        }
        return inForce == all.size() ? ExitCode.OK : ExitCode.FAILED;
    }
}
