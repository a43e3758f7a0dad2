package dappleseam.lab.fault;

import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.peers.MessageCodec;
import dappleseam.fleet.peers.FleetMessage;
import dappleseam.fleet.peers.InvalidDatagramException;
import dappleseam.lab.fleet.PlantedFault;
import dappleseam.lab.scenario.FleetScenario.LinkFault;
import dappleseam.lab.scenario.FleetScenario.LinkEffect;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A UDP relay between proxies that injects faults. Each proxy is reached at a port of the relay, and datagrams are forwarded from the relay's port of their sender, so that
 * the link is known for both directions. With the same seed, the same datagram of a link is treated in the same way.
 */
public final class DatagramFaultInjector implements AutoCloseable {
    private static final double NANOS_PER_MS = 1e6;
    private static final int GARBLED_BYTES = 8;
    private static final int RECEIVE_BUFFER_BYTES = 512 << 10;
    /** Smallest second byte of a run's own address, in 127.64.0.0/10, where nothing else is bound. */
    private static final int MIN_SECOND_BYTE = 64;

    private final MessageCodec codec;
    private final long seed;
    private final PlantedFault planted;
    private final InetAddress host;
    private final Selector selector = Selector.open();
    private final Map<Integer, Endpoint> endpointsByPort = new HashMap<>();
    private final Map<Long, SplittableRandom> randomByLink = new HashMap<>();
    private final PriorityQueue<PendingDatagram> pending = new PriorityQueue<>();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Map<LinkEffect, Long> faultCounts = new EnumMap<>(LinkEffect.class);
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(2048);
    /** Each proxy's own entry as it last sent it, for forged messages. */
    private final Map<Integer, MemberEntry> lastSenderEntry = new HashMap<>();
    private final Map<FleetMessage.Kind, Long> kindCounts = new EnumMap<>(FleetMessage.Kind.class);
    private volatile List<LinkFault> faults = List.of();
    private volatile long startNanos;
    private volatile boolean closed;
    private volatile long forwarded;
    private volatile long forwardedBytes;
    private long nextOrder;
    private final Thread thread;

    /** The port at which a proxy is reached, and the one where it listens. */
    private static final class Endpoint {
        final int number;
        final int advertisedPort;
        final int bindPort;
        DatagramChannel channel;

        Endpoint(int number, int advertisedPort, int bindPort) {
            this.number = number;
            this.advertisedPort = advertisedPort;
            this.bindPort = bindPort;
        }
    }

    /** A datagram that is to be forwarded at a time. */
    private record PendingDatagram(long dueNanos, long order, Endpoint from, Endpoint to, byte[] bytes) implements Comparable<PendingDatagram> {
        @Override
        public int compareTo(PendingDatagram other) {
            return dueNanos != other.dueNanos ? Long.compare(dueNanos, other.dueNanos) : Long.compare(order, other.order);
        }
    }

    public DatagramFaultInjector(String fleet, long seed, PlantedFault planted) throws IOException {
        this.seed = seed;
        byte[] randomBytes = ByteBuffer.allocate(Long.BYTES).putLong(new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid() << 32).nextLong()).array();
        host = InetAddress.getByAddress(new byte[] {127, (byte) (MIN_SECOND_BYTE | randomBytes[0] & MIN_SECOND_BYTE - 1), randomBytes[1], (byte) (1 | randomBytes[2])});
        this.planted = planted;
        codec = new MessageCodec(fleet);
        thread = new Thread(this::run, "links");
        thread.setDaemon(true);
    }

    /** The loopback address at which all proxies are reached. It is unique to this run, so that a concurrent one cannot get a port of this run that is closed for a while. */
    public String host() {
        return host.getHostAddress();
    }

    /** Adds a proxy that listens on {@code bindPort}; returns the port at which it is to be reached. To be called before {@link #start}. */
    public int add(int number, int bindPort) throws IOException {
        DatagramChannel channel = open(0);
        int port = ((InetSocketAddress) channel.getLocalAddress()).getPort();
        Endpoint endpoint = new Endpoint(number, port, bindPort);
        endpoint.channel = channel;
        endpointsByPort.put(port, endpoint);
        return port;
    }

    /** The same while the relay runs, from any thread. */
    public int addWhileRunning(int number, int bindPort) throws IOException {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        tasks.add(() -> {
            try {
                port.complete(add(number, bindPort));
            } catch (IOException e) {
                port.completeExceptionally(e);
            }
        });
        selector.wakeup();
        return port.join();
    }

    private DatagramChannel open(int port) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
        channel.bind(new InetSocketAddress(host, port));
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ);
        return channel;
    }

    public void start() {
        startNanos = System.nanoTime();
        thread.start();
    }

    /** Replaces the faults; their times count from now. */
    public void setFaults(List<LinkFault> newFaults) {
        startNanos = System.nanoTime();
        faults = newFaults;
    }

    /** Closes or opens the port of a proxy whose process has ended or started; with a closed port, the system refuses its datagrams as on a real host. */
    public void setReachable(int port, boolean reachable) {
        tasks.add(() -> {
            Endpoint endpoint = endpointsByPort.get(port);
            try {
                if (!reachable && endpoint.channel != null) {
                    endpoint.channel.close();
                    endpoint.channel = null;
                } else if (reachable && endpoint.channel == null) {
                    endpoint.channel = open(port);
                }
            } catch (IOException e) {
                throw new IllegalStateException("a port of the datagram fault injector could not be opened or closed", e);
            }
        });
        selector.wakeup();
    }

    private void run() {
        try {
            while (!closed) {
                long sleep = pending.isEmpty() ? 50 : (long) Math.ceil((pending.peek().dueNanos - System.nanoTime()) / NANOS_PER_MS);
                if (sleep > 0) {
                    selector.select(sleep);
                } else {
                    selector.selectNow();
                }
                selector.selectedKeys().clear();
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                for (Endpoint endpoint : List.copyOf(endpointsByPort.values())) {
                    receive(endpoint);
                }
                while (!pending.isEmpty() && pending.peek().dueNanos <= System.nanoTime()) {
                    PendingDatagram due = pending.poll();
                    send(due.from, due.to, due.bytes);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("the datagram fault injector failed", e);
        }
    }

    private void receive(Endpoint to) throws IOException {
        for (int i = 0; i < 64 && to.channel != null; i++) {
            receiveBuffer.clear();
            InetSocketAddress source = (InetSocketAddress) to.channel.receive(receiveBuffer);
            if (source == null) {
                return;
            }
            try {
                FleetMessage message = codec.decode(receiveBuffer.array(), receiveBuffer.position());
                Endpoint from = endpointsByPort.get(message.sender().address().getPort());
                if (from != null) {
                    // A datagram from another port than the sender's own is a connected ping to a member that has failed.
                    applyFaults(from, to, message, Arrays.copyOf(receiveBuffer.array(), receiveBuffer.position()), source.getPort() != from.bindPort);
                }
            } catch (InvalidDatagramException e) {
                continue; // not from a proxy of this run
            }
        }
    }

    private void applyFaults(Endpoint from, Endpoint to, FleetMessage message, byte[] original, boolean isConnectedPing) {
        byte[] bytes = original;
        kindCounts.merge(message.kind(), 1L, Long::sum);
        if (planted != PlantedFault.NONE) {
            lastSenderEntry.put(from.number, message.sender());
            planted.forgedMessages(message, new MemberName("lab-" + to.number)).forEach(this::sendForged);
            FleetMessage altered = planted.intercept(message, new MemberName("lab-" + to.number), isConnectedPing);
            if (altered == null) {
                return;
            }
            bytes = altered.equals(message) ? original : codec.encode(altered);
        }
        double atS = (System.nanoTime() - startNanos) / NANOS_PER_MS / 1000;
        SplittableRandom random = randomByLink.computeIfAbsent(((long) from.advertisedPort << 32) + to.advertisedPort, k -> new SplittableRandom(seed ^ from.number * 1_000_003L ^ to.number));
        double delayMs = 0;
        int copies = 1;
        for (LinkFault fault : faults) {
            if (atS < fault.atS() || atS >= fault.atS() + fault.forS() || !fault.appliesTo(from.number, to.number)) {
                continue;
            }
            boolean applies = fault.effect() == LinkEffect.CUT || fault.effect() == LinkEffect.DELAY || fault.effect() == LinkEffect.REORDER
                    || random.nextDouble() < fault.magnitude();
            if (!applies) {
                continue;
            }
            faultCounts.merge(fault.effect(), 1L, Long::sum);
            switch (fault.effect()) {
                case CUT, LOSS -> {
                    return;
                }
                case DELAY -> delayMs += fault.magnitude();
                case REORDER -> delayMs += fault.magnitude() * random.nextDouble();
                case DOUBLE -> copies = 2;
                case GARBLE -> {
                    bytes = bytes.clone();
                    for (int i = 0; i < GARBLED_BYTES; i++) {
                        bytes[random.nextInt(bytes.length)] ^= (byte) (1 + random.nextInt(255));
                    }
                }
            }
        }
        for (int i = 0; i < copies; i++) {
            pending.add(new PendingDatagram(System.nanoTime() + (long) (delayMs * NANOS_PER_MS), nextOrder++, from, to, bytes));
        }
    }

    /** Sends a forged message immediately, even over a link that is cut, as if all could reach the faulty voter. */
    private void sendForged(PlantedFault.ForgedMessage forged) {
        Endpoint from = endpointOf(forged.from());
        Endpoint to = endpointOf(forged.to());
        MemberEntry senderEntry = from == null ? null : lastSenderEntry.get(from.number);
        if (senderEntry != null && to != null) {
            FleetMessage message = FleetMessage.of(senderEntry, forged.leaseMessage());
            pending.add(new PendingDatagram(System.nanoTime(), nextOrder++, from, to, codec.encode(message)));
        }
    }

    private Endpoint endpointOf(MemberName name) {
        return endpointsByPort.values().stream().filter(p -> name.text().equals("lab-" + p.number)).findFirst().orElse(null);
    }

    private void send(Endpoint from, Endpoint to, byte[] bytes) {
        try {
            if (from.channel != null && to.channel != null) {
                from.channel.send(ByteBuffer.wrap(bytes), new InetSocketAddress(InetAddress.getByName("127.0.0.1"), to.bindPort));
                forwarded++;
                forwardedBytes += bytes.length;
            }
        } catch (IOException e) {
            faultCounts.merge(LinkEffect.LOSS, 1L, Long::sum); // counts as lost
        }
    }

    /** Number of datagrams forwarded. */
    public long forwarded() {
        return forwarded;
    }

    /** Their total size. */
    public long forwardedBytes() {
        return forwardedBytes;
    }

    /** Number of datagrams received of each kind; to be called after {@link #close}. */
    public Map<FleetMessage.Kind, Long> kindCounts() {
        return kindCounts;
    }

    /** Extends a fault; returns the extended one. From any thread. */
    public LinkFault extendFault(LinkFault fault, double byS) {
        LinkFault extendedFault = fault.extended(byS);
        tasks.add(() -> faults = faults.stream().map(f -> f.equals(fault) ? extendedFault : f).toList());
        selector.wakeup();
        return extendedFault;
    }

    /** Cuts all links of that proxy, starting now. From any thread. */
    public void isolate(int number, double forS) {
        tasks.add(() -> {
            double atS = (System.nanoTime() - startNanos) / NANOS_PER_MS / 1000;
            List<LinkFault> more = new ArrayList<>(faults);
            more.add(new LinkFault(atS, forS, LinkEffect.CUT, Set.of(number), Set.of(), 0));
            more.add(new LinkFault(atS, forS, LinkEffect.CUT, Set.of(), Set.of(number), 0));
            faults = more;
        });
        selector.wakeup();
    }

    /** Number of datagrams that each kind of fault applied to; to be called after {@link #close}. */
    public Map<LinkEffect, Long> faultCounts() {
        return faultCounts;
    }

    @Override
    public void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        selector.wakeup();
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Endpoint endpoint : endpointsByPort.values()) {
            if (endpoint.channel != null) {
                endpoint.channel.close();
            }
        }
        selector.close();
    }
}
