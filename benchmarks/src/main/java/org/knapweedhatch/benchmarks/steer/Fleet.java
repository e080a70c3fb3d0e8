package org.knapweedhatch.benchmarks.steer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.knapweedhatch.member.Load;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MemberState;
import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.ClientBlock;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.FailureDomain;
import org.knapweedhatch.world.Host;
import org.knapweedhatch.world.RateLimit;
import org.knapweedhatch.world.Region;
import org.knapweedhatch.world.Service;
import org.knapweedhatch.world.Shift;
import org.knapweedhatch.world.Target;
import org.knapweedhatch.world.Team;

/** A deployment of 27 regions, 63 failure domains, 1,000 hosts and 290 targets. */
final class Fleet {

    static final int REGIONS = 27;
    static final int DOMAINS = 63;
    static final int HOSTS = 1_000;
    static final int TARGETS = 290;
    static final int TEAMS = 1_000;
    static final int BLOCKS = 230_000;

    final Configuration configuration;
    final List<Host> hosts = new ArrayList<>();

    Fleet() {
        Configuration.Builder builder = Configuration.builder().service(new Service("orders", Duration.ofSeconds(5)));
        for (int i = 0; i < REGIONS; i++) {
            builder.region(new Region("region-" + i));
            builder.shift(new Shift("orders", "region-" + i, "region-" + (i + 1) % REGIONS, 0.2));
        }
        for (int i = 0; i < DOMAINS; i++) {
            builder.domain(new FailureDomain("domain-" + i, "region-" + i % REGIONS));
        }
        Address address = Address.parse("127.0.0.1:9000");
        for (int i = 0; i < HOSTS; i++) {
            int domain = i % DOMAINS;
            hosts.add(new Host("host-" + i, "region-" + domain % REGIONS, "domain-" + domain, address, address));
        }
        for (int i = 0; i < TARGETS; i++) {
            builder.target(new Target("target-" + i, "orders", "domain-" + i % DOMAINS, address, 64, 330));
        }
        for (int i = 0; i < TEAMS; i++) {
            builder.team(new Team("team-" + i, new RateLimit(100, 50)));
        }
        configuration = builder.build(1);
    }

    MembershipView view() {
        List<Member> members = hosts.stream()
                .map(host -> new Member(host, 1, MemberState.ALIVE, 1, Load.NONE))
                .toList();
        return MembershipView.of(hosts.get(0).name(), members);
    }

    Roster roster() {
        List<Roster.Entry> entries = hosts.stream()
                .map(h -> new Roster.Entry(h.name(), h.region(), h.domain(), 1, true))
                .toList();
        return Roster.of(1, 1, 0, entries);
    }

    static List<ClientBlock> blocks() {
        Random random = new Random(1);
        List<ClientBlock> blocks = new ArrayList<>(BLOCKS);
        for (int i = 0; i < BLOCKS; i++) {
            int third = i << 8;
            String cidr = (1 + (third >>> 24)) + "." + (third >>> 16 & 255) + "." + (third >>> 8 & 255) + ".0/24";
            blocks.add(new ClientBlock(cidr, "region-" + random.nextInt(REGIONS)));
        }
        return blocks;
    }
}
