package dappleseam.proxy;

import dappleseam.control.FleetControl;
import dappleseam.fleet.lastlist.FolderStore;
import dappleseam.fleet.lastlist.HttpStore;
import dappleseam.fleet.lastlist.LastListTask;
import dappleseam.fleet.lastlist.ListStore;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.peers.FleetSnapshot;
import dappleseam.fleet.peers.FleetStatusWriter;
import dappleseam.fleet.peers.FleetConfig;
import dappleseam.fleet.peers.FleetAgent;
import dappleseam.fleet.peers.RouterAdapter;
import dappleseam.fleet.share.Announcement;
import dappleseam.fleet.share.PeerVerdict;
import dappleseam.fleet.share.LocalObservation;
import dappleseam.list.NodeList;
import dappleseam.site.FleetConfigReader;
import dappleseam.site.ProxyConfig;
import dappleseam.wire.IoLoop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.URI;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/** This proxy's membership in a fleet, if the operator's file configures one. Queries do not depend on it. */
final class FleetMembership implements FleetControl {
    static final int DESCRIPTORS = FleetAgent.DESCRIPTORS;
    private static final Logger LOG = System.getLogger(FleetMembership.class.getName());
    /** Age in ms from which a stored list is ignored: caches come and go within hours. */
    private static final double MAX_LIST_AGE_MS = 3_600_000;
    private static final double MS_PER_S = 1000;
    private static final double NANOS_PER_MS = 1e6;

    private final Path file;
    private final ProxyConfig config;
    private final FleetAgent agent;
    private volatile FleetBridge bridge;
    private final boolean usesFeatures;
    private final ListStore store;

    /**
     * Reads and checks the file; nothing runs before {@link #start}. {@code handoverFile} is the file that one process of this proxy leaves for the
     * next; {@code lastList} supplies this proxy's current list, null before there is one, and is called on any thread.
     */
    FleetMembership(Path file, ProxyConfig config, Path handoverFile, Supplier<NodeList> lastList) throws IOException {
        this.file = file;
        this.config = config;
        FleetConfig fleetConfig = read();
        store = fleetConfig.listStore() == null ? null : fleetConfig.listStore().startsWith("http:") ? new HttpStore(URI.create(fleetConfig.listStore()))
                : new FolderStore(Path.of(fleetConfig.listStore()));
        usesFeatures = fleetConfig.features().any();
        agent = new FleetAgent(fleetConfig, Math.max(Announcement.NO_LOCATION, Math.min(Announcement.MAX_LOCATION, config.settings().routerSettings().zone())),
                config.seed(), handoverFile, store == null ? List.of() : List.of(new LastListTask(lastList, store)), new Relay());
    }

    /** Forwards the fleet thread's calls to the bridge, and answers them with nothing while there is none. */
    private final class Relay implements RouterAdapter {
        @Override
        public Collection<LocalObservation> observations() {
            return bridge == null ? List.of() : bridge.observations();
        }

        @Override
        public double queriesPerS() {
            return bridge == null ? Double.NaN : bridge.queriesPerS();
        }

        @Override
        public void onShare(double share, double place) {
            if (bridge != null) {
                bridge.onShare(share, place);
            }
        }

        @Override
        public void onVerdicts(List<PeerVerdict> verdicts) {
            if (bridge != null) {
                bridge.onVerdicts(verdicts);
            }
        }
    }

    /** On the I/O thread: from now on this proxy's observations are announced, and those of others reach it. */
    void attach(Proxy proxy, IoLoop loop, Executor onLoop) {
        if (usesFeatures) {
            FleetBridge newBridge = new FleetBridge(config.seed(), proxy::restoreNodeHealth, proxy, onLoop, loop::nowMs);
            proxy.setFleetObserver(newBridge);
            bridge = newBridge;
        }
    }

    /** For a start while the list service is down: uses the fleet's last known list, drains included, if it is newer than this proxy's own. */
    ProxyConfig withStoredList(ProxyConfig base) {
        if (store == null) {
            return base;
        }
        try {
            ListStore.Stored stored = store.read();
            long version = base.knownList().path("rev").asLong(-1);
            double age = System.currentTimeMillis() - stored.writtenAtMs();
            if (age > MAX_LIST_AGE_MS) {
                LOG.log(Level.INFO, "the fleet''s last list is not taken: written {0} s ago", Math.round(age / MS_PER_S));
            } else if (stored.list().path("rev").asLong() > version) {
                LOG.log(Level.INFO, "the fleet''s last list is taken at version {0}, the file had {1}", stored.list().path("rev").asLong(), version);
                return base.withKnownList(stored.list());
            }
        } catch (IOException | RuntimeException e) { // optional
            LOG.log(Level.INFO, "the fleet''s last list is not taken: {0}", e.toString());
        }
        return base;
    }

    /** Joins the fleet. */
    void start() throws IOException {
        agent.start();
    }

    private FleetConfig read() throws IOException {
        return FleetConfigReader.read(file, config.name(), (int) config.settings().routerSettings().proxyCount());
    }

    /** Reads and checks the file as it is now; running the result applies it. */
    Runnable prepareReload() throws IOException {
        FleetConfig reloaded = read();
        return () -> agent.reconfigure(reloaded);
    }

    /** Leaves the fleet; with {@code handOver} another process of this proxy goes on as the same member. */
    void stop(boolean handOver) {
        agent.stop(handOver);
    }

    @Override
    public String metrics() {
        return FleetStatusWriter.metrics(agent.snapshot());
    }

    @Override
    public String viewJson() {
        return FleetStatusWriter.json(agent.snapshot(), System.nanoTime() / NANOS_PER_MS);
    }

    @Override
    public EndedReport reportEnded(String name) {
        MemberName member;
        try {
            member = new MemberName(name);
        } catch (IllegalArgumentException e) {
            return EndedReport.INVALID_NAME;
        }
        FleetSnapshot snapshot = agent.snapshot();
        if (snapshot == null || agent.isStopping()) {
            return EndedReport.NOT_JOINED;
        }
        if (snapshot.view().stream().noneMatch(entry -> entry.name().equals(member) && !entry.state().isLive())) {
            return EndedReport.NOT_FAILED;
        }
        agent.markEnded(member);
        return EndedReport.ACCEPTED;
    }
}
