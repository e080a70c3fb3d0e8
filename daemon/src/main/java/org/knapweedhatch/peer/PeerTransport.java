package org.knapweedhatch.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.helper.Validate;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.message.PeerMessage;
import org.knapweedhatch.peer.proto.Envelope;
import org.knapweedhatch.peer.proto.FetchRecord;
import org.knapweedhatch.peer.proto.FetchedRecord;
import org.knapweedhatch.peer.proto.SupersededRecord;
import org.knapweedhatch.world.Address;
import org.knapweedhatch.world.Host;

/**
 * Messages to and from other hosts: one authenticated connection per pair, made when needed.
 *
 * <p>Sending never blocks and may lose messages: a peer's queue is bounded and drops the oldest.
 *
 * <pre>{@code
 * PeerTransport transport = PeerTransport.builder(host, secret)
 *         .codecs(PeerCodecs.of(new MemberCodec()))
 *         .addresses(addressBook::peerAddress)
 *         .receiver(fleet::receive)
 *         .start();
 * transport.send(outgoing);
 * Result<byte[]> chunk = transport.fetch("lima-b-1", digest).join();
 * transport.stop();
 * }</pre>
 */
public final class PeerTransport {

    /** Message of the fault of a fetch by a name under which the peer has nothing to send. */
    public static final String NOT_HELD = "the peer does not hold it";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int THREADS = 2;

    private final Host host;
    private final byte[] secret;
    private final PeerCodecs codecs;
    private final Function<String, Optional<Address>> addresses;
    private final LongSupplier incarnation;
    private final LongSupplier hybridTime;
    private final LongConsumer hybridTimeSeen;
    private final PeerReceiver receiver;
    private final LongConsumer outdated;
    private final Function<String, Optional<byte[]>> store;
    private final LinkRule rule;
    private final PeerCounters counters = new PeerCounters();
    private final Fetches fetches = new Fetches(Limits.FETCHES);
    private final UnprovedConnections<PeerChannel> unproved;
    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
    private final EventLoopGroup loops;
    private volatile boolean stopped;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    private PeerTransport(Builder b) {
        host = b.host;
        secret = b.secret;
        codecs = b.codecs;
        addresses = b.addresses;
        incarnation = b.incarnation;
        hybridTime = b.hybridTime;
        hybridTimeSeen = b.hybridTimeSeen;
        receiver = b.receiver;
        outdated = b.outdated;
        store = b.store;
        rule = b.rule;
        unproved = new UnprovedConnections<>(b.maxUnproved);
        loops = new MultiThreadIoEventLoopGroup(
                THREADS, new DefaultThreadFactory("peer-" + host.name(), true), NioIoHandler.newFactory());
    }

    /** Returns a builder for the transport of a host that shares {@code secret} with all others. */
    public static Builder builder(Host host, String secret) {
        return new Builder(host, secret);
    }

    private void bind() {
        ChannelFuture bound = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(Pipelines.of(() -> PeerChannel.accepted(this)))
                .bind(host.peer().socketAddress())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw new IllegalStateException("peer: cannot listen at " + host.peer() + ": "
                    + bound.cause().getMessage());
        }
        channels.add(bound.channel());
        LOGGER.atInfo().log("peer: listening at %s", host.peer());
    }

    /** Sends a message; it is dropped where the peer cannot be reached soon. */
    public void send(OutgoingMessage outgoing) {
        send(outgoing.toHost(), codecs.encode(outgoing.message()));
    }

    /** Sends a message to some peers; it is written once for all of them. */
    public void send(Collection<String> peers, PeerMessage message) {
        Envelope.Builder envelope = codecs.encode(message);
        peers.forEach(peer -> send(peer, envelope));
    }

    private void send(String peer, Envelope.Builder envelope) {
        if (stopped || peer.equals(host.name()) || !rule.passes(host.name(), peer)) {
            counters.dropped.increment();
            return;
        }
        envelope.setIncarnation(incarnation.getAsLong()).setHybridTime(hybridTime.getAsLong());
        link(peer).send(envelope.build(), rule.delay(host.name(), peer));
    }

    /** Asks a peer for some bytes by name; the answer is a fault where it has none or does not answer in time. */
    public CompletableFuture<Result<byte[]>> fetch(String peer, String name) {
        CompletableFuture<Result<byte[]>> answer = new CompletableFuture<>();
        long id = fetches.open(peer, answer);
        if (id == 0) {
            answer.complete(Result.failed(Step.PEER, peer, "too many fetches wait"));
            return answer;
        }
        loops.next().schedule(() -> fetches.expire(id), Limits.FETCH_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        FetchRecord record = FetchRecord.newBuilder().setId(id).setName(name).build();
        send(peer, Envelope.newBuilder().setKind(WireKind.FETCH).setBody(record.toByteString()));
        return answer;
    }

    /** Returns the accepted connections that have not proved themselves. */
    UnprovedConnections<PeerChannel> unproved() {
        return unproved;
    }

    /** Takes in an envelope of a proved peer; returns false where it is malformed. */
    boolean receive(String from, long senderIncarnation, Envelope envelope) throws InvalidProtocolBufferException {
        hybridTimeSeen.accept(envelope.getHybridTime());
        switch (envelope.getKind()) {
            case WireKind.FETCH -> serve(from, FetchRecord.parseFrom(envelope.getBody()));
            case WireKind.FETCHED -> fetched(from, FetchedRecord.parseFrom(envelope.getBody()));
            case WireKind.OUTDATED ->
                outdated.accept(SupersededRecord.parseFrom(envelope.getBody()).getIncarnation());
            default -> {
                return receiveMessage(from, senderIncarnation, envelope);
            }
        }
        return true;
    }

    private boolean receiveMessage(String from, long senderIncarnation, Envelope envelope) {
        if (!codecs.knows(envelope.getKind())) {
            counters.unknownKinds.increment();
            return true;
        }
        Result<PeerMessage> message = codecs.decode(from, envelope);
        if (!message.isOk()) {
            return false;
        }
        counters.messagesReceived.increment();
        receiver.receive(from, senderIncarnation, message.orThrow());
        return true;
    }

    private void serve(String peer, FetchRecord request) {
        FetchedRecord.Builder answer = FetchedRecord.newBuilder().setId(request.getId());
        Optional<byte[]> body = store.apply(request.getName());
        body.ifPresent(bytes -> answer.setFound(true).setBody(ByteString.copyFrom(bytes)));
        send(
                peer,
                Envelope.newBuilder()
                        .setKind(WireKind.FETCHED)
                        .setBody(answer.build().toByteString()));
    }

    private void fetched(String peer, FetchedRecord answer) {
        Result<byte[]> result = answer.getFound()
                ? Result.ok(answer.getBody().toByteArray())
                : Result.failed(Step.PEER, peer, NOT_HELD);
        fetches.answer(peer, answer.getId(), result);
    }

    PeerLink link(String peer) {
        return links.computeIfAbsent(peer, name -> new PeerLink(name, host.name(), this::dial, loops.next(), counters));
    }

    private boolean dial(PeerLink link) {
        Optional<Address> address = addresses.apply(link.peer());
        address.ifPresent(a -> connect(a, () -> PeerChannel.dialled(this, link), link::dialFailed));
        return address.isPresent();
    }

    /** Connects to whoever listens at an address; {@code proved} learns its name once it has proved itself. */
    public void explore(Address address, Consumer<String> proved) {
        connect(address, () -> PeerChannel.exploring(this, proved), () -> {});
    }

    /** Connects to whoever listens at some addresses but this host's own, and greets each by its name. */
    public void explore(List<Address> seeds, Function<String, OutgoingMessage> greeting) {
        seeds.stream()
                .filter(seed -> !seed.equals(host.peer()))
                .forEach(seed -> explore(seed, name -> send(greeting.apply(name))));
    }

    private void connect(Address address, Supplier<PeerChannel> handler, Runnable failed) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Limits.CONNECT_TIMEOUT.toMillis())
                .handler(Pipelines.of(handler));
        bootstrap.connect(address.socketAddress()).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                channels.add(connected.channel());
            } else {
                failed.run();
            }
        });
    }

    /** Returns the counts since the start. */
    public PeerCounters counters() {
        return counters;
    }

    /** Returns the bytes sent since the start, by type of message; answers to fetches are {@code Fetched}. */
    public Map<String, LongSupplier> bytesSentByType() {
        Map<String, LongSupplier> bytes = new TreeMap<>();
        codecs.numbers().forEach((type, number) -> bytes.put(type, () -> counters.bytesSent(number)));
        bytes.put("Fetch", () -> counters.bytesSent(WireKind.FETCH));
        bytes.put("Fetched", () -> counters.bytesSent(WireKind.FETCHED));
        return bytes;
    }

    /** Returns the address at which this transport listens. */
    public InetSocketAddress address() {
        return channels.stream()
                .filter(NioServerSocketChannel.class::isInstance)
                .map(Channel::localAddress)
                .map(InetSocketAddress.class::cast)
                .findFirst()
                .orElseGet(() -> host.peer().socketAddress());
    }

    /** Closes all connections and stops listening; does nothing where that was done before. */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        links.values().forEach(PeerLink::close);
        awaitLastWords();
        channels.close().awaitUninterruptibly();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Waits until the links have closed their connections by themselves, or should have. */
    private void awaitLastWords() {
        CountDownLatch closed = new CountDownLatch(1);
        loops.schedule(closed::countDown, 2 * Limits.LAST_WORDS.toMillis(), TimeUnit.MILLISECONDS);
        try {
            closed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    String self() {
        return host.name();
    }

    long incarnation() {
        return incarnation.getAsLong();
    }

    byte[] secret() {
        return secret;
    }

    /** Gathers what a transport needs. */
    public static final class Builder {

        private static final int MIN_SECRET_BYTES = 16;

        private final Host host;
        private final byte[] secret;
        private PeerCodecs codecs = PeerCodecs.of();
        private Function<String, Optional<Address>> addresses = name -> Optional.empty();
        private LongSupplier incarnation = () -> 0;
        private LongSupplier hybridTime = () -> 0;
        private LongConsumer hybridTimeSeen = time -> {};
        private PeerReceiver receiver = (from, number, message) -> {};
        private LongConsumer outdated = number -> {};
        private Function<String, Optional<byte[]>> store = name -> Optional.empty();
        private LinkRule rule = LinkRule.open();
        private int maxUnproved = Limits.UNPROVED;

        private Builder(Host host, String secret) {
            this.host = Validate.notNull(host, "host");
            this.secret = Validate.notEmpty(secret, "secret").getBytes(StandardCharsets.UTF_8);
            Validate.isTrue(this.secret.length >= MIN_SECRET_BYTES, "the secret has under %d bytes", MIN_SECRET_BYTES);
        }

        /** Sets the kinds of messages that are sent and understood. */
        public Builder codecs(PeerCodecs known) {
            codecs = Validate.notNull(known, "codecs");
            return this;
        }

        /** Sets where the peer address of a host is found by the host's name. */
        public Builder addresses(Function<String, Optional<Address>> book) {
            addresses = Validate.notNull(book, "addresses");
            return this;
        }

        /** Sets where the number of this process comes from. */
        public Builder incarnation(LongSupplier number) {
            incarnation = Validate.notNull(number, "incarnation");
            return this;
        }

        /** Sets the hybrid logical clock that stamps messages, and that learns from the stamps received. */
        public Builder hybridTime(LongSupplier stamp, LongConsumer seen) {
            hybridTime = Validate.notNull(stamp, "stamp");
            hybridTimeSeen = Validate.notNull(seen, "seen");
            return this;
        }

        /** Sets who takes in messages; it must not block. */
        public Builder receiver(PeerReceiver sink) {
            receiver = Validate.notNull(sink, "receiver");
            return this;
        }

        /** Sets who learns the incarnation of a later process that a peer is connected to at this host's name. */
        public Builder outdated(LongConsumer sink) {
            outdated = Validate.notNull(sink, "outdated");
            return this;
        }

        /** Sets where the bytes that peers fetch come from; it must not block. */
        public Builder store(Function<String, Optional<byte[]>> byName) {
            store = Validate.notNull(byName, "store");
            return this;
        }

        /** Sets a rule by which messages are cut or held back. */
        public Builder rule(LinkRule links) {
            rule = Validate.notNull(links, "rule");
            return this;
        }

        /** Lowers the number of accepted connections that have not proved themselves. */
        public Builder maxUnproved(int connections) {
            maxUnproved = Math.min(maxUnproved, connections);
            return this;
        }

        /** Starts to listen at the host's peer address, or throws where that is not possible. */
        public PeerTransport start() {
            PeerTransport transport = new PeerTransport(this);
            transport.bind();
            return transport;
        }
    }
}
