package dappleseam.proxy;

import dappleseam.control.FleetDesk;
import dappleseam.fleet.lastlist.FolderStore;
import dappleseam.fleet.lastlist.HttpStore;
import dappleseam.fleet.lastlist.LastListTask;
import dappleseam.fleet.lastlist.ListStore;
import dappleseam.fleet.membership.MemberName;
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

/** This proxy's place in its fleet, where the operator's file gives it one. Queries pass it by. */
final class InFleet implements FleetDesk {
    static final int DESCRIPTORS = FleetAgent.DESCRIPTORS;
    private static final Logger LOG = System.getLogger(InFleet.class.getName());
    /** Age in ms from which a kept list says nothing any more: caches come and go by the hour. */
    private static final double OLDEST_MS = 3_600_000;
    private static final double MS_PER_S = 1000;
    private static final double NANOS_PER_MS = 1e6;

    private final Path file;
    private final ProxyConfig post;
    private final FleetAgent socket;
    private volatile FleetLookout lookout;
    private final boolean isAsked;
    private final ListStore store;

    /**
     * Checks the file; nothing runs before {@link #start}. {@code left}: what one process of this proxy leaves for the next; {@code last}: the list
     * as this proxy last had it, null before the first, for any thread.
     */
    InFleet(Path file, ProxyConfig post, Path left, Supplier<NodeList> last) throws IOException {
        this.file = file;
        this.post = post;
        FleetConfig identity = read();
        store = identity.listStore() == null ? null : identity.listStore().startsWith("http:") ? new HttpStore(URI.create(identity.listStore()))
                : new FolderStore(Path.of(identity.listStore()));
        isAsked = identity.features().any();
        socket = new FleetAgent(identity, Math.max(Announcement.NO_LOCATION, Math.min(Announcement.MAX_LOCATION, post.settings().routerSettings().zone())), post.seed(), left, store == null ? List.of() : List.of(new LastListTask(last, store)), new Relay());
    }

    /** What the fleet's thread asks for, also before there is a proxy. */
    private final class Relay implements RouterAdapter {
        @Override
        public Collection<LocalObservation> observations() {
            return lookout == null ? List.of() : lookout.observations();
        }

        @Override
        public double queriesPerS() {
            return lookout == null ? Double.NaN : lookout.queriesPerS();
        }

        @Override
        public void onShare(double share, double place) {
            if (lookout != null) {
                lookout.onShare(share, place);
            }
        }

        @Override
        public void onVerdicts(List<PeerVerdict> words) {
            if (lookout != null) {
                lookout.onVerdicts(words);
            }
        }
    }

    /** On the I/O thread: from now on that proxy's caches are told of, and it hears of others'. */
    void watch(Proxy proxy, IoLoop loop, Executor onLoop) {
        if (isAsked) {
            FleetLookout now = new FleetLookout(post.seed(), proxy::recall, proxy, onLoop, loop::nowMs);
            proxy.tellOfCaches(now);
            lookout = now;
        }
    }

    /** Guards a start while the list service is down: the fleet's last known list, where it is newer than this proxy's own, drains included. */
    ProxyConfig withKept(ProxyConfig told) {
        if (store == null) {
            return told;
        }
        try {
            ListStore.Stored kept = store.read();
            long version = told.knownList().path("rev").asLong(-1);
            double age = System.currentTimeMillis() - kept.writtenAtMs();
            if (age > OLDEST_MS) {
                LOG.log(Level.INFO, "the fleet''s last list is not taken: written {0} s ago", Math.round(age / MS_PER_S));
            } else if (kept.list().path("rev").asLong() > version) {
                LOG.log(Level.INFO, "the fleet''s last list is taken at version {0}, the file had {1}", kept.list().path("rev").asLong(), version);
                return told.withKnownList(kept.list());
            }
        } catch (IOException | RuntimeException e) { // it was worth a try
            LOG.log(Level.INFO, "the fleet''s last list is not taken: {0}", e.toString());
        }
        return told;
    }

    void start() throws IOException {
        socket.start();
    }

    private FleetConfig read() throws IOException {
        return FleetConfigReader.read(file, post.name(), (int) post.settings().routerSettings().proxyCount());
    }

    /** The file as it is now, checked; running it takes it into force. */
    Runnable readAgain() throws IOException {
        FleetConfig now = read();
        return () -> socket.reconfigure(now);
    }

    void end(boolean handOver) {
        socket.stop(handOver);
    }

    @Override
    public String figures() {
        return FleetStatusWriter.metrics(socket.snapshot());
    }

    @Override
    public String view() {
        return FleetStatusWriter.json(socket.snapshot(), System.nanoTime() / NANOS_PER_MS);
    }

    @Override
    public boolean hasEnded(String name) {
        try {
            socket.markEnded(new MemberName(name));
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
