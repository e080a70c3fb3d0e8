package org.knapweedhatch.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.peer.proto.BundledReportRecord;
import org.knapweedhatch.peer.proto.HostReportRecord;
import org.knapweedhatch.peer.proto.RateExceededRecord;
import org.knapweedhatch.peer.proto.ReportBundleRecord;
import org.knapweedhatch.peer.proto.TokenReplyRecord;
import org.knapweedhatch.peer.proto.TokenRequestRecord;
import org.knapweedhatch.peer.proto.TokenReturnRecord;
import org.knapweedhatch.platform.StoreVersion;
import org.knapweedhatch.quota.FleetSize;
import org.knapweedhatch.quota.RateLimitExceeded;
import org.knapweedhatch.quota.TokenReply;
import org.knapweedhatch.quota.TokenRequest;
import org.knapweedhatch.quota.TokenReturn;
import org.knapweedhatch.report.HostReport;
import org.knapweedhatch.report.ReportBundle;

/** The messages about the load that hosts carry, and about the limits that they share. */
public final class ReportCodec implements PeerCodec {

    private static final double DEMAND_UNIT = 1_000;

    @Override
    public List<MessageKind<?>> kinds() {
        return List.of(
                new MessageKind<>(
                        70, HostReport.class, ReportCodec::report, body -> report(HostReportRecord.parseFrom(body))),
                new MessageKind<>(
                        74,
                        ReportBundle.class,
                        ReportCodec::bundle,
                        body -> bundle(ReportBundleRecord.parseFrom(body))),
                new MessageKind<>(
                        71,
                        TokenRequest.class,
                        message -> TokenRequestRecord.newBuilder()
                                .setId(message.id())
                                .setTeam(message.team())
                                .build(),
                        body -> tokenRequest(TokenRequestRecord.parseFrom(body))),
                new MessageKind<>(
                        72,
                        TokenReply.class,
                        ReportCodec::tokenReply,
                        body -> tokenReply(TokenReplyRecord.parseFrom(body))),
                new MessageKind<>(
                        73,
                        TokenReturn.class,
                        message -> TokenReturnRecord.newBuilder()
                                .setTeam(message.team())
                                .build(),
                        body -> new TokenReturn(Validate.notEmpty(
                                TokenReturnRecord.parseFrom(body).getTeam(), "team"))));
    }

    private static ReportBundleRecord bundle(ReportBundle message) {
        ReportBundleRecord.Builder record = ReportBundleRecord.newBuilder();
        message.items()
                .forEach(item -> record.addItems(BundledReportRecord.newBuilder()
                        .setHost(item.host())
                        .setIncarnation(item.incarnation())
                        .setReport(report(item.report()))));
        return record.build();
    }

    private static ReportBundle bundle(ReportBundleRecord record) {
        return new ReportBundle(record.getItemsList().stream()
                .map(item -> new ReportBundle.Item(item.getHost(), item.getIncarnation(), report(item.getReport())))
                .toList());
    }

    private static TokenRequest tokenRequest(TokenRequestRecord record) {
        return new TokenRequest(record.getId(), Validate.notEmpty(record.getTeam(), "team"));
    }

    private static TokenReplyRecord tokenReply(TokenReply message) {
        TokenReplyRecord.Builder record =
                TokenReplyRecord.newBuilder().setId(message.id()).setUndecided(!message.decided());
        message.exceeded()
                .ifPresent(exceeded -> record.setExceeded(RateExceededRecord.newBuilder()
                        .setRetryAfterNanos(exceeded.retryAfter().toNanos())
                        .setRate(exceeded.rate())
                        .setFleetTokens(exceeded.fleetTokens())
                        .setHostTokens(exceeded.hostTokens())
                        .setHosts(exceeded.fleet().hosts())
                        .setHeard(exceeded.fleet().heard())));
        return record.build();
    }

    private static TokenReply tokenReply(TokenReplyRecord record) {
        if (!record.hasExceeded()) {
            return new TokenReply(record.getId(), !record.getUndecided(), Optional.empty());
        }
        RateExceededRecord exceeded = record.getExceeded();
        return new TokenReply(
                record.getId(),
                true,
                Optional.of(new RateLimitExceeded(
                        Duration.ofNanos(Validate.notNegative(exceeded.getRetryAfterNanos(), "retry after")),
                        exceeded.getRate(),
                        exceeded.getFleetTokens(),
                        exceeded.getHostTokens(),
                        new FleetSize(exceeded.getHosts(), exceeded.getHeard()))));
    }

    private static HostReportRecord report(HostReport message) {
        HostReportRecord.Builder record = HostReportRecord.newBuilder().setSequence(message.sequence());
        message.inFlight()
                .forEach((target, uses) -> record.addUsedTargets(target).addUses(uses));
        message.teamDemand()
                .forEach((team, demand) -> record.addTeams(team)
                        .addTeamDemand(units(demand))
                        .addTeamSpent(message.teamSpent().getOrDefault(team, 0L)));
        message.serviceDemand()
                .forEach((service, demand) -> record.addServices(service).addServiceDemand(units(demand)));
        boolean inEra = message.storeVersions().stream().anyMatch(version -> version.era() > 0);
        message.storeVersions().forEach(version -> {
            record.addHeld(version.revision());
            if (inEra) {
                record.addHeldEras(version.era());
            }
        });
        return record.build();
    }

    private static long units(double demand) {
        return Math.round(demand * DEMAND_UNIT);
    }

    private static HostReport report(HostReportRecord record) {
        Map<Integer, Integer> uses = new HashMap<>();
        Validate.isTrue(record.getUsesCount() == record.getUsedTargetsCount(), "uses without their targets");
        for (int i = 0; i < record.getUsesCount(); i++) {
            uses.put(record.getUsedTargets(i), (int) Validate.notNegative(record.getUses(i), "uses"));
        }
        return new HostReport(
                record.getSequence(),
                uses,
                demand(record.getTeamsList(), record.getTeamDemandList()),
                spent(record.getTeamsList(), record.getTeamSpentList()),
                demand(record.getServicesList(), record.getServiceDemandList()),
                storeVersions(record));
    }

    private static List<StoreVersion> storeVersions(HostReportRecord record) {
        boolean inEra = record.getHeldErasCount() > 0;
        Validate.isTrue(!inEra || record.getHeldErasCount() == record.getHeldCount(), "eras without their versions");
        return IntStream.range(0, record.getHeldCount())
                .mapToObj(i -> new StoreVersion(inEra ? record.getHeldEras(i) : 0, record.getHeld(i)))
                .toList();
    }

    private static Map<Integer, Long> spent(List<Integer> names, List<Long> counts) {
        Validate.isTrue(names.size() == counts.size(), "spent requests without their teams");
        Map<Integer, Long> spent = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            spent.put(names.get(i), Validate.notNegative(counts.get(i), "spent requests"));
        }
        return spent;
    }

    private static Map<Integer, Double> demand(List<Integer> names, List<Long> units) {
        Validate.isTrue(names.size() == units.size(), "demand without its names");
        Map<Integer, Double> demand = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            demand.put(names.get(i), Validate.notNegative(units.get(i), "demand") / DEMAND_UNIT);
        }
        return demand;
    }
}
