package dappleseam.proxy;

import dappleseam.control.FleetDesk;
import dappleseam.fleet.lastlist.FolderStore;
import dappleseam.fleet.lastlist.HttpStore;
import dappleseam.fleet.lastlist.KeepList;
import dappleseam.fleet.lastlist.ListStore;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.peers.FleetText;
import dappleseam.fleet.peers.Identity;
import dappleseam.fleet.peers.PeerSocket;
import dappleseam.fleet.peers.Sightings;
import dappleseam.fleet.share.Bulletin;
import dappleseam.fleet.share.Said;
import dappleseam.fleet.share.Seen;
import dappleseam.list.NodeList;
import dappleseam.site.FleetFileReader;
import dappleseam.site.Post;
import dappleseam.wire.Loop;
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
final class InFleet implements FleetDesk {
    static final int DESCRIPTORS = PeerSocket.DESCRIPTORS;
    private static final Logger LOG = System.getLogger(InFleet.class.getName());
    /** Age in ms from which a stored list is ignored: caches come and go within hours. */
    private static final double OLDEST_MS = 3_600_000;
    private static final double MS_PER_S = 1000;
    private static final double NANOS_PER_MS = 1e6;

    private final Path file;
    private final Post post;
    private final PeerSocket socket;
    private volatile FleetLookout lookout;
    private final boolean isAsked;
    private final ListStore store;

    /**
     * Reads and checks the file; nothing runs before {@link #start}. {@code handoverFile} is the file that one process of this proxy leaves for the
     * next; {@code lastList} supplies this proxy's current list, null before there is one, and is called on any thread.
     */
    InFleet(Path file, Post post, Path left, Supplier<NodeList> last) throws IOException {
        this.file = file;
        this.post = post;
        Identity identity = read();
        store = identity.listStore() == null ? null : identity.listStore().startsWith("http:") ? new HttpStore(URI.create(identity.listStore()))
                : new FolderStore(Path.of(identity.listStore()));
        isAsked = identity.choices().any();
        socket = new PeerSocket(identity, Math.max(Bulletin.NOWHERE, Math.min(Bulletin.LAST_LOCATION, post.site().deployment().zone())), post.seed(), left, store == null ? List.of() : List.of(new KeepList(last, store)), new Relay());
    }

    /** Forwards the fleet thread's calls to the bridge, and answers them with nothing while there is none. */
    private final class Relay implements Sightings {
        @Override
        public Collection<Seen> seen() {
            return lookout == null ? List.of() : lookout.seen();
        }

        @Override
        public double ratePerS() {
            return lookout == null ? Double.NaN : lookout.ratePerS();
        }

        @Override
        public void stands(double share, double place) {
            if (lookout != null) {
                lookout.stands(share, place);
            }
        }

        @Override
        public void say(List<Said> words) {
            if (lookout != null) {
                lookout.say(words);
            }
        }
    }

    /** On the I/O thread: from now on this proxy's observations are announced, and those of others reach it. */
    void watch(Proxy proxy, Loop loop, Executor onLoop) {
        if (isAsked) {
            FleetLookout now = new FleetLookout(post.seed(), proxy::recall, proxy, onLoop, loop::nowMs);
            proxy.tellOfCaches(now);
            lookout = now;
        }
    }

    /** For a start while the list service is down: uses the fleet's last known list, drains included, if it is newer than this proxy's own. */
    Post withKept(Post told) {
        if (store == null) {
            return told;
        }
        try {
            ListStore.Stored kept = store.read();
            long version = told.known().path("rev").asLong(-1);
            double age = System.currentTimeMillis() - kept.writtenMs();
            if (age > OLDEST_MS) {
                LOG.log(Level.INFO, "the fleet''s last list is not used: written {0} s ago", Math.round(age / MS_PER_S));
            } else if (kept.list().path("rev").asLong() > version) {
                LOG.log(Level.INFO, "the fleet''s last list is used at version {0}, the file had {1}", kept.list().path("rev").asLong(), version);
                return told.withKnown(kept.list());
            }
        } catch (IOException | RuntimeException e) { // optional
            LOG.log(Level.INFO, "the fleet''s last list is not used: {0}", e.toString());
        }
        return told;
    }

    /** Joins the fleet. */
    void start() throws IOException {
        socket.start();
    }

    private Identity read() throws IOException {
        return FleetFileReader.read(file, post.name(), (int) post.site().deployment().proxies());
    }

    /** Reads and checks the file as it is now; running the result applies it. */
    Runnable readAgain() throws IOException {
        Identity now = read();
        return () -> socket.change(now);
    }

    /** Leaves the fleet; with {@code handOver} another process of this proxy goes on as the same member. */
    void end(boolean handOver) {
        socket.end(handOver);
    }

    @Override
    public String figures() {
        return FleetText.figures(socket.snapshot());
    }

    @Override
    public String view() {
        return FleetText.json(socket.snapshot(), System.nanoTime() / NANOS_PER_MS);
    }

    @Override
    public boolean hasEnded(String name) {
        try {
            socket.endedByWord(new MemberName(name));
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
