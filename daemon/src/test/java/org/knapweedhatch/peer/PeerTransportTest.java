package org.knapweedhatch.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedhatch.member.MemberMessage;
import org.knapweedhatch.message.OutgoingMessage;
import org.knapweedhatch.peer.proto.Envelope;
import org.knapweedhatch.peer.proto.HelloRecord;
import org.knapweedhatch.peer.proto.ProofRecord;
import org.knapweedhatch.world.Host;

class PeerTransportTest {

    private static final String SECRET = "a secret of enough bytes";

    private final Map<String, Host> book = new ConcurrentHashMap<>();
    private final Map<String, Queue<String>> received = new ConcurrentHashMap<>();
    private final List<PeerTransport> started = new ArrayList<>();
    private volatile boolean cut;

    @AfterEach
    void stopAll() {
        started.forEach(PeerTransport::stop);
    }

    private Host host(String name) {
        return book.computeIfAbsent(name, n -> Hosts.local(n, "lima", "lima-a"));
    }

    private PeerTransport start(String name, String secret, long incarnation) {
        Host host = host(name);
        received.putIfAbsent(name, new ConcurrentLinkedQueue<>());
        PeerTransport transport = PeerTransport.builder(host, secret)
                .codecs(PeerCodecs.of(new MemberCodec()))
                .addresses(peer -> Optional.ofNullable(book.get(peer)).map(Host::peer))
                .incarnation(() -> incarnation)
                .receiver((from, number, message) -> received.get(name)
                        .add(from + "#" + number + ":" + ((MemberMessage.TableRequest) message).region()))
                .store(key -> key.equals("chunk") ? Optional.of(new byte[900_000]) : Optional.empty())
                .rule((from, to) -> !cut)
                .start();
        started.add(transport);
        return transport;
    }

    private static OutgoingMessage text(String to, String text) {
        return new OutgoingMessage(to, new MemberMessage.TableRequest(text));
    }

    private void sendUntilReceived(PeerTransport from, String to, String text) {
        Hosts.await(text + " at " + to, () -> {
            from.send(text(to, text));
            return received.get(to).stream().anyMatch(m -> m.endsWith(":" + text));
        });
    }

    @Test
    void messagesPassBothWaysAndNameTheirSender() {
        PeerTransport a = start("a", SECRET, 7);
        PeerTransport b = start("b", SECRET, 8);
        a.send(text("b", "to-b"));
        b.send(text("a", "to-a"));
        Hosts.await(
                "both", () -> !received.get("a").isEmpty() && !received.get("b").isEmpty());
        assertEquals("a#7:to-b", received.get("b").peek());
        assertEquals("b#8:to-a", received.get("a").peek());
    }

    @Test
    void aPairSharesOneConnection() {
        PeerTransport a = start("a", SECRET, 1);
        PeerTransport b = start("b", SECRET, 1);
        sendUntilReceived(a, "b", "first");
        long made = a.counters().read().get("connections.made");
        sendUntilReceived(b, "a", "back");
        assertEquals(made, a.counters().read().get("connections.made"));
    }

    @Test
    void wrongSecretIsRejected() {
        PeerTransport a = start("a", SECRET, 1);
        PeerTransport b = start("b", "another secret of bytes", 1);
        a.send(text("b", "never"));
        Hosts.await(
                "rejection",
                () -> a.counters().read().get("connections.rejected")
                                + b.counters().read().get("connections.rejected")
                        > 0);
        assertTrue(received.get("b").isEmpty());
    }

    @Test
    void restartedPeerIsReachedAgain() {
        PeerTransport a = start("a", SECRET, 1);
        PeerTransport b = start("b", SECRET, 1);
        sendUntilReceived(a, "b", "before");
        b.stop();
        start("b", SECRET, 2);
        sendUntilReceived(a, "b", "after");
    }

    @Test
    void malformedAndOversizedFramesCloseOnlyTheirConnection() throws IOException {
        PeerTransport a = start("a", SECRET, 1);
        PeerTransport b = start("b", SECRET, 1);
        byte[][] frames = {
            {0, 0, 4, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff},
            {(byte) 0xff, (byte) 0xff, (byte) 0xff, 0},
            {0, 0, 0},
            "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)
        };
        for (byte[] frame : frames) {
            assertEquals(-1, lastRead(frame));
        }
        sendUntilReceived(a, "b", "still works");
        assertEquals(4, b.counters().read().get("connections.rejected"));
    }

    private int lastRead(byte[] frame) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", host("b").peer().port())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(frame);
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            return in.read();
        }
    }

    @Test
    void fetchBringsBytesOrAFault() {
        PeerTransport a = start("a", SECRET, 1);
        start("b", SECRET, 1);
        assertArrayEquals(new byte[900_000], a.fetch("b", "chunk").join().orThrow());
        assertFalse(a.fetch("b", "other").join().isOk());
        assertEquals("c", a.fetch("c", "chunk").join().fault().peer());
    }

    @Test
    void cutLinkLosesMessagesAndHeals() {
        PeerTransport a = start("a", SECRET, 1);
        start("b", SECRET, 1);
        sendUntilReceived(a, "b", "before");
        cut = true;
        a.send(text("b", "lost"));
        cut = false;
        sendUntilReceived(a, "b", "after");
        assertTrue(received.get("b").stream().noneMatch(m -> m.endsWith(":lost")));
        assertEquals(1, a.counters().read().get("messages.dropped"));
    }

    /** Guards against silent connections that keep other hosts out, or stay open until their time is over. */
    @Test
    void hostsConnectBesideManySilentConnections() throws IOException {
        PeerTransport receiver = start("b", SECRET, 1);
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * Limits.UNPROVED; i++) {
                Socket socket = new Socket();
                silent.add(socket);
                socket.connect(new InetSocketAddress(
                        host("b").peer().ip(), host("b").peer().port()));
            }
            assertTrue(receiver.unproved().size() <= Limits.UNPROVED);
            sendUntilReceived(start("a", SECRET, 1), "b", "beside silent ones");
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    /** Guards against silent connections that end the one of a host which is about to prove itself. */
    @Test
    void aHostThatHasGreetedProvesItselfBesideManySilentConnections() throws IOException {
        PeerTransport receiver = start("b", SECRET, 1);
        List<Socket> silent = new ArrayList<>();
        try (Socket greeted = connect()) {
            greeted.setSoTimeout(20_000);
            HelloRecord hello = HelloRecord.newBuilder()
                    .setFrom("a")
                    .setIncarnation(1)
                    .setNonce(ByteString.copyFrom(new byte[Handshake.NONCE_BYTES]))
                    .build();
            write(greeted, WireKind.HELLO, hello);
            HelloRecord answer = HelloRecord.parseFrom(read(greeted).getBody());
            for (int i = 0; i < 2 * Limits.UNPROVED; i++) {
                silent.add(connect());
            }
            Hosts.await("rejected", () -> receiver.counters().read().get("connections.rejected") >= Limits.UNPROVED);
            byte[] secret = SECRET.getBytes(StandardCharsets.UTF_8);
            ByteString proof = Handshake.proof(secret, Handshake.Role.DIALLER, hello, answer);
            write(
                    greeted,
                    WireKind.PROOF,
                    ProofRecord.newBuilder().setMac(proof).build());
            Hosts.await("proved", () -> receiver.counters().read().get("connections.made") == 1);
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    private Socket connect() throws IOException {
        return new Socket(host("b").peer().ip(), host("b").peer().port());
    }

    private static void write(Socket socket, int kind, MessageLite record) throws IOException {
        byte[] envelope = Envelope.newBuilder()
                .setKind(kind)
                .setBody(record.toByteString())
                .build()
                .toByteArray();
        byte[] frame = new byte[Limits.LENGTH_BYTES + envelope.length];
        frame[1] = (byte) (envelope.length >> Byte.SIZE);
        frame[2] = (byte) envelope.length;
        System.arraycopy(envelope, 0, frame, Limits.LENGTH_BYTES, envelope.length);
        socket.getOutputStream().write(frame);
    }

    private static Envelope read(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        int length = in.readUnsignedByte() << 2 * Byte.SIZE | in.readUnsignedShort();
        return Envelope.parseFrom(in.readNBytes(length));
    }
}
