package org.knapweedhatch.answer;

import org.knapweedhatch.member.MembershipView;
import org.knapweedhatch.steer.Roster;
import org.knapweedhatch.world.Host;

/** A host as callers and other hosts meet it. */
interface FakeHost {

    Host self();

    void arrive(Call call);

    void view(MembershipView view);

    void adopt(Roster roster);

    void kill();

    boolean dead();
}
