package org.knapweedhatch.settings;

import java.util.List;

/** A settings file of a host on the users' platform. */
public final class ExampleSettings {

    /** The lines of the file, without a fault. */
    public static final List<String> LINES = List.of(
            "[host]",
            "name = lima-a-1",
            "region = lima",
            "failure-domain = lima-a",
            "edge = 127.0.0.11:8080",
            "peer = 127.0.0.11:8081",
            "[listen]",
            "ready = 127.0.0.11:8082",
            "directory = 127.0.0.11:8083",
            "metrics = 127.0.0.11:9464",
            "[platform]",
            "address = 127.0.0.1:8500",
            "heartbeat = 1500ms",
            "[fleet]",
            "secret = sixteen-characters-or-more",
            "seeds = 127.0.0.12:8081, 127.0.0.13:8081",
            "[domains]",
            "lima-a = lima",
            "[terms]",
            "stop-grace = 6s",
            "region-shift = 0.15");

    private ExampleSettings() {}
}
