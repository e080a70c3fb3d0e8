package org.knapweedhatch.cli;

import java.util.ArrayList;
import java.util.List;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.world.Address;

/** Shows what each host says of itself. */
final class HostsCommand implements Command {

    /** What each host says. */
    record Report(List<HostStatus> hosts) {}

    @Override
    public String name() {
        return "hosts";
    }

    @Override
    public String summary() {
        return "Shows each entry host: place, configuration in force, drain state and requests in flight.";
    }

    @Override
    public ExitCode run(Session session) {
        Result<List<Address>> hosts = session.hosts();
        if (!hosts.isOk()) {
            return session.unreachable(hosts.fault());
        }
        List<HostStatus> all = HostStatus.ask(session, hosts.orThrow());
        List<String> lines = new ArrayList<>();
        lines.add(HostStatus.heading());
        all.forEach(host -> lines.add(host.line()));
        session.print(new Report(all), lines);
        return all.stream().anyMatch(HostStatus::answered) ? ExitCode.OK : ExitCode.UNREACHABLE;
    }
}
