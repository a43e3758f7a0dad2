package dappleseam.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.clients.ClientFrontend;
import dappleseam.control.Door;
import dappleseam.control.Figures;
import dappleseam.control.Staff;
import dappleseam.list.ListFile;
import dappleseam.list.NodeList;
import dappleseam.router.NodeHealth;
import dappleseam.site.InvalidConfigException;
import dappleseam.site.ProxyConfig;
import dappleseam.site.ConfigReader;
import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import dappleseam.wire.RespWriter;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.nio.ReusePortListener;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** Runs one proxy on sockets until it is told to end. */
@Command(name = "serve", mixinStandardHelpOptions = true, description = "Serve clients on sockets.")
public final class Serve implements Callable<Integer> {
    private static final Logger LOG = System.getLogger(Serve.class.getName());
    /** Share of the memory for buffers; the launcher's flags leave a quarter for all direct memory. */
    private static final double SHARE_FOR_BUFFERS = 0.2;
    private static final int BYTES_PER_MB = 1 << 20;
    /** Descriptors that are no connection: the program's own files and its selectors. */
    private static final int OWN_DESCRIPTORS = 48;
    /** Share of the other descriptors that is kept for caches, origin and list. */
    private static final double SHARE_FOR_PEERS = 0.5;
    /** Share of the clients' descriptors for connections that are closed already, and held until the next select. */
    private static final double SHARE_FOR_CLOSED = 0.125;
    /** Descriptors for each connection that clients may hold for queries: they have a third of them at most. */
    private static final int DESCRIPTORS_A_CLIENT = 3;
    /** Time in ms from the start within which a listener has to be had; the system may lack descriptors or buffers for a moment. */
    private static final double SOCKETS_MS = 5000;
    /** Time in ms between looks whether the first list has come, and between two tries to listen. */
    private static final double LOOK_AGAIN_MS = 10;
    /** Connections that each process has room for, however few descriptors there are. */
    private static final int LEAST_CONNECTIONS = 24;
    /** Time in ms before the kill at which the program ends even if the I/O thread hangs. */
    private static final double LAST_LEAD_MS = 60;
    /** Time in ms for the last lines of the log to be written. */
    private static final long LAST_LINES_MS = 20;
    /** Time in ms in which a connection to itself comes up. */
    private static final double SELF_MS = 1000;
    /** Time in ms between publishings of the figures that take a walk. */
    private static final double PUBLISH_MS = 200;
    /** Longest wait for the list from the start, in ms: beside another process, and alone. */
    private static final double LIST_WAIT_MS = 2500;
    private static final double FIRST_LIST_MS = 1500;
    /** Rest between two writings of the list, as a multiple of what one took: a long list that changes often is not to take the processor. */
    private static final double KEEP_REST = 20;
    /** Time in ms until it is written again where it could not be. */
    private static final double KEEP_AGAIN_MS = 500;
    /** Time in ms between two writings of what was learnt: a share of the time for which it is news. */
    private static final double LEARNT_EVERY_MS = 1000;
    /** Ends of the names of what one process leaves for the next. */
    private static final String LIST = "-list";
    private static final String LEARNT = "-learnt";
    private static final String FLEET = "-fleet";

    @Option(names = "--config", defaultValue = "${env:NODE_CONFIG}", required = true,
            description = "What this proxy is told at its start, as JSON (default: the file that NODE_CONFIG names).")
    private Path config;

    @Option(names = "--check", description = "Rehearse queries with it, say whether they were answered, and end.")
    private boolean check;

    @Option(names = "--fleet", description = "What makes this proxy one of a fleet, as JSON (docs/fleet.md; default: it is on its own).")
    private Path fleetFile;

    private XnioWorker worker;
    private EventLoop loop;
    private ClientFrontend front;
    /** Null where no file was named: nothing of it is loaded then. */
    private InFleet fleet;
    private volatile Proxy proxy;
    /** The list last written for a process that takes over; the door's thread's. */
    private NodeList kept;
    private double keepListFrom;
    private List<NodeHealth> learntKept = List.of();
    private double learntKeptAt;
    private final Figures figures = new Figures();
    private Seats seats;
    private final double socketsUntil = EventLoop.machineMs() + SOCKETS_MS;
    private volatile boolean ready;
    private volatile boolean startedUp;
    private KillDelay killDelay;
    private final ConfigReader reader = new ConfigReader();
    private boolean rehearsed;
    private boolean awaitsList;
    private Shutdown shutdown;
    /** Nothing more is taken, and all that was is answered. */
    private final CountDownLatch ended = new CountDownLatch(1);

    /** As the launcher starts it: reading a command line would take a quarter of the time to be ready. */
    public static void main(String[] args) throws Exception {
        if (args.length > 0) {
            System.exit(new CommandLine(new Serve()).execute(args));
        }
        Serve serve = new Serve();
        serve.config = Path.of(System.getenv("NODE_CONFIG"));
        System.exit(serve.call());
    }

    @Override
    public Integer call() throws Exception {
        BackgroundLog.start();
        ProxyConfig post;
        try {
            post = reader.readConfig(config);
            fleet = fleetFile == null ? null : new InFleet(fleetFile, post, leftFile(post, FLEET), () -> proxy == null ? null : proxy.lastList());
        } catch (InvalidConfigException | IOException e) {
            System.err.println("dappleseam serve: " + e.getMessage());
            return 1;
        }
        killDelay = new KillDelay(post.settings().routerSettings());
        worker = awaitWorker();
        CountDownLatch started = new CountDownLatch(1);
        Signal.handle(new Signal("HUP"), signal -> { // each on a thread of its own; one that comes early waits
            awaitStart(started);
            reload();
        });
        // Not a shutdown hook: the platform's logging takes its handlers away at the same time, and lines were lost.
        AtomicBoolean told = new AtomicBoolean();
        for (String name : List.of("TERM", "INT")) {
            Signal.handle(new Signal(name), signal -> { // before the first client is let in: its query would be lost
                if (!told.getAndSet(true)) {
                    shutDown();
                }
            });
        }
        if (!start(post)) {
            return 1;
        }
        if (fleet != null && !check) {
            fleet.start();
        }
        startedUp = true;
        started.countDown();
        if (check) {
            return rehearsed && answersItself() ? 0 : 1;
        }
        Thread.sleep(Long.MAX_VALUE); // until a signal's thread ends the process
        return 0;
    }

    private static void awaitStart(CountDownLatch started) {
        try {
            started.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether it could; where not, the cause is said. */
    private boolean start(ProxyConfig post) throws InterruptedException {
        awaitSockets();
        if (post.control() != null && !openDoor(post)) {
            return false;
        }
        ProxyConfig known = seats != null && seats.areShared() ? withTakenOver(post) : post;
        ProxyConfig told = fleet == null ? known : fleet.withKept(known);
        int buffers = (int) (SHARE_FOR_BUFFERS * post.memoryMb() * (BYTES_PER_MB / BufferPool.SIZE));
        CountDownLatch begun = new CountDownLatch(1);
        Exception[] fault = new Exception[1];
        worker.getIoThread().execute(() -> {
            loop = new EventLoop(worker.getIoThread(), new BufferPool(buffers), forPeers(post, 1));
            try {
                proxy = new Proxy(loop, told, figures);
                proxy.recall(learntBefore(post));
                if (fleet != null) {
                    fleet.watch(proxy, loop, worker.getIoThread());
                }
                proxy.followList(); // its answer comes during the rehearsal
            } catch (IOException | RuntimeException e) {
                fault[0] = e;
                begun.countDown();
                return;
            }
            double listUntil = loop.nowMs() + (seats != null && seats.areShared() ? LIST_WAIT_MS : FIRST_LIST_MS);
            Rehearsal.play(loop, worker.getIoThread(), post, passed -> {
                rehearsed = passed;
                try { // a fault here is not the rehearsal's
                    front = new ClientFrontend(loop, proxy, forClients(post, 1),
                            post.descriptors() / DESCRIPTORS_A_CLIENT);
                    shutdown = new Shutdown(loop, front, proxy::abortAll, ended::countDown);
                    publish();
                    shareLimits(post);
                    listen(post, listUntil, fault, begun);
                } catch (RuntimeException e) {
                    fault[0] = e;
                    begun.countDown();
                }
            });
        });
        begun.await();
        if (fault[0] != null) {
            rehearsed = false;
            System.err.println("dappleseam serve: cannot start: " + fault[0].getMessage());
            return false;
        }
        LOG.log(Level.INFO, "{0} serves on {1}, rehearsed: {2}", post.name(), post.listen(), rehearsed);
        return true;
    }

    /** Descriptors for connections where so many processes hold those of one. */
    private int descriptors(ProxyConfig post, int processes) {
        int own = OWN_DESCRIPTORS + (post.control() == null ? 0 : Door.DESCRIPTORS + Seats.DESCRIPTORS)
                + (fleet == null ? 0 : InFleet.DESCRIPTORS);
        return Math.max(processes * LEAST_CONNECTIONS, post.descriptors() - processes * own);
    }

    /** What each of them may dial. */
    private int forPeers(ProxyConfig post, int processes) {
        return (int) (SHARE_FOR_PEERS / processes * descriptors(post, processes));
    }

    /** What any of them may take of clients, who choose between them. */
    private int forClients(ProxyConfig post, int processes) {
        return (int) ((descriptors(post, processes) - processes * forPeers(post, processes)) * (1 - SHARE_FOR_CLOSED));
    }

    /**
     * Waits for the first list: drains that the file does not know yet count as told from the first moment of a process, or were
     * told to the one beside it. Where the list service cannot be reached, a process that is alone listens at once.
     */
    private void listen(ProxyConfig post, double untilMs, Exception[] fault, CountDownLatch begun) {
        boolean shared = seats != null && seats.areShared();
        boolean mayCome = !proxy.hasHeardList() && (shared || !proxy.hasListFailed());
        if (mayCome && loop.nowMs() < untilMs) {
            if (!awaitsList) {
                awaitsList = true;
                LOG.log(Level.INFO, "waiting for the first list");
            }
            loop.scheduleAt(loop.nowMs() + LOOK_AGAIN_MS, () -> listen(post, untilMs, fault, begun));
            return;
        }
        try {
            proxy.prepare();
            front.listen(worker, post.listen());
        } catch (IOException | RuntimeException e) {
            if (mayPass(e) && EventLoop.machineMs() < socketsUntil) {
                loop.scheduleAt(loop.nowMs() + LOOK_AGAIN_MS, () -> listen(post, untilMs, fault, begun));
                return;
            }
            fault[0] = e;
            begun.countDown();
            return;
        }
        if (seats != null) {
            seats.listens();
        }
        ready = true;
        begun.countDown();
    }

    /** Waits until the I/O thread's selector is to be had; its descriptors may be short for a moment. */
    private XnioWorker awaitWorker() throws IOException, InterruptedException {
        OptionMap oneThread = OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1).set(Options.THREAD_DAEMON, true).getMap();
        while (true) {
            try {
                Selector.open().close(); // XNIO looks once for what it needs, and is of no use after that where it found nothing
                return Xnio.getInstance().createWorker(oneThread);
            } catch (IOException e) {
                if (EventLoop.machineMs() > socketsUntil) {
                    throw e;
                }
                Thread.sleep((long) LOOK_AGAIN_MS);
            }
        }
    }

    /** Waits until a socket is to be had; where none is in time, what needs one says so. */
    private void awaitSockets() throws InterruptedException {
        while (EventLoop.machineMs() < socketsUntil) {
            try {
                ReusePortListener.probeReusePort();
                return;
            } catch (IOException e) {
                Thread.sleep((long) LOOK_AGAIN_MS);
            }
        }
    }

    /** Whether a socket may be had a moment later: the system lacks something now, the address is right. */
    private static boolean mayPass(Exception e) {
        return e instanceof IOException && !(e instanceof BindException);
    }

    /** The one that may be written to. */
    private static Path folder() {
        String told = System.getenv("TMPDIR");
        return Path.of(told == null || told.isEmpty() ? System.getProperty("java.io.tmpdir") : told);
    }

    /** For the door and the fleet, where there is one: it walks all nodes. */
    private void publish() {
        if (seats == null && fleet == null) {
            return;
        }
        proxy.publish();
        loop.scheduleAt(loop.nowMs() + PUBLISH_MS, this::publish);
    }

    /** Guards rule 3 over an upgrade: what the other process was told of drains holds for this one. */
    private static ProxyConfig withTakenOver(ProxyConfig post) {
        try {
            JsonNode list = ListFile.read(leftFile(post, LIST));
            long version = post.knownList().path("rev").asLong(-1);
            if (list.path("rev").asLong() >= version) {
                LOG.log(Level.INFO, "list taken over at version {0}, the file had {1}", list.path("rev").asLong(), version);
                return post.withKnownList(list);
            }
        } catch (IOException | RuntimeException e) { // it was worth a try
            LOG.log(Level.INFO, "no list taken over: {0}", e.toString());
        }
        return post;
    }

    /** Guards the first seconds after a switch: nodes that are ill, and known to be, are still avoided. */
    private List<NodeHealth> learntBefore(ProxyConfig post) {
        try {
            List<NodeHealth> learnt = seats == null ? List.of() : LearntFile.read(leftFile(post, LEARNT), post.settings(), loop.nowMs());
            LOG.log(Level.INFO, "learnt before of {0} nodes", learnt.size());
            return learnt;
        } catch (IOException | RuntimeException e) { // it was worth a try
            LOG.log(Level.INFO, "nothing learnt is taken over: {0}", e.toString());
            return List.of();
        }
    }

    /** Where processes on one address leave something for each other. */
    private static Path leftFile(ProxyConfig post, String what) {
        return folder().resolve(Seats.VERSION).resolve(Seats.name(post.listen()) + what);
    }

    /** On the door's thread. */
    private void keepList(ProxyConfig post) {
        Proxy serving = proxy;
        double now = EventLoop.machineMs();
        NodeList last = serving == null ? kept : serving.lastList();
        if (last == kept || now < keepListFrom || !seats.isFirst()) {
            return;
        }
        try {
            ListFile.write(leftFile(post, LIST), last);
            kept = last;
            keepListFrom = now + KEEP_REST * (EventLoop.machineMs() - now);
        } catch (IOException | RuntimeException e) {
            keepListFrom = now + KEEP_AGAIN_MS;
            LOG.log(Level.WARNING, "the list is not kept yet for a process that takes over: {0}", e.toString());
        }
    }

    /** On the door's thread. */
    private void keepLearnt(ProxyConfig post) {
        Proxy serving = proxy;
        double now = EventLoop.machineMs();
        boolean isNews = serving != null && !(serving.learnt().isEmpty() && learntKept.isEmpty());
        if (isNews && now > learntKeptAt + LEARNT_EVERY_MS && seats.isFirst()) {
            learntKeptAt = now;
            List<NodeHealth> last = serving.learnt();
            try {
                LearntFile.write(leftFile(post, LEARNT), post.settings(), now, last);
                learntKept = last;
            } catch (IOException | RuntimeException e) {
                LOG.log(Level.WARNING, "what was learnt is not kept: {0}", e.toString());
            }
        }
    }

    private boolean openDoor(ProxyConfig post) throws InterruptedException {
        seats = Seats.take(folder(), post.listen());
        while (true) {
            try {
                listenForOperators(post);
                return true;
            } catch (IOException | RuntimeException e) {
                if (!mayPass(e) || EventLoop.machineMs() > socketsUntil) {
                    System.err.println("dappleseam serve: control: cannot listen on " + post.control() + ": " + e.getMessage());
                    return false;
                }
            }
            Thread.sleep((long) LOOK_AGAIN_MS);
        }
    }

    private void listenForOperators(ProxyConfig post) throws IOException {
        boolean[] shared = {seats.areShared()};
        new Door(post.control(), new Staff() {
            @Override
            public boolean isReady() {
                return ready;
            }

            @Override
            public void outOfService() {
                ready = false;
                worker.getIoThread().execute(() -> {
                    if (front != null) {
                        front.takeOutOfService();
                    }
                });
                LOG.log(Level.INFO, "out of service: clients are sent away");
            }

            @Override
            public void inService() {
                worker.getIoThread().execute(() -> {
                    if (front != null && front.isListening()) {
                        front.returnToService();
                        ready = true;
                    }
                });
                LOG.log(Level.INFO, "in service: clients are taken");
            }
        }, figures, fleet, () -> {
            seats.look();
            keepList(post);
            keepLearnt(post);
            if (seats.areShared() != shared[0]) {
                shared[0] = !shared[0];
                LOG.log(Level.INFO, "{0}", shared[0] ? "another process serves this address, too"
                        : "alone on this address");
                worker.getIoThread().execute(() -> shareLimits(post));
            }
        });
    }

    /** Guards the limits on descriptors, which hold for two processes on one address together. */
    private void shareLimits(ProxyConfig post) {
        if (front == null || seats == null) {
            return;
        }
        int processes = seats.areShared() ? 2 : 1;
        loop.limitDialled(forPeers(post, processes));
        front.setMaxConnections(forClients(post, processes));
    }

    /** Whether a PING through a socket of its own comes back; the archive of classes is to hold what sockets need, too. */
    private boolean answersItself() {
        CompletableFuture<Boolean> ponged = new CompletableFuture<>();
        worker.getIoThread().execute(proxy::followList); // whatever comes of it
        InetSocketAddress own;
        try {
            own = front.address();
        } catch (IOException e) {
            return false;
        }
        worker.getIoThread().execute(() -> loop.connect(own, SELF_MS, connection -> {
            Link self = loop.createLink(connection, new Link.Listener() {
                @Override
                public void received(ByteBuffer bytes) {
                    ponged.complete(StandardCharsets.US_ASCII.decode(bytes).toString().startsWith("+PONG"));
                }

                @Override
                public void disconnected(String cause) {
                    ponged.complete(false);
                }
            });
            self.resume();
            RespWriter.array(self.out(), 1);
            RespWriter.bulk(self.out(), "PING");
            self.flush();
        }, cause -> ponged.complete(false)));
        return ponged.join();
    }

    /**
     * SIGHUP: reads the file again, on the signal's own thread. Guards service against a bad one, which changes nothing,
     * and against an older one: of two signals at once, the last to read is the last to be heard.
     */
    private synchronized void reload() {
        try {
            Runnable fleetAnew = fleet == null ? () -> { } : fleet.readAgain();
            ProxyConfig post = reader.readConfig(config);
            fleetAnew.run();
            killDelay.changed(post.settings().routerSettings(), EventLoop.machineMs());
            worker.getIoThread().execute(() -> {
                proxy.reloaded(post);
                shutdown.killWithin(KillDelay.delayMs(post.settings().routerSettings())); // where SIGTERM has come before
            });
            figures.reloaded(true);
            LOG.log(Level.INFO, "configuration read again: the list is at {0}", post.listService());
        } catch (InvalidConfigException | IOException e) {
            figures.reloaded(false);
            LOG.log(Level.WARNING, "configuration not taken: {0}", e.getMessage());
        }
    }

    /** SIGTERM: answers all it has taken, and ends with status 0; a process that serves nobody yet ends at once. */
    private void shutDown() {
        double toldAt = EventLoop.machineMs(); // the platform counts from here, however late the I/O thread hears of it
        ready = false;
        boolean handOver = seats != null && seats.otherListens();
        LOG.log(Level.INFO, "told to end: answering what was taken, {0}",
                handOver ? "another process takes the clients" : "no other process is here");
        boolean inFleet = fleet != null && startedUp;
        if (inFleet && handOver) {
            fleet.end(true);
        }
        worker.getIoThread().execute(() -> {
            if (front == null || !front.isListening()) { // nor will it: this thread is its
                ended.countDown();
            } else {
                shutdown.begin(handOver, loop.nowMs() - toldAt, killDelay.earliestMs(EventLoop.machineMs()));
            }
        });
        awaitEnd(toldAt);
        if (inFleet && !handOver) {
            fleet.end(false); // not before: until here it takes its share of what the fleet may send
        }
        LOG.log(Level.INFO, "ended");
        BackgroundLog.written(LAST_LINES_MS);
        Runtime.getRuntime().halt(0);
    }

    /** Until all is answered; also where the I/O thread hangs, until shortly before the kill, which new settings may bring nearer. */
    private void awaitEnd(double toldAt) {
        double killMs = killDelay.earliestMs(EventLoop.machineMs());
        try {
            while (EventLoop.machineMs() - toldAt < killMs - LAST_LEAD_MS && !ended.await((long) LOOK_AGAIN_MS, TimeUnit.MILLISECONDS)) {
                killMs = Math.min(killMs, killDelay.earliestMs(EventLoop.machineMs()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
