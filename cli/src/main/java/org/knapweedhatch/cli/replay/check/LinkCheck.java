package org.knapweedhatch.cli.replay.check;

import java.util.HashMap;
import java.util.Map;
import org.knapweedhatch.world.Configuration;

/** No link carries more bytes than declared, over any window longer than its allowance for bursts. */
public final class LinkCheck implements Observer {

    /** Time for which a link may be sent at once what it carries. */
    static final double BURST_SECONDS = 0.2;

    private final Breaches breaches;
    private final Map<String, Window> windows = new HashMap<>();

    /** Creates the check. */
    public LinkCheck(Breaches breaches) {
        this.breaches = breaches;
    }

    @Override
    public void accepted(long nanos, Configuration configuration) {
        configuration.links().values().forEach(link -> {
            double rate = link.bytesPerSecond();
            windows.computeIfAbsent(link.name(), name -> new Window(rate, rate * BURST_SECONDS));
        });
    }

    @Override
    public void sent(long nanos, String link, long bytes) {
        Window window = windows.get(link);
        double over = window == null ? bytes : window.add(nanos, bytes);
        if (over > 0) {
            breaches.add(Promise.LINK_BYTES, nanos, "link:" + link, String.format("%.0f bytes over", over));
        }
    }
}
