package org.knapweedhatch.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.knapweedhatch.world.Host;

/** Hosts whose addresses are known but that have not been heard from: the receivers of introductions. */
final class Contacts {

    private static final class Contact {
        private final Host host;
        private int attempts;
        private long dueNanos;

        private Contact(Host host, long dueNanos) {
            this.host = host;
            this.dueNanos = dueNanos;
        }
    }

    private final Map<String, Contact> contactsByName = new HashMap<>();

    /** Adds hosts named by the settings, a peer or the platform's host list. */
    void add(Collection<Host> hosts, long nowNanos) {
        for (Host host : hosts) {
            Contact known = contactsByName.get(host.name());
            if (known == null || !known.host.equals(host)) {
                contactsByName.put(host.name(), new Contact(host, nowNanos));
            }
        }
    }

    void removeIf(Predicate<Host> condition) {
        contactsByName.values().removeIf(contact -> condition.test(contact.host));
    }

    Optional<Host> get(String name) {
        return Optional.ofNullable(contactsByName.get(name)).map(contact -> contact.host);
    }

    /** Returns the wanted hosts whose next introduction is due, and counts it as sent. */
    List<Host> due(Predicate<Host> wanted, long nowNanos) {
        List<Host> due = new ArrayList<>();
        for (Contact contact : contactsByName.values()) {
            if (nowNanos < contact.dueNanos || !wanted.test(contact.host)) {
                continue;
            }
            contact.attempts++;
            boolean fast = contact.attempts < Timing.FAST_INTRODUCTIONS;
            contact.dueNanos = nowNanos + (fast ? Timing.INTRODUCTION_INTERVAL : Timing.SLOW_INTRODUCTION_INTERVAL);
            due.add(contact.host);
        }
        return due;
    }

    /** Returns all contacts that match a condition. */
    List<Host> all(Predicate<Host> wanted) {
        return contactsByName.values().stream()
                .map(contact -> contact.host)
                .filter(wanted)
                .toList();
    }
}
