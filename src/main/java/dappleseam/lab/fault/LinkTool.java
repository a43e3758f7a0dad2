package dappleseam.lab.fault;

import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.peers.MessageCodec;
import dappleseam.fleet.peers.FleetMessage;
import dappleseam.fleet.peers.InvalidDatagramException;
import dappleseam.lab.fleet.Planted;
import dappleseam.lab.scenario.FleetScenario.LinkFault;
import dappleseam.lab.scenario.FleetScenario.LinkHow;
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
public final class LinkTool implements AutoCloseable {
    private static final double NANOS_PER_MS = 1e6;
    private static final int GARBLED_BYTES = 8;
    private static final int ROOM = 512 << 10;
    /** Smallest second byte of a run's own address, in 127.64.0.0/10, where nothing else is bound. */
    private static final int OWN_FROM = 64;

    private final MessageCodec envelope;
    private final long seed;
    private final Planted planted;
    private final InetAddress host;
    private final Selector selector = Selector.open();
    private final Map<Integer, Place> byPort = new HashMap<>();
    private final Map<Long, SplittableRandom> links = new HashMap<>();
    private final PriorityQueue<Waiting> waiting = new PriorityQueue<>();
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final Map<LinkHow, Long> done = new EnumMap<>(LinkHow.class);
    private final ByteBuffer in = ByteBuffer.allocate(2048);
    /** Each proxy's own entry as it last sent it, for forged messages. */
    private final Map<Integer, MemberEntry> lastSelf = new HashMap<>();
    private final Map<FleetMessage.Kind, Long> kinds = new EnumMap<>(FleetMessage.Kind.class);
    private volatile List<LinkFault> script = List.of();
    private volatile long beganNanos;
    private volatile boolean over;
    private volatile long passed;
    private volatile long passedBytes;
    private long count;
    private final Thread thread;

    /** The port at which a proxy is reached, and the one where it listens. */
    private static final class Place {
        final int number;
        final int port;
        final int bindPort;
        DatagramChannel channel;

        Place(int number, int port, int bindPort) {
            this.number = number;
            this.port = port;
            this.bindPort = bindPort;
        }
    }

    /** A datagram that is to be forwarded at a time. */
    private record Waiting(long atNanos, long order, Place from, Place to, byte[] bytes) implements Comparable<Waiting> {
        @Override
        public int compareTo(Waiting other) {
            return atNanos != other.atNanos ? Long.compare(atNanos, other.atNanos) : Long.compare(order, other.order);
        }
    }

    public LinkTool(String fleet, long seed, Planted planted) throws IOException {
        this.seed = seed;
        byte[] own = ByteBuffer.allocate(Long.BYTES).putLong(new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid() << 32).nextLong()).array();
        host = InetAddress.getByAddress(new byte[] {127, (byte) (OWN_FROM | own[0] & OWN_FROM - 1), own[1], (byte) (1 | own[2])});
        this.planted = planted;
        envelope = new MessageCodec(fleet);
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
        Place place = new Place(number, port, bindPort);
        place.channel = channel;
        byPort.put(port, place);
        return port;
    }

    /** The same while the relay runs, from any thread. */
    public int addWhileRunning(int number, int bindPort) throws IOException {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        posted.add(() -> {
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
        channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, ROOM);
        channel.bind(new InetSocketAddress(host, port));
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ);
        return channel;
    }

    public void start() {
        beganNanos = System.nanoTime();
        thread.start();
    }

    /** Replaces the faults; their times count from now. */
    public void play(List<LinkFault> faults) {
        beganNanos = System.nanoTime();
        script = faults;
    }

    /** Closes or opens the port of a proxy whose process has ended or started; with a closed port, the system refuses its datagrams as on a real host. */
    public void isUp(int port, boolean up) {
        posted.add(() -> {
            Place place = byPort.get(port);
            try {
                if (!up && place.channel != null) {
                    place.channel.close();
                    place.channel = null;
                } else if (up && place.channel == null) {
                    place.channel = open(port);
                }
            } catch (IOException e) {
                throw new IllegalStateException("a port of the datagram fault injector could not be opened or closed", e);
            }
        });
        selector.wakeup();
    }

    private void run() {
        try {
            while (!over) {
                long sleep = waiting.isEmpty() ? 50 : (long) Math.ceil((waiting.peek().atNanos - System.nanoTime()) / NANOS_PER_MS);
                if (sleep > 0) {
                    selector.select(sleep);
                } else {
                    selector.selectNow();
                }
                selector.selectedKeys().clear();
                for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                    task.run();
                }
                for (Place place : List.copyOf(byPort.values())) {
                    receive(place);
                }
                while (!waiting.isEmpty() && waiting.peek().atNanos <= System.nanoTime()) {
                    Waiting due = waiting.poll();
                    send(due.from, due.to, due.bytes);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("the datagram fault injector failed", e);
        }
    }

    private void receive(Place to) throws IOException {
        for (int i = 0; i < 64 && to.channel != null; i++) {
            in.clear();
            InetSocketAddress source = (InetSocketAddress) to.channel.receive(in);
            if (source == null) {
                return;
            }
            try {
                FleetMessage letter = envelope.decode(in.array(), in.position());
                Place from = byPort.get(letter.sender().address().getPort());
                if (from != null) {
                    // A datagram from another port than the sender's own is a connected ping to a member that has failed.
                    pass(from, to, letter, Arrays.copyOf(in.array(), in.position()), source.getPort() != from.bindPort);
                }
            } catch (InvalidDatagramException e) {
                continue; // not from a proxy of this run
            }
        }
    }

    private void pass(Place from, Place to, FleetMessage letter, byte[] sent, boolean isCall) {
        byte[] bytes = sent;
        kinds.merge(letter.kind(), 1L, Long::sum);
        if (planted != Planted.NONE) {
            lastSelf.put(from.number, letter.sender());
            planted.forged(letter, new MemberName("lab-" + to.number)).forEach(this::forge);
            FleetMessage left = planted.passed(letter, new MemberName("lab-" + to.number), isCall);
            if (left == null) {
                return;
            }
            bytes = left.equals(letter) ? sent : envelope.encode(left);
        }
        double atS = (System.nanoTime() - beganNanos) / NANOS_PER_MS / 1000;
        SplittableRandom random = links.computeIfAbsent(((long) from.port << 32) + to.port, k -> new SplittableRandom(seed ^ from.number * 1_000_003L ^ to.number));
        double delayMs = 0;
        int copies = 1;
        for (LinkFault fault : script) {
            if (atS < fault.atS() || atS >= fault.atS() + fault.forS() || !fault.concerns(from.number, to.number)) {
                continue;
            }
            boolean hits = fault.how() == LinkHow.CUT || fault.how() == LinkHow.DELAY || fault.how() == LinkHow.REORDER
                    || random.nextDouble() < fault.size();
            if (!hits) {
                continue;
            }
            done.merge(fault.how(), 1L, Long::sum);
            switch (fault.how()) {
                case CUT, LOSS -> {
                    return;
                }
                case DELAY -> delayMs += fault.size();
                case REORDER -> delayMs += fault.size() * random.nextDouble();
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
            waiting.add(new Waiting(System.nanoTime() + (long) (delayMs * NANOS_PER_MS), count++, from, to, bytes));
        }
    }

    /** Sends a forged message immediately, even over a link that is cut, as if all could reach the faulty voter. */
    private void forge(Planted.Forged forged) {
        Place from = placeOf(forged.from());
        Place to = placeOf(forged.to());
        MemberEntry self = from == null ? null : lastSelf.get(from.number);
        if (self != null && to != null) {
            FleetMessage letter = FleetMessage.of(self, forged.ballot());
            waiting.add(new Waiting(System.nanoTime(), count++, from, to, envelope.encode(letter)));
        }
    }

    private Place placeOf(MemberName name) {
        return byPort.values().stream().filter(p -> name.text().equals("lab-" + p.number)).findFirst().orElse(null);
    }

    private void send(Place from, Place to, byte[] bytes) {
        try {
            if (from.channel != null && to.channel != null) {
                from.channel.send(ByteBuffer.wrap(bytes), new InetSocketAddress(InetAddress.getByName("127.0.0.1"), to.bindPort));
                passed++;
                passedBytes += bytes.length;
            }
        } catch (IOException e) {
            done.merge(LinkHow.LOSS, 1L, Long::sum); // counts as lost
        }
    }

    /** Number of datagrams forwarded. */
    public long passed() {
        return passed;
    }

    /** Their total size. */
    public long passedBytes() {
        return passedBytes;
    }

    /** Number of datagrams received of each kind; to be called after {@link #close}. */
    public Map<FleetMessage.Kind, Long> kinds() {
        return kinds;
    }

    /** Extends a fault; returns the extended one. From any thread. */
    public LinkFault prolong(LinkFault fault, double byS) {
        LinkFault longer = fault.prolonged(byS);
        posted.add(() -> script = script.stream().map(f -> f.equals(fault) ? longer : f).toList());
        selector.wakeup();
        return longer;
    }

    /** Cuts all links of that proxy, starting now. From any thread. */
    public void isolate(int number, double forS) {
        posted.add(() -> {
            double atS = (System.nanoTime() - beganNanos) / NANOS_PER_MS / 1000;
            List<LinkFault> more = new ArrayList<>(script);
            more.add(new LinkFault(atS, forS, LinkHow.CUT, Set.of(number), Set.of(), 0));
            more.add(new LinkFault(atS, forS, LinkHow.CUT, Set.of(), Set.of(number), 0));
            script = more;
        });
        selector.wakeup();
    }

    /** Number of datagrams that each kind of fault applied to; to be called after {@link #close}. */
    public Map<LinkHow, Long> done() {
        return done;
    }

    @Override
    public void close() throws IOException {
        if (over) {
            return;
        }
        over = true;
        selector.wakeup();
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Place place : byPort.values()) {
            if (place.channel != null) {
                place.channel.close();
            }
        }
        selector.close();
    }
}
