package org.knapweedhatch.daemon;

import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.log.EventLog;
import org.knapweedhatch.log.LineKind;
import org.knapweedhatch.member.Member;
import org.knapweedhatch.member.MembershipView;

/** Logs each change of what this host believes of the others; for one thread. */
final class HostWatch {

    private final EventLog log;
    private final Map<String, Member> known = new HashMap<>();

    HostWatch(EventLog log) {
        this.log = log;
    }

    /** Takes in the members as they are seen now. */
    void seen(MembershipView view) {
        for (Member member : view.members().values()) {
            Member before = known.put(member.name(), member);
            boolean same = before != null
                    && before.state() == member.state()
                    && before.incarnation() == member.incarnation()
                    && before.takesWork() == member.takesWork();
            if (!same) {
                log.line(LineKind.HOST)
                        .put("peer", member.name())
                        .put("state", member.state().name())
                        .put("takesWork", member.takesWork())
                        .put(
                                "before",
                                before == null ? "unknown" : before.state().name())
                        .put("incarnation", member.incarnation())
                        .put("configuration", member.configuration())
                        .write();
            }
        }
        known.keySet().retainAll(view.members().keySet());
    }
}
