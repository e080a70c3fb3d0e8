package org.knapweedhatch.edge;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.knapweedhatch.answer.Effect;
import org.knapweedhatch.answer.Event;
import org.knapweedhatch.answer.RequestCoordinator;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;

/** The requests in progress on this host: passes their events to the decisions and performs what those ask for. */
public final class Requests {

    private final RequestCoordinator answering;
    private final Consumer<OutgoingMessage> sender;
    private final Map<Long, CallerRequest> running = new ConcurrentHashMap<>();

    private Requests(RequestCoordinator answering, Consumer<OutgoingMessage> sender) {
        this.answering = answering;
        this.sender = sender;
    }

    /** Creates an empty set; {@code sender} sends a message to another host. */
    public static Requests of(RequestCoordinator answering, Consumer<OutgoingMessage> sender) {
        return new Requests(answering, sender);
    }

    /** Takes a message of another host in. */
    public void receive(String from, PeerMessage message) {
        perform(answering.on(from, message));
    }

    /** Does what is due by time; to be called every few milliseconds. */
    public void tick() {
        perform(answering.tick());
    }

    /** Returns how many requests are in progress. */
    public int size() {
        return running.size();
    }

    void add(CallerRequest request) {
        running.put(request.number(), request);
    }

    void remove(CallerRequest request) {
        running.remove(request.number());
    }

    void on(Event event) {
        perform(answering.on(event));
    }

    private void perform(List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Send send) {
                sender.accept(send.message());
            } else if (effect instanceof Effect.RequestEffect concerned) {
                hand(concerned);
            }
        }
    }

    private void hand(Effect.RequestEffect effect) {
        CallerRequest request = running.get(effect.request());
        if (request != null) {
            request.perform(effect);
        }
    }
}
