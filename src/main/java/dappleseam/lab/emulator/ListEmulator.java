package dappleseam.lab.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.peer.BlockingIo;
import dappleseam.lab.peer.TimedInput;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Emulates the list service, including watches: calls that are held until the list changes. */
public final class ListEmulator extends EmulatedServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern CALL =
            Pattern.compile("GET /registry/instances(\\?from=(\\d{1,15})&hold_ms=(\\d{1,6}))? HTTP/1\\.1");

    private record Entry(long rev, String uid, int port, String modelName, String state, double bootMs) {}

    private final Ledger ledger;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long rev = 1;
    private int maxCallsPerS;
    private int callsThisSecond;
    private double secondStartMs;
    private boolean fullListsOnly;
    private long bytesSent;

    ListEmulator(Ledger ledger) throws IOException {
        this.ledger = ledger;
    }

    /** From now on answers at most that many calls per second and refuses the others; 0 for no limit. */
    synchronized void limitCalls(int callsPerS) {
        maxCallsPerS = callsPerS;
    }

    /** From now on sends the full list instead of changes. */
    synchronized void sendFullListsOnly() {
        fullListsOnly = true;
    }

    synchronized long bytesSent() {
        return bytesSent;
    }

    private synchronized void countBytes(int bytes) {
        bytesSent += bytes;
    }

    private synchronized boolean admitCall() {
        double now = ledger.nowMs();
        if (now >= secondStartMs + 1000) {
            secondStartMs = now;
            callsThisSecond = 0;
        }
        return ++callsThisSecond <= maxCallsPerS || maxCallsPerS == 0;
    }

    /** Sets a node's entry; {@code port} is where the proxies reach it. */
    synchronized void setEntry(String uid, int port, String modelName, String state, double bootMs) {
        entries.put(uid, new Entry(++rev, uid, port, modelName, state, bootMs));
        notifyAll();
    }

    /** The list as JSON: the changes after version {@code from}, or all nodes that are not gone. Adds the entries to {@code sent}. */
    private synchronized ObjectNode since(long from, List<Entry> sent) {
        boolean all = from == 0 || fullListsOnly && rev > from;
        ObjectNode list = JSON.createObjectNode().put("rev", rev).put("all", all);
        ArrayNode targets = list.putArray("targets");
        for (Entry e : entries.values()) {
            if (all ? !e.state.equals("gone") : e.rev > from) {
                sent.add(e);
                targets.addObject().put("uid", e.uid).put("endpoint", "127.0.0.1:" + e.port).put("az", "a")
                        .put("model", e.modelName).put("pod_group", 0).put("state", e.state).put("capacity_hint", 1.0)
                        .put("boot_ms", e.bootMs);
            }
        }
        return list;
    }

    public ObjectNode fullList() {
        return since(0, new ArrayList<>());
    }

    private synchronized void awaitChange(long from, long holdMs) throws InterruptedException {
        long until = System.nanoTime() + holdMs * 1_000_000;
        for (long left = holdMs; from > 0 && rev <= from && left > 0; left = (until - System.nanoTime()) / 1_000_000) {
            wait(left);
        }
    }

    @Override
    void serve(TimedInput in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            Matcher call = CALL.matcher(BlockingIo.readLine(in));
            for (String line = BlockingIo.readLine(in); !line.isEmpty(); line = BlockingIo.readLine(in)) {
                continue; // headers are ignored
            }
            ledger.listCallCount.incrementAndGet();
            if (!call.matches()) {
                throw new IOException("malformed request: the connection is closed");
            }
            boolean admitted = admitCall();
            ledger.listCallLog.add(new Ledger.ListCall(ledger.nowMs(), admitted));
            if (!admitted) {
                out.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                continue;
            }
            long from = call.group(2) == null ? 0 : Long.parseLong(call.group(2));
            awaitChange(from, call.group(3) == null ? 0 : Long.parseLong(call.group(3)));
            List<Entry> sent = new ArrayList<>();
            byte[] body = JSON.writeValueAsBytes(since(from, sent));
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            countBytes(body.length);
            sent.forEach(e -> ledger.listUpdates.add(new Ledger.ListUpdate(e.uid, e.state, ledger.nowMs())));
        }
    }
}
