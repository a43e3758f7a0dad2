package dappleseam.fleet.lastlist;

import dappleseam.fleet.lease.FleetTask;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.list.NodeList;
import java.io.IOException;
import java.util.function.Supplier;

/** The fleet task that stores the last known list, so that a proxy that starts while the list service is down can load it. */
public final class KeepList implements FleetTask {
    private static final LeaseName LEASE = new LeaseName("last-list");
    private static final double EVERY_MS = 1000;
    /** Maximum time in ms of a write, for which the lease must still be valid. */
    private static final double WRITE_MS = 200;
    /** Time in ms after which an unchanged list is written again; its age shows that the task is running. */
    private static final double AGAIN_MS = 30_000;

    private final Supplier<NodeList> last;
    private final ListStore store;
    private NodeList written;
    private Token writtenWith;
    private double writtenAt;
    private long writes;

    /** {@code currentList}: supplies this proxy's last known list or null, on any thread. */
    public KeepList(Supplier<NodeList> last, ListStore store) {
        this.last = last;
        this.store = store;
    }

    @Override
    public LeaseName lease() {
        return LEASE;
    }

    @Override
    public double everyMs() {
        return EVERY_MS;
    }

    @Override
    public void act(Permit permit) throws IOException {
        NodeList list = last.get();
        double now = System.currentTimeMillis();
        Token token = permit.token(WRITE_MS);
        boolean same = list == written && token != null && token.equals(writtenWith) && Math.abs(now - writtenAt) < AGAIN_MS;
        if (list == null || list.entries().isEmpty() || token == null || same) {
            return;
        }
        try {
            // If this process stalls before the write, the store refuses the token once a later holder has written.
            store.write(token, ++writes, now, list);
            written = list;
            writtenWith = token;
            writtenAt = now;
        } catch (ListStore.FencedException e) {
            permit.fenced(e.seen());
        }
    }
}
