package org.knapweedhatch.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.peer.proto.HostReportRecord;
import org.knapweedhatch.report.HostReport;

/** The messages about the load that hosts carry. */
public final class ReportCodec implements PeerCodec {

    private static final double DEMAND_UNIT = 1_000;

    @Override
    public List<MessageKind<?>> kinds() {
        return List.of(new MessageKind<>(
                70, HostReport.class, ReportCodec::report, body -> report(HostReportRecord.parseFrom(body))));
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
        return record.addAllHeld(message.storeVersions()).build();
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
                record.getHeldList());
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
