package org.knapweedhatch.report;

import java.util.List;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.PeerMessage;

/** Reports of several hosts that the collector of a failure domain passes on in one message. */
public record ReportBundle(List<Item> items) implements PeerMessage {

    /**
     * A report and the process that it comes from.
     *
     * @param host name of the host
     * @param incarnation incarnation of its process
     * @param report the report
     */
    public record Item(String host, long incarnation, HostReport report) {
        public Item {
            Validate.notEmpty(host, "host");
            Validate.notNull(report, "report");
        }
    }

    public ReportBundle {
        items = List.copyOf(items);
    }
}
