package dappleseam.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.clients.ClientFront;
import dappleseam.control.Door;
import dappleseam.control.Figures;
import dappleseam.control.Staff;
import dappleseam.list.ListFile;
import dappleseam.list.NodeList;
import dappleseam.router.Learnt;
import dappleseam.site.FaultySettingException;
import dappleseam.site.Post;
import dappleseam.site.SiteReader;
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
import org.xnio.nio.SharedPort;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** Runs one proxy on sockets until SIGTERM or SIGINT. */
@Command(name = "serve", mixinStandardHelpOptions = true, description = "Serve clients on sockets.")
public final class Serve implements Callable<Integer> {
    private static final Logger LOG = System.getLogger(Serve.class.getName());
    /** Share of the memory limit for buffers; the launcher's flags leave a quarter for all direct memory. */
    private static final double SHARE_FOR_BUFFERS = 0.2;
    private static final int BYTES_PER_MB = 1 << 20;
    /** Descriptors that are not connections: the program's files and selectors. */
    private static final int OWN_DESCRIPTORS = 48;
    /** Share of the remaining descriptors for connections to caches, the origin and the list service. */
    private static final double SHARE_FOR_PEERS = 0.5;
    /** Share of the clients' descriptors for connections that are already closed, but occupy a descriptor until the next select. */
    private static final double SHARE_FOR_CLOSED = 0.125;
    /** Descriptors per client connection that may be open for queries: such connections take at most a third of all descriptors. */
    private static final int DESCRIPTORS_A_CLIENT = 3;
    /** Time in ms from the start for which opening sockets is retried; the system may lack descriptors or buffers for a moment. */
    private static final double SOCKETS_MS = 5000;
    /** Interval in ms at which the first list is polled for, and opening a socket is retried. */
    private static final double LOOK_AGAIN_MS = 10;
    /** Minimum number of connections per process, however few descriptors there are. */
    private static final int LEAST_CONNECTIONS = 24;
    /** Time in ms before the kill at which the process exits even if the I/O thread hangs. */
    private static final double LAST_LEAD_MS = 60;
    /** Maximum time in ms for writing the last log lines. */
    private static final long LAST_LINES_MS = 20;
    /** Timeout in ms of the check's connection to its own port. */
    private static final double SELF_MS = 1000;
    /** Interval in ms at which state that takes a pass over all nodes is published. */
    private static final double PUBLISH_MS = 200;
    /** Maximum wait in ms for the first list: while another process serves the address, and otherwise. */
    private static final double LIST_WAIT_MS = 2500;
    private static final double FIRST_LIST_MS = 1500;
    /** Pause between two writes of the list, as a multiple of a write's duration, so that a long list that changes often does not use up the processor. */
    private static final double KEEP_REST = 20;
    /** Time in ms until a failed write of the list is retried. */
    private static final double KEEP_AGAIN_MS = 500;
    /** Interval in ms between writes of the node health; a fraction of the time for which it is valid. */
    private static final double LEARNT_EVERY_MS = 1000;
    /** File name suffixes of the state that one process leaves for the next. */
    private static final String LIST = "-list";
    private static final String LEARNT = "-learnt";
    private static final String FLEET = "-fleet";

    @Option(names = "--config", defaultValue = "${env:NODE_CONFIG}", required = true,
            description = "This proxy's configuration, as JSON (default: the file that NODE_CONFIG names).")
    private Path config;

    @Option(names = "--check", description = "Run the warm-up queries and a PING, report success by the exit status, and end.")
    private boolean check;

    @Option(names = "--fleet", description = "Configuration that makes this proxy a member of a fleet, as JSON (docs/fleet.md; default: no fleet).")
    private Path fleetFile;

    private XnioWorker worker;
    private EventLoop loop;
    private ClientFront front;
    /** Null if no fleet file was given; no fleet class is loaded then. */
    private InFleet fleet;
    private volatile Proxy proxy;
    /** The list last written for the next process; used on the control thread only. */
    private NodeList kept;
    private double keepListFrom;
    private List<Learnt> learntKept = List.of();
    private double learntKeptAt;
    private final Figures figures = new Figures();
    private Seats seats;
    private final double socketsUntil = EventLoop.machineMs() + SOCKETS_MS;
    private volatile boolean ready;
    private volatile boolean startedUp;
    private KillDelay killDelay;
    private final SiteReader reader = new SiteReader();
    private boolean rehearsed;
    private boolean awaitsList;
    private Shutdown shutdown;
    /** Released once no more queries are accepted and all are answered. */
    private final CountDownLatch ended = new CountDownLatch(1);

    /** The launcher's entry point. Without arguments it skips parsing the command line, which would take a quarter of the startup time. */
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
        Post post;
        try {
            post = reader.readPost(config);
            fleet = fleetFile == null ? null : new InFleet(fleetFile, post, leftFile(post, FLEET), () -> proxy == null ? null : proxy.lastList());
        } catch (FaultySettingException | IOException e) {
            System.err.println("dappleseam serve: " + e.getMessage());
            return 1;
        }
        killDelay = new KillDelay(post.site().deployment());
        worker = awaitWorker();
        CountDownLatch started = new CountDownLatch(1);
        Signal.handle(new Signal("HUP"), signal -> { // each signal runs on its own thread; an early one waits
            awaitStart(started);
            reload();
        });
        // Not a shutdown hook: java.util.logging removes its handlers in a hook of its own at the same time, and log lines were lost.
        AtomicBoolean told = new AtomicBoolean();
        for (String name : List.of("TERM", "INT")) {
            Signal.handle(new Signal(name), signal -> { // installed before the first client is accepted, whose query would otherwise be lost
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
        Thread.sleep(Long.MAX_VALUE); // until a signal handler ends the process
        return 0;
    }

    private static void awaitStart(CountDownLatch started) {
        try {
            started.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts serving; prints the cause and returns false if that fails. */
    private boolean start(Post post) throws InterruptedException {
        awaitSockets();
        if (post.control() != null && !openDoor(post)) {
            return false;
        }
        Post known = seats != null && seats.areShared() ? withTakenOver(post) : post;
        Post told = fleet == null ? known : fleet.withKept(known);
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
                proxy.followList(); // answered while the warm-up runs
            } catch (IOException | RuntimeException e) {
                fault[0] = e;
                begun.countDown();
                return;
            }
            double listUntil = loop.nowMs() + (seats != null && seats.areShared() ? LIST_WAIT_MS : FIRST_LIST_MS);
            Rehearsal.play(loop, worker.getIoThread(), post, passed -> {
                rehearsed = passed;
                try { // a failure here is not one of the warm-up
                    front = new ClientFront(loop, proxy, forClients(post, 1),
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

    /** Descriptors for connections when that many processes share the limit of one. */
    private int descriptors(Post post, int processes) {
        int own = OWN_DESCRIPTORS + (post.control() == null ? 0 : Door.DESCRIPTORS + Seats.DESCRIPTORS)
                + (fleet == null ? 0 : InFleet.DESCRIPTORS);
        return Math.max(processes * LEAST_CONNECTIONS, post.descriptors() - processes * own);
    }

    /** Maximum number of outgoing connections of each process. */
    private int forPeers(Post post, int processes) {
        return (int) (SHARE_FOR_PEERS / processes * descriptors(post, processes));
    }

    /** Maximum number of client connections of each process; any one of them may get all clients. */
    private int forClients(Post post, int processes) {
        return (int) ((descriptors(post, processes) - processes * forPeers(post, processes)) * (1 - SHARE_FOR_CLOSED));
    }

    /**
     * Opens the client listener, once the first list is there. Drains that the configuration file does not contain yet count as known from the start of
     * the process, or were sent to the other process on the address. If the list service cannot be reached, a process that is alone listens at once.
     */
    private void listen(Post post, double untilMs, Exception[] fault, CountDownLatch begun) {
        boolean shared = seats != null && seats.areShared();
        boolean mayCome = !proxy.hasHeardList() && (shared || !proxy.hasListFailed());
        if (mayCome && loop.nowMs() < untilMs) {
            if (!awaitsList) {
                awaitsList = true;
                LOG.log(Level.INFO, "waiting for the first list");
            }
            loop.at(loop.nowMs() + LOOK_AGAIN_MS, () -> listen(post, untilMs, fault, begun));
            return;
        }
        try {
            proxy.prepare();
            front.listen(worker, post.listen());
        } catch (IOException | RuntimeException e) {
            if (mayPass(e) && EventLoop.machineMs() < socketsUntil) {
                loop.at(loop.nowMs() + LOOK_AGAIN_MS, () -> listen(post, untilMs, fault, begun));
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

    /** Creates the I/O worker; retries while no selector can be opened, as descriptors may be short for a moment. */
    private XnioWorker awaitWorker() throws IOException, InterruptedException {
        OptionMap oneThread = OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1).set(Options.THREAD_DAEMON, true).getMap();
        while (true) {
            try {
                Selector.open().close(); // XNIO probes for a selector only once, and is unusable if that fails
                return Xnio.getInstance().createWorker(oneThread);
            } catch (IOException e) {
                if (EventLoop.machineMs() > socketsUntil) {
                    throw e;
                }
                Thread.sleep((long) LOOK_AGAIN_MS);
            }
        }
    }

    /** Waits until a socket can be opened; after the time limit, the code that needs one reports the error. */
    private void awaitSockets() throws InterruptedException {
        while (EventLoop.machineMs() < socketsUntil) {
            try {
                SharedPort.lookForSharing();
                return;
            } catch (IOException e) {
                Thread.sleep((long) LOOK_AGAIN_MS);
            }
        }
    }

    /** Whether a retry may succeed: the system lacks a resource at the moment, and the address is valid. */
    private static boolean mayPass(Exception e) {
        return e instanceof IOException && !(e instanceof BindException);
    }

    /** The folder for files shared with the next process. */
    private static Path folder() {
        String told = System.getenv("TMPDIR");
        return Path.of(told == null || told.isEmpty() ? System.getProperty("java.io.tmpdir") : told);
    }

    /** Publishes state periodically if a control server or a fleet reads it: that takes a pass over all nodes. */
    private void publish() {
        if (seats == null && fleet == null) {
            return;
        }
        proxy.publish();
        loop.at(loop.nowMs() + PUBLISH_MS, this::publish);
    }

    /** Rule 3 during an upgrade: drains known to the other process hold for this one, too. */
    private static Post withTakenOver(Post post) {
        try {
            JsonNode list = ListFile.read(leftFile(post, LIST));
            long version = post.known().path("rev").asLong(-1);
            if (list.path("rev").asLong() >= version) {
                LOG.log(Level.INFO, "list taken over at version {0}, the file had {1}", list.path("rev").asLong(), version);
                return post.withKnown(list);
            }
        } catch (IOException | RuntimeException e) { // optional
            LOG.log(Level.INFO, "no list taken over: {0}", e.toString());
        }
        return post;
    }

    /** Reads the node health of the previous process, so that nodes known to fail are avoided in the first seconds after a switch. */
    private List<Learnt> learntBefore(Post post) {
        try {
            List<Learnt> learnt = seats == null ? List.of() : LearntFile.read(leftFile(post, LEARNT), post.site(), loop.nowMs());
            LOG.log(Level.INFO, "learnt before of {0} nodes", learnt.size());
            return learnt;
        } catch (IOException | RuntimeException e) { // optional
            LOG.log(Level.INFO, "nothing learnt is taken over: {0}", e.toString());
            return List.of();
        }
    }

    /** A file that processes on one address use to hand state over. */
    private static Path leftFile(Post post, String what) {
        return folder().resolve(Seats.VERSION).resolve(Seats.name(post.listen()) + what);
    }

    /** Writes the list for the next process if it has changed. On the control thread. */
    private void keepList(Post post) {
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

    /** Writes the node health for the next process. On the control thread. */
    private void keepLearnt(Post post) {
        Proxy serving = proxy;
        double now = EventLoop.machineMs();
        boolean isNews = serving != null && !(serving.learnt().isEmpty() && learntKept.isEmpty());
        if (isNews && now > learntKeptAt + LEARNT_EVERY_MS && seats.isFirst()) {
            learntKeptAt = now;
            List<Learnt> last = serving.learnt();
            try {
                LearntFile.write(leftFile(post, LEARNT), post.site(), now, last);
                learntKept = last;
            } catch (IOException | RuntimeException e) {
                LOG.log(Level.WARNING, "what was learnt is not kept: {0}", e.toString());
            }
        }
    }

    /** Starts the control server; prints the cause and returns false if that fails. */
    private boolean openDoor(Post post) throws InterruptedException {
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

    private void listenForOperators(Post post) throws IOException {
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
                        front.outOfService();
                    }
                });
                LOG.log(Level.INFO, "out of service: clients are sent away");
            }

            @Override
            public void inService() {
                worker.getIoThread().execute(() -> {
                    if (front != null && front.isListening()) {
                        front.inService();
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

    /** Applies the connection limits: two processes on one address share one limit on descriptors. */
    private void shareLimits(Post post) {
        if (front == null || seats == null) {
            return;
        }
        int processes = seats.areShared() ? 2 : 1;
        loop.limitDialled(forPeers(post, processes));
        front.limit(forClients(post, processes));
    }

    /** Whether a PING to its own port is answered; this also loads the socket classes, so that the class archive contains them. */
    private boolean answersItself() {
        CompletableFuture<Boolean> ponged = new CompletableFuture<>();
        worker.getIoThread().execute(proxy::followList); // only loads the classes; the result does not matter
        InetSocketAddress own;
        try {
            own = front.address();
        } catch (IOException e) {
            return false;
        }
        worker.getIoThread().execute(() -> loop.dial(own, SELF_MS, connection -> {
            Link self = loop.link(connection, new Link.Events() {
                @Override
                public void received(ByteBuffer bytes) {
                    ponged.complete(StandardCharsets.US_ASCII.decode(bytes).toString().startsWith("+PONG"));
                }

                @Override
                public void ended(String cause) {
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
     * SIGHUP: reads the configuration again, on the signal's thread. A faulty file changes nothing. Synchronized, so that of two
     * concurrent signals the one that reads last also applies last, and an older file cannot replace a newer one.
     */
    private synchronized void reload() {
        try {
            Runnable fleetAnew = fleet == null ? () -> { } : fleet.readAgain();
            Post post = reader.readPost(config);
            fleetAnew.run();
            killDelay.changed(post.site().deployment(), EventLoop.machineMs());
            worker.getIoThread().execute(() -> {
                proxy.reloaded(post);
                shutdown.killWithin(KillDelay.delayMs(post.site().deployment())); // if SIGTERM came before
            });
            figures.reloaded(true);
            LOG.log(Level.INFO, "configuration read again: the list is at {0}", post.listService());
        } catch (FaultySettingException | IOException e) {
            figures.reloaded(false);
            LOG.log(Level.WARNING, "configuration not taken: {0}", e.getMessage());
        }
    }

    /** SIGTERM: answers all open queries and exits with status 0; a process that does not serve yet exits at once. */
    private void shutDown() {
        double toldAt = EventLoop.machineMs(); // the platform's kill delay starts here, however late the I/O thread reacts
        ready = false;
        boolean handOver = seats != null && seats.otherListens();
        LOG.log(Level.INFO, "told to end: answering what was taken, {0}",
                handOver ? "another process takes the clients" : "no other process is here");
        boolean inFleet = fleet != null && startedUp;
        if (inFleet && handOver) {
            fleet.end(true);
        }
        worker.getIoThread().execute(() -> {
            if (front == null || !front.isListening()) { // and it will not start to: that would happen on this thread
                ended.countDown();
            } else {
                shutdown.begin(handOver, loop.nowMs() - toldAt, killDelay.earliestMs(EventLoop.machineMs()));
            }
        });
        awaitEnd(toldAt);
        if (inFleet && !handOver) {
            fleet.end(false); // only now: up to here this proxy uses its share of the fleet's limits
        }
        LOG.log(Level.INFO, "ended");
        BackgroundLog.written(LAST_LINES_MS);
        Runtime.getRuntime().halt(0);
    }

    /** Waits until all is answered, but only until shortly before the kill, in case the I/O thread hangs. New settings may bring the kill forward. */
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
