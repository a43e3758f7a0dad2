package dappleseam.lab.emulator;

import dappleseam.fleet.lastlist.ListStore.Stored;
import dappleseam.fleet.lease.Token;
import dappleseam.lab.fleet.LeaseChecker.Write;
import dappleseam.lab.peer.BlockingIo;
import dappleseam.lab.peer.TimedInput;
import dappleseam.wire.Json;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Emulates an HTTP store for the fleet's last list, as {@link dappleseam.fleet.lastlist.HttpStore} requires it. The first write of each token is delayed, as if by the network:
 * it is applied only {@code delayMs} after its arrival, whatever has happened since.
 */
public final class StoreEmulator extends EmulatedServer {
    private static final double NANOS_PER_MS = 1e6;
    private static final int MAX_BODY_BYTES = 4 << 20;

    private final double delayMs;
    private final boolean fenced;
    private final Queue<Write> writes = new ConcurrentLinkedQueue<>();
    private final Set<Token> seenTokens = new HashSet<>();
    private Stored stored;
    private byte[] body;

    /** {@code fenced}: whether it refuses writes that are older than the stored one. */
    public StoreEmulator(double delayMs, boolean fenced) throws IOException {
        this.delayMs = delayMs;
        this.fenced = fenced;
    }

    /** Starts accepting connections. */
    public void open() {
        startAccepting();
    }

    /** All writes so far, accepted and refused, in the order in which they were applied; times are on the machine's monotonic clock. */
    public Queue<Write> writes() {
        return writes;
    }

    @Override
    void serve(TimedInput in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            String[] first = BlockingIo.readLine(in).split(" ");
            Map<String, String> headers = BlockingIo.readHeaders(in);
            byte[] sent = in.readNBytes(Math.min(MAX_BODY_BYTES, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
            if (first[0].equals("PUT")) {
                put(headers, sent, out);
            } else {
                byte[] now = currentBody();
                answer(out, now == null ? "404 Not Found" : "200 OK", "", now == null ? new byte[0] : now);
            }
        }
    }

    private synchronized byte[] currentBody() {
        return body;
    }

    private synchronized boolean isFirstWrite(Token token) {
        return seenTokens.add(token);
    }

    private void put(Map<String, String> headers, byte[] sent, OutputStream out) throws IOException, InterruptedException {
        Token token;
        long writeNumber;
        Stored received;
        try {
            token = Token.parse(headers.getOrDefault("fencing-token", ""));
            writeNumber = Long.parseLong(headers.getOrDefault("write-number", ""));
            received = Stored.of(Json.read(sent));
        } catch (IllegalArgumentException e) {
            answer(out, "400 Bad Request", "", new byte[0]);
            return;
        }
        if (delayMs > 0 && isFirstWrite(token)) {
            Thread.sleep(Math.round(delayMs));
        }
        Token newerToken = applyWrite(token, writeNumber, received, sent);
        if (newerToken == null) {
            answer(out, "204 No Content", "", new byte[0]);
        } else {
            answer(out, "409 Conflict", "Fencing-Token: " + newerToken.text() + "\r\n", new byte[0]);
        }
    }

    /** Compares and replaces atomically; null if the write was accepted, otherwise the token of the stored one. */
    private synchronized Token applyWrite(Token token, long writeNumber, Stored received, byte[] sent) {
        boolean accepts = !fenced || stored == null || stored.isBefore(token, writeNumber);
        writes.add(new Write(System.nanoTime() / NANOS_PER_MS, token, writeNumber, accepts));
        if (!accepts) {
            return stored.token();
        }
        stored = received;
        body = sent;
        return null;
    }

    private static void answer(OutputStream out, String status, String more, byte[] body) throws IOException {
        String length = status.startsWith("204") ? "" : "Content-Length: " + body.length + "\r\n";
        out.write(("HTTP/1.1 " + status + "\r\n" + length + more + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(body);
    }
}
