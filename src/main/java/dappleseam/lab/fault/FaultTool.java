package dappleseam.lab.fault;

import dappleseam.lab.peer.Blocking;
import dappleseam.lab.scenario.Scenario.Fault;
import dappleseam.lab.scenario.Scenario.How;
import dappleseam.lab.scenario.Scenario.Way;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A TCP relay that injects faults: connections to its port are forwarded to another port, each direction with the faults that are planned for it. */
public final class FaultTool implements AutoCloseable {
    /** The bits that GARBLE flips in a single byte. */
    public static final byte GARBLED_BITS = 0x55;
    private static final int BUFFER = 16 << 10;
    private static final int BACKLOG = 512;
    private static final int CONNECT_MS = 2000;

    /** A fault in one direction of one connection, from the byte {@code offset} on. */
    public record Planned(long connection, Way way, How how, long at, double size) {}

    private final ServerSocket server;
    private final int target;
    private final List<Fault> script;
    private final long seed;
    private final Queue<Planned> planned = new ConcurrentLinkedQueue<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    public FaultTool(int target, List<Fault> script, long seed) throws IOException {
        this.target = target;
        this.script = script;
        this.seed = seed;
        server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        Blocking.start("fault", this::accept);
    }

    public int port() {
        return server.getLocalPort();
    }

    /** The faults planned for the connections so far. */
    public List<Planned> planned() {
        return planned.stream().sorted(Comparator.comparingLong(Planned::connection).thenComparing(Planned::way)
                .thenComparingLong(Planned::at)).toList();
    }

    /** Number of sockets that are open now, counting both sides of a connection. */
    public int open() {
        return open.size();
    }

    /** Depends on the seed and the connection's number only: the same seed plans the same faults at the same offsets. */
    static List<Planned> plan(List<Fault> script, long seed, long connection) {
        SplittableRandom random = new SplittableRandom(seed * 0x9e3779b97f4a7c15L + connection);
        List<Planned> plan = new ArrayList<>();
        for (Fault fault : script) {
            double chance = random.nextDouble();
            long at = random.nextInt(fault.withinBytes());
            if (chance < fault.share()) {
                plan.add(new Planned(connection, fault.way(), fault.how(), at, fault.size()));
            }
        }
        plan.sort(Comparator.comparingLong(Planned::at));
        return plan;
    }

    private void accept() throws IOException {
        for (long number = 0; ; number++) {
            Socket near = server.accept();
            long connection = number;
            open.add(near);
            Blocking.start("fault", () -> join(near, connection));
        }
    }

    private void join(Socket near, long connection) throws IOException, InterruptedException {
        Socket far = new Socket();
        try {
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            far.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), target), CONNECT_MS);
        } catch (IOException e) {
            reset(near, far);
            return;
        }
        open.add(far);
        List<Planned> plan = plan(script, seed, connection);
        planned.addAll(plan);
        Blocking.start("fault", () -> pump(far, near, plan.stream().filter(p -> p.way() == Way.BACK).toList()));
        pump(near, far, plan.stream().filter(p -> p.way() == Way.THERE).toList());
    }

    private void end(Socket... sockets) {
        for (Socket socket : sockets) {
            open.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                continue; // nothing more can be done
            }
        }
    }

    private void reset(Socket... sockets) {
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                continue; // already closed by the other side
            }
        }
        end(sockets);
    }

    /** Copies one direction until it ends, applying its faults at their offsets. */
    private void pump(Socket from, Socket to, List<Planned> plan) throws IOException, InterruptedException {
        byte[] bytes = new byte[BUFFER];
        long passed = 0;
        int next = 0;
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                int done = 0;
                while (done < count) {
                    boolean due = next < plan.size() && plan.get(next).at() < passed + count - done;
                    int part = due ? (int) Math.max(0, plan.get(next).at() - passed) : count - done;
                    write(out, bytes, done, part, plan, next);
                    done += part;
                    passed += part;
                    if (due && !befall(plan.get(next++), bytes, done, from, to)) {
                        return;
                    }
                }
            }
            to.shutdownOutput();
            if (from.isOutputShutdown()) {
                end(from, to);
            }
        } catch (IOException e) {
            reset(from, to);
        }
    }

    /** Writes the bytes in small pieces once a SPLIT has been reached. */
    private static void write(OutputStream out, byte[] bytes, int from, int count, List<Planned> plan, int next)
            throws IOException, InterruptedException {
        int piece = plan.subList(0, next).stream().filter(p -> p.how() == How.SPLIT).mapToInt(p -> (int) Math.max(1, p.size()))
                .min().orElse(Math.max(1, count));
        for (int at = 0; at < count; at += piece) {
            out.write(bytes, from + at, Math.min(piece, count - at));
            if (piece < count) {
                out.flush();
                Thread.sleep(0, 200_000);
            }
        }
    }

    /** Applies a fault; returns whether this direction continues. */
    private boolean befall(Planned fault, byte[] bytes, int at, Socket from, Socket to)
            throws IOException, InterruptedException {
        switch (fault.how()) {
            case DELAY -> Thread.sleep(Math.round(fault.size()));
            case GARBLE -> bytes[at] ^= GARBLED_BITS;
            case SPLIT -> { }
            case CUT -> {
                end(from, to);
                return false;
            }
            case RESET -> {
                reset(from, to);
                return false;
            }
            case HALF_CLOSE -> {
                to.shutdownOutput();
                from.getInputStream().transferTo(OutputStream.nullOutputStream()); // discards the rest, or the sender would block for ever
                if (from.isOutputShutdown()) {
                    end(from, to);
                }
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        server.close();
        reset(open.toArray(Socket[]::new));
    }
}
