package org.knapweedhatch.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.knapweedhatch.peer.proto.Envelope;
import org.knapweedhatch.peer.proto.HelloRecord;
import org.knapweedhatch.peer.proto.ProofRecord;
import org.knapweedhatch.peer.proto.SupersededRecord;

/** One connection: greets, proves both ends, then passes envelopes on. */
final class PeerChannel extends SimpleChannelInboundHandler<Envelope> {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final SecureRandom RANDOM = new SecureRandom();

    private enum Phase {
        GREETING,
        PROVING,
        OPEN,
        CLOSED
    }

    private final PeerTransport transport;
    private final boolean dialled;
    private final PeerLink dialledLink;
    private final Consumer<String> proved;
    private final HelloRecord ownHello;
    private HelloRecord peerHello;
    private PeerLink link;
    private Phase phase = Phase.GREETING;
    private ChannelHandlerContext context;
    private boolean pinged;
    private long usedNanos = System.nanoTime();

    private PeerChannel(PeerTransport transport, boolean dialled, PeerLink dialledLink, Consumer<String> proved) {
        this.transport = transport;
        this.dialled = dialled;
        this.dialledLink = dialledLink;
        this.proved = proved;
        byte[] nonce = new byte[Handshake.NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        ownHello = HelloRecord.newBuilder()
                .setFrom(transport.self())
                .setIncarnation(transport.incarnation())
                .setNonce(ByteString.copyFrom(nonce))
                .build();
    }

    static PeerChannel dialled(PeerTransport transport, PeerLink link) {
        return new PeerChannel(transport, true, link, name -> {});
    }

    /** Returns a connection to whoever listens at an address; {@code proved} learns the name. */
    static PeerChannel exploring(PeerTransport transport, Consumer<String> proved) {
        return new PeerChannel(transport, true, null, proved);
    }

    static PeerChannel accepted(PeerTransport transport) {
        return new PeerChannel(transport, false, null, name -> {});
    }

    boolean dialled() {
        return dialled;
    }

    long peerIncarnation() {
        return peerHello.getIncarnation();
    }

    Channel channel() {
        return context.channel();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.executor().schedule(this::checkHandshake, Limits.HANDSHAKE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        if (dialled()) {
            greet();
        } else {
            transport.unproved().add(this).ifPresent(PeerChannel::makeRoom);
        }
    }

    /** Closes the connection, as too many others have not proved themselves either. */
    private void makeRoom() {
        context.executor().execute(() -> reject("too many connections without a proof"));
    }

    private void checkHandshake() {
        if (phase != Phase.OPEN && phase != Phase.CLOSED) {
            reject("no proof in time");
        }
    }

    private void greet() {
        control(WireKind.HELLO, ownHello);
    }

    private void control(int kind, MessageLite record) {
        write(Envelope.newBuilder().setKind(kind).setBody(record.toByteString()).build());
        context.flush();
    }

    /** Writes an envelope without a flush; called on the channel's event loop. */
    void write(Envelope queued) {
        boolean known = queued.getIncarnation() == ownHello.getIncarnation();
        Envelope envelope = known ? queued.toBuilder().clearIncarnation().build() : queued;
        if (envelope.getKind() > WireKind.PONG) {
            usedNanos = System.nanoTime();
            transport.counters().messagesSent.increment();
        }
        transport.counters().frameSent(envelope.getKind(), envelope.getSerializedSize() + Limits.LENGTH_BYTES);
        context.write(envelope, context.voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope envelope) throws InvalidProtocolBufferException {
        transport.counters().bytesReceived.add(envelope.getSerializedSize() + Limits.LENGTH_BYTES);
        pinged = false;
        switch (phase) {
            case GREETING -> receiveHello(envelope);
            case PROVING -> receiveProof(envelope);
            case OPEN -> receiveOpen(envelope);
            default -> {}
        }
    }

    private void receiveHello(Envelope envelope) throws InvalidProtocolBufferException {
        if (envelope.getKind() != WireKind.HELLO) {
            reject("no greeting");
            return;
        }
        peerHello = HelloRecord.parseFrom(envelope.getBody());
        boolean expected = dialledLink == null || peerHello.getFrom().equals(dialledLink.peer());
        if (!Handshake.wellFormed(peerHello) || !expected || peerHello.getFrom().equals(transport.self())) {
            reject("a greeting that was not expected");
            return;
        }
        phase = Phase.PROVING;
        if (!dialled()) {
            transport.unproved().markGreeted(this);
            greet();
            prove();
        }
    }

    private void prove() {
        control(
                WireKind.PROOF,
                ProofRecord.newBuilder().setMac(proof(dialled())).build());
    }

    private ByteString proof(boolean byDialler) {
        HelloRecord dialler = dialled() ? ownHello : peerHello;
        HelloRecord acceptor = dialled() ? peerHello : ownHello;
        Handshake.Role role = byDialler ? Handshake.Role.DIALLER : Handshake.Role.ACCEPTOR;
        return Handshake.proof(transport.secret(), role, dialler, acceptor);
    }

    private void receiveProof(Envelope envelope) throws InvalidProtocolBufferException {
        ByteString shown = ProofRecord.parseFrom(envelope.getBody()).getMac();
        if (envelope.getKind() != WireKind.PROOF || !Handshake.matches(proof(!dialled()), shown)) {
            reject("the proof of the shared secret is wrong");
            return;
        }
        if (dialled()) {
            prove();
        }
        open();
    }

    private void open() {
        phase = Phase.OPEN;
        transport.unproved().remove(this);
        context.pipeline().replace(LengthFieldBasedFrameDecoder.class, "frames", Pipelines.frames(Limits.FRAME));
        PeerLink ownLink = transport.link(peerHello.getFrom());
        transport.counters().connections.increment();
        if (ownLink.attach(this)) {
            link = ownLink;
        } else {
            tellOutdated(ownLink.newest());
            retire();
        }
        proved.accept(peerHello.getFrom());
    }

    private void receiveOpen(Envelope envelope) throws InvalidProtocolBufferException {
        switch (envelope.getKind()) {
            case WireKind.PING ->
                write(Envelope.newBuilder().setKind(WireKind.PONG).build());
            case WireKind.PONG -> {}
            default -> receiveMessage(envelope);
        }
        context.flush();
    }

    private void receiveMessage(Envelope envelope) throws InvalidProtocolBufferException {
        usedNanos = System.nanoTime();
        long incarnation = Math.max(peerHello.getIncarnation(), envelope.getIncarnation());
        if (!transport.receive(peerHello.getFrom(), incarnation, envelope)) {
            reject("a malformed message of kind " + envelope.getKind());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (link != null && ctx.channel().isWritable()) {
            link.flush(this);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (!(event instanceof IdleStateEvent) || phase != Phase.OPEN) {
            return;
        }
        boolean unused = System.nanoTime() - usedNanos > Limits.USE_IDLE.toNanos();
        if (unused || pinged) {
            close();
            return;
        }
        pinged = true;
        write(Envelope.newBuilder().setKind(WireKind.PING).build());
        ctx.flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException || cause instanceof InvalidProtocolBufferException) {
            reject("a malformed or oversized frame");
        } else {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        phase = Phase.CLOSED;
        transport.unproved().remove(this);
        if (link != null) {
            link.detach(this);
        } else if (dialledLink != null) {
            dialledLink.dialFailed();
        }
    }

    private void reject(String reason) {
        if (phase == Phase.CLOSED) {
            return;
        }
        String who = peerHello == null ? String.valueOf(context.channel().remoteAddress()) : peerHello.getFrom();
        transport.counters().rejected.increment();
        LOGGER.atWarning().log("peer: closed the connection to %s: %s", who, reason);
        close();
    }

    /** Tells the peer that a later process at its name is connected, where it is one. */
    void tellOutdated(long newest) {
        if (newest > peerIncarnation()) {
            SupersededRecord record =
                    SupersededRecord.newBuilder().setIncarnation(newest).build();
            context.executor().execute(() -> control(WireKind.OUTDATED, record));
        }
    }

    /** Closes the connection when what the peer has sent on it has arrived. */
    void retire() {
        retireAfter(Limits.RETIRE);
    }

    /** Closes the connection after a time. */
    void retireAfter(Duration time) {
        context.executor().schedule(this::close, time.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Closes the connection. */
    void close() {
        context.executor().execute(() -> {
            phase = Phase.CLOSED;
            context.close();
        });
    }
}
