package dappleseam.drill;

import dappleseam.router.QueryRequest;
import dappleseam.router.RouterSettings;
import dappleseam.router.Key;
import dappleseam.router.Member;
import dappleseam.router.NodeId;
import dappleseam.router.Outcome;
import dappleseam.router.QueryId;
import dappleseam.router.Router;
import dappleseam.router.TimerId;
import dappleseam.site.InvalidConfigException;
import dappleseam.site.ConfigReader;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Hands each event of a batch to the router of its instance, and gathers what they do into the reply. */
final class Exchange {
    private static final double MS_PER_S = 1000;
    private static final int RECORD_HEADER = 5;
    private static final int HINT_BIT = 1;
    private static final int AGAIN_BIT = 2;
    private static final int WRITE_BIT = 4;
    private static final Outcome[] ENDINGS = {
        Outcome.ERRED, Outcome.FULL, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED, Outcome.RESET,
        Outcome.CANCELLED, Outcome.UNSENT
    };

    private final ConfigReader sites = new ConfigReader();
    private final Map<Integer, Router> routers = new HashMap<>();
    private final Reply reply = new Reply();

    /** The reply to a batch of {@code records} events; {@code batch} holds what follows the length field. */
    ByteBuffer answer(int records, ByteBuffer batch) {
        reply.begin();
        int end = batch.limit();
        double nowMs = batch.getDouble() * MS_PER_S;
        for (int i = 0; i < records; i++) {
            if (end - batch.position() < RECORD_HEADER) {
                throw new MalformedFrameException("ends before event " + i + " of " + records);
            }
            int at = batch.position();
            int code = batch.get() & 0xFF;
            int size = batch.getInt();
            if (size < 0 || size > end - batch.position()) {
                throw new MalformedFrameException("event " + i + " at byte " + at + " claims "
                        + Integer.toUnsignedString(size) + " bytes, "
                        + (end - batch.position()) + " are left");
            }
            int next = batch.position() + size;
            batch.limit(next);
            try {
                event(code, nowMs, batch);
            } catch (BufferUnderflowException e) {
                throw new MalformedFrameException("event " + i + " at byte " + at + ", code " + code
                        + ": its fields do not fit into " + size + " bytes");
            }
            batch.limit(end).position(next);
        }
        if (batch.position() != end) {
            throw new MalformedFrameException((end - batch.position()) + " bytes after the last event");
        }
        return reply.finish();
    }

    private void event(int code, double nowMs, ByteBuffer in) {
        if (code < 1 || code > 10) {
            return;
        }
        int instance = in.getShort() & 0xFFFF;
        if (code == 1) {
            enlist(instance, nowMs, in);
            return;
        }
        if (code == 10) {
            routers.remove(instance);
            return;
        }
        Router router = routers.get(instance);
        if (router == null) {
            return;
        }
        guarded(instance, decoded(code, router, nowMs, in));
    }

    private void enlist(int instance, double nowMs, ByteBuffer in) {
        long seed = in.getLong();
        byte[] settings = bytes(in, in.getInt());
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        RouterSettings deployment;
        try {
            deployment = sites.readSettings(settings).routerSettings();
        } catch (InvalidConfigException e) {
            throw new MalformedFrameException(e.getMessage());
        }
        guarded(instance, () ->
                routers.put(instance, new Router(deployment, random, reply.forInstance(instance), nowMs)));
    }

    /** Reads the event's fields whole, so that a malformed one is told from a fault in the decisions. */
    private Runnable decoded(int code, Router router, double nowMs, ByteBuffer in) {
        switch (code) {
            case 2: {
                int mode = in.get();
                in.getLong();
                int count = in.getInt();
                List<Member> members = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    members.add(member(in));
                }
                return switch (mode) {
                    case 1 -> () -> router.listFailed(nowMs);
                    case 3 -> () -> router.listChanged(nowMs, members);
                    default -> () -> router.listReplaced(nowMs, members, mode == 2);
                };
            }
            case 3: {
                QueryId query = query(in);
                int grade = in.get() & 0xFF;
                in.getShort();
                long key = in.getLong();
                double leftMs = in.getDouble() * MS_PER_S;
                double workMs = in.getDouble() * MS_PER_S;
                in.getFloat();
                int flags = in.get();
                QueryRequest asking = new QueryRequest(grade, new Key(key), leftMs, (flags & HINT_BIT) != 0 ? workMs : 0,
                        (flags & WRITE_BIT) != 0, (flags & AGAIN_BIT) != 0);
                return () -> router.query(nowMs, query, asking);
            }
            case 4: {
                QueryId query = query(in);
                int execution = in.getShort() & 0xFFFF;
                return () -> router.streamStarted(nowMs, query, execution);
            }
            case 5: {
                QueryId query = query(in);
                int execution = in.getShort() & 0xFFFF;
                node(in);
                Outcome outcome = outcome(in.getShort() & 0xFFFF);
                double tookMs = in.getDouble() * MS_PER_S;
                boolean finished = in.get() != 0;
                in.get();
                skipReport(in);
                return () -> router.executionEnded(nowMs, query, execution, outcome, tookMs, finished);
            }
            case 6: {
                QueryId query = query(in);
                return () -> router.clientLeft(nowMs, query);
            }
            case 7: {
                TimerId timer = new TimerId(in.getInt());
                return () -> router.timerFired(nowMs, timer);
            }
            case 8: {
                node(in);
                in.getShort();
                in.getDouble();
                skipReport(in);
                return () -> { }; // no probe is ever sent
            }
            default: {
                in.getShort();
                bytes(in, in.getShort() & 0xFFFF);
                return () -> { }; // proxies tell each other nothing yet
            }
        }
    }

    private void guarded(int instance, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            System.err.println("dappleseam drill: instance " + instance + ": the router failed");
            e.printStackTrace();
            reply.fault(instance, e.toString());
        }
    }

    private static Member member(ByteBuffer in) {
        double startedAtMs = in.getDouble() * MS_PER_S;
        int model = in.get() & 0xFF;
        NodeId node = node(in);
        int cell = in.getShort() & 0xFFFF;
        int zone = in.get() & 0xFF;
        Member.State state = switch (in.get()) {
            case 1 -> Member.State.READY;
            case 2 -> Member.State.DRAINING;
            default -> Member.State.GONE;
        };
        return new Member(node, state, model, cell, zone, in.getFloat(), startedAtMs);
    }

    private static Outcome outcome(int code) {
        if (code <= 1) {
            return code == 0 ? Outcome.COMPLETED : Outcome.MISS;
        }
        // An outcome this build has not heard of may have run, as an error may have.
        return code > 255 || code < 249 ? Outcome.ERRED : ENDINGS[255 - code];
    }

    private static QueryId query(ByteBuffer in) {
        return new QueryId(in.getInt());
    }

    private static NodeId node(ByteBuffer in) {
        long address = in.getInt() & 0xFFFFFFFFL;
        return new NodeId(address | (in.getShort() & 0xFFFFL) << 32);
    }

    private static void skipReport(ByteBuffer in) {
        for (int left = in.get() & 0xFF; left > 0; left--) {
            in.getFloat();
        }
    }

    private static byte[] bytes(ByteBuffer in, int count) {
        if (count < 0 || count > in.remaining()) {
            throw new MalformedFrameException("a field of " + Integer.toUnsignedString(count)
                    + " bytes where " + in.remaining() + " are left");
        }
        byte[] bytes = new byte[count];
        in.get(bytes);
        return bytes;
    }
}
