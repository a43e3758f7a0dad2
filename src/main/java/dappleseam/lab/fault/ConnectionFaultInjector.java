package dappleseam.lab.fault;

import dappleseam.lab.peer.BlockingIo;
import dappleseam.lab.scenario.Scenario.ConnectionFault;
import dappleseam.lab.scenario.Scenario.FaultEffect;
import dappleseam.lab.scenario.Scenario.Direction;
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
public final class ConnectionFaultInjector implements AutoCloseable {
    /** The bits that GARBLE flips in a single byte. */
    public static final byte GARBLE_MASK = 0x55;
    private static final int BUFFER = 16 << 10;
    private static final int BACKLOG = 512;
    private static final int CONNECT_TIMEOUT_MS = 2000;

    /** A fault in one direction of one connection, from the byte {@code offset} on. */
    public record PlannedFault(long connection, Direction direction, FaultEffect effect, long offset, double magnitude) {}

    private final ServerSocket server;
    private final int targetPort;
    private final List<ConnectionFault> faults;
    private final long seed;
    private final Queue<PlannedFault> plannedFaults = new ConcurrentLinkedQueue<>();
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    public ConnectionFaultInjector(int targetPort, List<ConnectionFault> faults, long seed) throws IOException {
        this.targetPort = targetPort;
        this.faults = faults;
        this.seed = seed;
        server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        BlockingIo.startThread("fault", this::accept);
    }

    public int port() {
        return server.getLocalPort();
    }

    /** The faults planned for the connections so far. */
    public List<PlannedFault> plannedFaults() {
        return plannedFaults.stream().sorted(Comparator.comparingLong(PlannedFault::connection).thenComparing(PlannedFault::direction)
                .thenComparingLong(PlannedFault::offset)).toList();
    }

    /** Number of sockets that are open now, counting both sides of a connection. */
    public int openSockets() {
        return openSockets.size();
    }

    /** Depends on the seed and the connection's number only: the same seed plans the same faults at the same offsets. */
    static List<PlannedFault> plan(List<ConnectionFault> faults, long seed, long connection) {
        SplittableRandom random = new SplittableRandom(seed * 0x9e3779b97f4a7c15L + connection);
        List<PlannedFault> plan = new ArrayList<>();
        for (ConnectionFault fault : faults) {
            double chance = random.nextDouble();
            long offset = random.nextInt(fault.withinBytes());
            if (chance < fault.share()) {
                plan.add(new PlannedFault(connection, fault.direction(), fault.effect(), offset, fault.magnitude()));
            }
        }
        plan.sort(Comparator.comparingLong(PlannedFault::offset));
        return plan;
    }

    private void accept() throws IOException {
        for (long number = 0; ; number++) {
            Socket accepted = server.accept();
            long connection = number;
            openSockets.add(accepted);
            BlockingIo.startThread("fault", () -> connectToTarget(accepted, connection));
        }
    }

    private void connectToTarget(Socket accepted, long connection) throws IOException, InterruptedException {
        Socket target = new Socket();
        try {
            accepted.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            target.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), targetPort), CONNECT_TIMEOUT_MS);
        } catch (IOException e) {
            resetAll(accepted, target);
            return;
        }
        openSockets.add(target);
        List<PlannedFault> plan = plan(faults, seed, connection);
        plannedFaults.addAll(plan);
        BlockingIo.startThread("fault", () -> forward(target, accepted, plan.stream().filter(p -> p.direction() == Direction.BACK).toList()));
        forward(accepted, target, plan.stream().filter(p -> p.direction() == Direction.THERE).toList());
    }

    private void closeAll(Socket... sockets) {
        for (Socket socket : sockets) {
            openSockets.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                continue; // the socket is closed all the same
            }
        }
    }

    private void resetAll(Socket... sockets) {
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                continue; // already closed by the other side
            }
        }
        closeAll(sockets);
    }

    /** Copies one direction until it ends, applying its faults at their offsets. */
    private void forward(Socket from, Socket to, List<PlannedFault> plan) throws IOException, InterruptedException {
        byte[] bytes = new byte[BUFFER];
        long forwarded = 0;
        int next = 0;
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                int done = 0;
                while (done < count) {
                    boolean due = next < plan.size() && plan.get(next).offset() < forwarded + count - done;
                    int part = due ? (int) Math.max(0, plan.get(next).offset() - forwarded) : count - done;
                    writeInPieces(out, bytes, done, part, plan, next);
                    done += part;
                    forwarded += part;
                    if (due && !applyFault(plan.get(next++), bytes, done, from, to)) {
                        return;
                    }
                }
            }
            to.shutdownOutput();
            if (from.isOutputShutdown()) {
                closeAll(from, to);
            }
        } catch (IOException e) {
            resetAll(from, to);
        }
    }

    /** Writes the bytes in small pieces once a SPLIT has been reached. */
    private static void writeInPieces(OutputStream out, byte[] bytes, int from, int count, List<PlannedFault> plan, int next)
            throws IOException, InterruptedException {
        int piece = plan.subList(0, next).stream().filter(p -> p.effect() == FaultEffect.SPLIT).mapToInt(p -> (int) Math.max(1, p.magnitude()))
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
    private boolean applyFault(PlannedFault fault, byte[] bytes, int at, Socket from, Socket to)
            throws IOException, InterruptedException {
        switch (fault.effect()) {
            case DELAY -> Thread.sleep(Math.round(fault.magnitude()));
            case GARBLE -> bytes[at] ^= GARBLE_MASK;
            case SPLIT -> { }
            case CUT -> {
                closeAll(from, to);
                return false;
            }
            case RESET -> {
                resetAll(from, to);
                return false;
            }
            case HALF_CLOSE -> {
                to.shutdownOutput();
                from.getInputStream().transferTo(OutputStream.nullOutputStream()); // discards the rest, or the sender would block for ever
                if (from.isOutputShutdown()) {
                    closeAll(from, to);
                }
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        server.close();
        resetAll(openSockets.toArray(Socket[]::new));
    }
}
