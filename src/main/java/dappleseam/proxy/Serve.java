package dappleseam.proxy;

import dappleseam.clients.ClientFrontend;
import dappleseam.control.ControlServer;
import dappleseam.control.Metrics;
import dappleseam.control.ServiceState;
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

/** Runs one proxy on sockets until SIGTERM or SIGINT. */
@Command(name = "serve", mixinStandardHelpOptions = true, description = "Serve clients on sockets.")
public final class Serve implements Callable<Integer> {
    private static final Logger LOG = System.getLogger(Serve.class.getName());
    /** Descriptors that are not connections: the program's files and selectors. */
    private static final int RESERVED_DESCRIPTORS = 48;
    /** Share of the remaining descriptors for connections to caches, the origin and the list service. */
    private static final double PEER_DESCRIPTOR_SHARE = 0.5;
    /** Share of the clients' descriptors for connections that are already closed, but occupy a descriptor until the next select. */
    private static final double CLOSED_CONNECTION_SHARE = 0.125;
    /** Descriptors per client connection that may be open for queries: such connections take at most a third of all descriptors. */
    private static final int DESCRIPTORS_PER_CLIENT = 3;
    /** Exit status after the I/O thread's death: an internal error in the terms of sysexits. */
    static final int IO_THREAD_DIED_STATUS = 70;
    /** Time in ms from the start for which opening sockets is retried; the system may lack descriptors or buffers for a moment. */
    private static final double SOCKET_WAIT_MS = 5000;
    /** Interval in ms at which the first list is polled for, and opening a socket is retried. */
    private static final double POLL_INTERVAL_MS = 10;
    /** Minimum number of connections per process, however few descriptors there are. */
    private static final int MIN_CONNECTIONS = 24;
    /** Time in ms before the kill at which the process exits even if the I/O thread hangs. */
    private static final double FORCED_EXIT_LEAD_MS = 60;
    /** Maximum time in ms for writing the last log lines. */
    private static final long LOG_FLUSH_MS = 20;
    /** Timeout in ms of the check's connection to its own port. */
    private static final double SELF_CONNECT_TIMEOUT_MS = 1000;
    /** Interval in ms at which state that takes a pass over all nodes is published. */
    private static final double PUBLISH_INTERVAL_MS = 200;
    /** Maximum wait in ms for the first list: while another process serves the address, and otherwise. */
    private static final double SHARED_LIST_WAIT_MS = 2500;
    private static final double ALONE_LIST_WAIT_MS = 1500;
    @Option(names = "--config", defaultValue = "${env:NODE_CONFIG}", required = true,
            description = "This proxy's configuration, as JSON (default: the file that NODE_CONFIG names).")
    private Path config;

    @Option(names = "--check", description = "Run the warm-up queries and a PING, report success by the exit status, and end.")
    private boolean check;

    @Option(names = "--fleet", description = "Configuration that makes this proxy a member of a fleet, as JSON (docs/fleet.md; default: no fleet).")
    private Path fleetFile;

    private XnioWorker worker;
    private EventLoop loop;
    private ClientFrontend front;
    /** Null if no fleet file was given; no fleet class is loaded then. */
    private FleetMembership fleet;
    private volatile Proxy proxy;
    private final Metrics metrics = new Metrics();
    /** Null without a control server, as are the files and the calls. */
    private AddressLocks addressLocks;
    private HandoverFiles handoverFiles;
    private ServiceCalls serviceCalls;
    private final double socketWaitEndsAt = EventLoop.monotonicMs() + SOCKET_WAIT_MS;
    private final ServiceState service = new ServiceState();
    private volatile boolean isStarted;
    private KillDelay killDelay;
    private final ConfigReader reader = new ConfigReader();
    private boolean isWarmedUp;
    private boolean isWaitingForList;
    private Shutdown shutdown;
    /** Released once no more queries are accepted and all are answered. */
    private final CountDownLatch shutdownDone = new CountDownLatch(1);

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
        CountDownLatch started = new CountDownLatch(1);
        Signal.handle(new Signal("HUP"), signal -> { // first of all, as it would end the process; each signal runs on its own thread, an early one waits
            awaitStart(started);
            reload();
        });
        AsyncLogHandler.start();
        ProxyConfig proxyConfig;
        try {
            proxyConfig = reader.readConfig(config);
            fleet = fleetFile == null ? null : new FleetMembership(fleetFile, proxyConfig, HandoverFiles.fleetFile(proxyConfig), () -> proxy == null ? null : proxy.publishedList());
        } catch (InvalidConfigException | IOException e) {
            System.err.println("dappleseam serve: " + e.getMessage());
            return 1;
        }
        killDelay = new KillDelay(proxyConfig.settings().routerSettings());
        worker = openWorker();
        worker.getIoThread().setUncaughtExceptionHandler((thread, cause) -> endAfter(cause));
        // Not a shutdown hook: java.util.logging removes its handlers in a hook of its own at the same time, and log lines were lost.
        AtomicBoolean isSignalled = new AtomicBoolean();
        for (String name : List.of("TERM", "INT")) {
            Signal.handle(new Signal(name), signal -> { // installed before the first client is accepted, whose query would otherwise be lost
                if (!isSignalled.getAndSet(true)) {
                    shutDown();
                }
            });
        }
        if (!start(proxyConfig)) {
            return 1;
        }
        if (fleet != null && !check) {
            fleet.start();
        }
        isStarted = true;
        started.countDown();
        if (check) {
            return isWarmedUp && answersOwnPing() ? 0 : 1;
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
    private boolean start(ProxyConfig proxyConfig) throws IOException, InterruptedException {
        awaitSockets();
        if (proxyConfig.control() != null && !openControlServer(proxyConfig)) {
            return false;
        }
        ProxyConfig withList = addressLocks != null && addressLocks.isShared() ? handoverFiles.withSavedList() : proxyConfig;
        ProxyConfig effective = fleet == null ? withList : fleet.withStoredList(withList);
        loop = openLoop(proxyConfig);
        RecentIds recentIds = addressLocks == null ? RecentIds.ofProcess() : handoverFiles.openRecentIds();
        CountDownLatch startDone = new CountDownLatch(1);
        Throwable[] failure = new Throwable[1];
        worker.getIoThread().execute(() -> {
            try {
                proxy = new Proxy(loop, effective, metrics, recentIds);
                proxy.restoreNodeHealth(addressLocks == null ? List.of() : handoverFiles.readHealth(loop.nowMs()));
                if (fleet != null) {
                    fleet.attach(proxy, loop, worker.getIoThread());
                }
                proxy.followList(); // answered while the warm-up runs
            } catch (IOException | RuntimeException | Error e) {
                failure[0] = e;
                startDone.countDown();
                return;
            }
            double listWaitEnd = loop.nowMs() + (addressLocks != null && addressLocks.isShared() ? SHARED_LIST_WAIT_MS : ALONE_LIST_WAIT_MS);
            WarmUp.runQueries(loop, worker.getIoThread(), proxyConfig, passed -> {
                isWarmedUp = passed;
                try { // a failure here is not one of the warm-up
                    front = new ClientFrontend(loop, proxy, clientLimit(proxyConfig, 1),
                            proxyConfig.descriptors() / DESCRIPTORS_PER_CLIENT, metrics.closes(), service::takesClients);
                    applyServiceState();
                    shutdown = new Shutdown(loop, front, proxy::abortAll, shutdownDone::countDown);
                    publish();
                    applyLimits(proxyConfig);
                    listen(proxyConfig, listWaitEnd, failure, startDone);
                } catch (RuntimeException | Error e) { // else the start would never end
                    failure[0] = e;
                    startDone.countDown();
                }
            });
        });
        startDone.await();
        if (failure[0] != null) {
            isWarmedUp = false;
            System.err.println("dappleseam serve: cannot start: " + failure[0].getMessage());
            return false;
        }
        LOG.log(Level.INFO, "{0} serves on {1}, rehearsed: {2}", proxyConfig.name(), proxyConfig.listen(), isWarmedUp);
        return true;
    }

    /** A process without a control server is never one of two. */
    private int bufferCount(ProxyConfig proxyConfig) {
        return BufferMemory.buffers(proxyConfig.memoryMb(), Runtime.getRuntime().maxMemory(), addressLocks == null || addressLocks.isPrimary());
    }

    /** Descriptors for connections when that many processes share the limit of one. */
    private int connectionDescriptors(ProxyConfig proxyConfig, int processes) {
        int reserved = RESERVED_DESCRIPTORS + (proxyConfig.control() == null ? 0 : ControlServer.DESCRIPTORS + AddressLocks.DESCRIPTORS)
                + (fleet == null ? 0 : FleetMembership.DESCRIPTORS);
        return Math.max(processes * MIN_CONNECTIONS, proxyConfig.descriptors() - processes * reserved);
    }

    /** Maximum number of outgoing connections of each process. */
    private int peerLimit(ProxyConfig proxyConfig, int processes) {
        return (int) (PEER_DESCRIPTOR_SHARE / processes * connectionDescriptors(proxyConfig, processes));
    }

    /** Maximum number of client connections of each process; any one of them may get all clients. */
    private int clientLimit(ProxyConfig proxyConfig, int processes) {
        return (int) ((connectionDescriptors(proxyConfig, processes) - processes * peerLimit(proxyConfig, processes)) * (1 - CLOSED_CONNECTION_SHARE));
    }

    /**
     * Opens the client listener, once the first list is there. Drains that the configuration file does not contain yet count as known from the start of
     * the process, or were sent to the other process on the address. If the list service cannot be reached, a process that is alone listens at once.
     */
    private void listen(ProxyConfig proxyConfig, double waitUntilMs, Throwable[] failure, CountDownLatch startDone) {
        if (service.phase() == ServiceState.Phase.ENDING) {
            return;
        }
        boolean shared = addressLocks != null && addressLocks.isShared();
        boolean listMayCome = !proxy.hasReceivedList() && (shared || !proxy.hasListFailed());
        if (listMayCome && loop.nowMs() < waitUntilMs) {
            if (!isWaitingForList) {
                isWaitingForList = true;
                LOG.log(Level.INFO, "waiting for the first list");
            }
            loop.scheduleAt(loop.nowMs() + POLL_INTERVAL_MS, () -> listen(proxyConfig, waitUntilMs, failure, startDone));
            return;
        }
        try {
            proxy.prepare();
            front.listen(worker, proxyConfig.listen());
        } catch (IOException | RuntimeException | Error e) {
            if (isTransient(e) && EventLoop.monotonicMs() < socketWaitEndsAt) {
                loop.scheduleAt(loop.nowMs() + POLL_INTERVAL_MS, () -> listen(proxyConfig, waitUntilMs, failure, startDone));
                return;
            }
            failure[0] = e;
            startDone.countDown();
            return;
        }
        if (addressLocks != null) {
            addressLocks.markListening();
        }
        service.startedListening();
        startDone.countDown();
    }

    /** Without its I/O thread the process would listen and answer nobody: whoever supervises it starts it anew. */
    private static void endAfter(Throwable cause) {
        try {
            LOG.log(Level.ERROR, "the I/O thread has died, the process ends", cause);
            AsyncLogHandler.awaitWritten(LOG_FLUSH_MS);
        } finally { // memory for the line may be lacking
            Runtime.getRuntime().halt(IO_THREAD_DIED_STATUS);
        }
    }

    /** Something that takes descriptors to open. */
    private interface Opening<T> {
        T open() throws IOException;
    }

    /** Creates the I/O worker. */
    private XnioWorker openWorker() throws IOException, InterruptedException {
        OptionMap oneThread = OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1).set(Options.THREAD_DAEMON, true).getMap();
        return retryOpening(() -> {
            Selector.open().close(); // XNIO probes for a selector only once, and is unusable if that fails
            return Xnio.getInstance().createWorker(oneThread);
        });
    }

    private EventLoop openLoop(ProxyConfig proxyConfig) throws IOException, InterruptedException {
        BufferPool pool = new BufferPool(bufferCount(proxyConfig));
        return retryOpening(() -> new EventLoop(worker.getIoThread(), pool, peerLimit(proxyConfig, 1)));
    }

    /** Retries until the time limit what may succeed then: descriptors may be short for a moment. */
    private <T> T retryOpening(Opening<T> opening) throws IOException, InterruptedException {
        while (true) {
            try {
                return opening.open();
            } catch (IOException e) {
                if (!isTransient(e) || EventLoop.monotonicMs() > socketWaitEndsAt) {
                    throw e;
                }
                Thread.sleep((long) POLL_INTERVAL_MS);
            }
        }
    }

    /** Waits until a socket can be opened; after the time limit, the code that needs one reports the error. */
    private void awaitSockets() throws InterruptedException {
        try {
            retryOpening(() -> {
                ReusePortListener.probeReusePort();
                return null;
            });
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "no socket: {0}", e.toString());
        }
    }

    /** Whether a retry may succeed: the system lacks a resource at the moment, and the address is valid. */
    private static boolean isTransient(Throwable e) {
        return e instanceof IOException && !(e instanceof BindException);
    }

    /** Publishes state periodically if a control server or a fleet reads it: that takes a pass over all nodes. */
    private void publish() {
        if (addressLocks == null && fleet == null) {
            return;
        }
        proxy.publish();
        loop.scheduleAt(loop.nowMs() + PUBLISH_INTERVAL_MS, this::publish);
    }

    /** Starts the control server; prints the cause and returns false if that fails. */
    private boolean openControlServer(ProxyConfig proxyConfig) throws InterruptedException {
        addressLocks = AddressLocks.acquire(HandoverFiles.folder(), proxyConfig.listen());
        handoverFiles = new HandoverFiles(proxyConfig);
        serviceCalls = new ServiceCalls(service, HandoverFiles.serviceFile(proxyConfig), addressLocks,
                () -> worker.getIoThread().execute(this::applyServiceState));
        serviceCalls.begin();
        try {
            retryOpening(() -> startControlServer(proxyConfig));
            return true;
        } catch (IOException | RuntimeException e) {
            System.err.println("dappleseam serve: control: cannot listen on " + proxyConfig.control() + ": " + e.getMessage());
            return false;
        }
    }

    private ControlServer startControlServer(ProxyConfig proxyConfig) throws IOException {
        boolean[] shared = {addressLocks.isShared()};
        boolean[] primary = {addressLocks.isPrimary()};
        return new ControlServer(proxyConfig.control(), serviceCalls, metrics, fleet, () -> {
            addressLocks.refresh();
            serviceCalls.follow();
            if (addressLocks.isPrimary()) {
                handoverFiles.save(proxy);
            }
            if (addressLocks.isPrimary() && !primary[0]) {
                primary[0] = true;
                worker.getIoThread().execute(() -> {
                    if (loop != null) {
                        loop.pool().setMaxBuffers(bufferCount(proxyConfig));
                    }
                });
            }
            if (addressLocks.isShared() != shared[0]) {
                shared[0] = !shared[0];
                LOG.log(Level.INFO, "{0}", shared[0] ? "another process serves this address, too"
                        : "alone on this address");
                worker.getIoThread().execute(() -> applyLimits(proxyConfig));
            }
        });
    }

    /** Brings the client connections in line with the state as it is now, however many calls have changed it meanwhile. On the I/O thread. */
    private void applyServiceState() {
        if (front == null || service.phase() == ServiceState.Phase.ENDING) { // what starts does so as its start ends; what ends is closed by the shutdown
            return;
        }
        if (service.isOutOfService()) {
            front.takeOutOfService();
        } else {
            front.returnToService();
        }
    }

    /** Applies the connection limits: two processes on one address share one limit on descriptors. */
    private void applyLimits(ProxyConfig proxyConfig) {
        if (front == null || addressLocks == null) {
            return;
        }
        int processes = addressLocks.isShared() ? 2 : 1;
        loop.limitConnections(peerLimit(proxyConfig, processes));
        front.setMaxConnections(clientLimit(proxyConfig, processes));
    }

    /** Whether a PING to its own port is answered, or refused because an operator has sent clients away; this also loads the socket classes, so that the class archive contains them. */
    private boolean answersOwnPing() {
        CompletableFuture<Boolean> pong = new CompletableFuture<>();
        worker.getIoThread().execute(proxy::followList); // only loads the classes; the result does not matter
        InetSocketAddress own;
        try {
            own = front.address();
        } catch (IOException e) {
            return false;
        }
        worker.getIoThread().execute(() -> loop.connect(own, SELF_CONNECT_TIMEOUT_MS, connection -> {
            Link self = loop.createLink(connection, new Link.Listener() {
                @Override
                public void received(ByteBuffer bytes) {
                    String answer = StandardCharsets.US_ASCII.decode(bytes).toString();
                    pong.complete(answer.startsWith(ClientFrontend.PONG) || answer.startsWith(ClientFrontend.OUT_OF_SERVICE));
                }

                @Override
                public void disconnected(String cause) {
                    pong.complete(service.isOutOfService());
                }
            });
            self.resume();
            RespWriter.array(self.out(), 1);
            RespWriter.bulk(self.out(), "PING");
            self.flush();
        }, cause -> pong.complete(false)));
        return pong.join();
    }

    /**
     * SIGHUP: reads the configuration again, on the signal's thread. A faulty file changes nothing. Synchronized, so that of two
     * concurrent signals the one that reads last also applies last, and an older file cannot replace a newer one.
     */
    private synchronized void reload() {
        try {
            Runnable applyFleet = fleet == null ? () -> { } : fleet.prepareReload();
            ProxyConfig proxyConfig = reader.readConfig(config);
            applyFleet.run();
            killDelay.update(proxyConfig.settings().routerSettings(), EventLoop.monotonicMs());
            worker.getIoThread().execute(() -> {
                proxy.applyConfiguration(proxyConfig);
                shutdown.shortenKillDelay(KillDelay.delayMs(proxyConfig.settings().routerSettings())); // if SIGTERM came before
            });
            metrics.configReloaded(true);
            LOG.log(Level.INFO, "configuration read again: the list is at {0}", proxyConfig.listService());
        } catch (InvalidConfigException | IOException e) {
            metrics.configReloaded(false);
            LOG.log(Level.WARNING, "configuration not taken: {0}", e.getMessage());
        }
    }

    /** SIGTERM: answers all open queries and exits with status 0; a process that does not serve yet exits at once. */
    private void shutDown() {
        double signalledAt = EventLoop.monotonicMs(); // the platform's kill delay starts here, however late the I/O thread reacts
        service.end();
        boolean handOver = addressLocks != null && addressLocks.isOtherListening();
        boolean inFleet = fleet != null && isStarted;
        if (inFleet && handOver) {
            fleet.stop(true);
        }
        worker.getIoThread().execute(() -> {
            if (front == null || !front.isListening()) { // and it will not start to: that would happen on this thread
                LOG.log(Level.INFO, "told to end before it listened for clients");
                shutdownDone.countDown();
            } else {
                shutdown.begin(handOver, loop.nowMs() - signalledAt, killDelay.earliestMs(EventLoop.monotonicMs()));
            }
        });
        if (!handOver && serviceCalls != null && addressLocks.isPrimary()) {
            serviceCalls.endInFile();
        }
        awaitShutdown(signalledAt);
        if (inFleet && !handOver) {
            fleet.stop(false); // only now: up to here this proxy uses its share of the fleet's limits
        }
        LOG.log(Level.INFO, "ended");
        AsyncLogHandler.awaitWritten(LOG_FLUSH_MS);
        Runtime.getRuntime().halt(0);
    }

    /** Waits until all is answered, but only until shortly before the kill, in case the I/O thread hangs. New settings may bring the kill forward. */
    private void awaitShutdown(double signalledAt) {
        double killMs = killDelay.earliestMs(EventLoop.monotonicMs());
        try {
            while (EventLoop.monotonicMs() - signalledAt < killMs - FORCED_EXIT_LEAD_MS && !shutdownDone.await((long) POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
                killMs = Math.min(killMs, killDelay.earliestMs(EventLoop.monotonicMs()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
