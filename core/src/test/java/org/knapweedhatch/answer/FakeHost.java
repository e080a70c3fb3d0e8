package org.knapweedhatch.answer;

import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.world.Host;

/** A simulated host as callers and other hosts see it. */
interface FakeHost {

    Host self();

    void arrive(Call call);

    void view(MembershipView view);

    void adopt(Roster roster);

    void kill();

    boolean dead();
}
