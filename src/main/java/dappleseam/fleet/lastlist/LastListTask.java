package dappleseam.fleet.lastlist;

import dappleseam.fleet.lease.FleetTask;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.list.NodeList;
import java.io.IOException;
import java.util.function.Supplier;

/** The fleet task that stores the last known list, so that a proxy that starts while the list service is down can load it. */
public final class LastListTask implements FleetTask {
    private static final LeaseName LEASE = new LeaseName("last-list");
    private static final double INTERVAL_MS = 1000;
    /** Maximum time in ms of a write, for which the lease must still be valid. */
    private static final double MAX_WRITE_MS = 200;
    /** Time in ms after which an unchanged list is written again; its age shows that the task is running. */
    private static final double REWRITE_AFTER_MS = 30_000;

    private final Supplier<NodeList> currentList;
    private final ListStore store;
    private NodeList written;
    private Token writtenToken;
    private double writtenAt;
    private long writes;

    /** {@code currentList}: supplies this proxy's last known list or null, on any thread. */
    public LastListTask(Supplier<NodeList> currentList, ListStore store) {
        this.currentList = currentList;
        this.store = store;
    }

    @Override
    public LeaseName lease() {
        return LEASE;
    }

    @Override
    public double intervalMs() {
        return INTERVAL_MS;
    }

    @Override
    public void run(Permit permit) throws IOException {
        NodeList list = currentList.get();
        double now = System.currentTimeMillis();
        Token token = permit.token(MAX_WRITE_MS);
        boolean isUnchanged = list == written && token != null && token.equals(writtenToken) && Math.abs(now - writtenAt) < REWRITE_AFTER_MS;
        if (list == null || list.entries().isEmpty() || token == null || isUnchanged) {
            return;
        }
        try {
            // If this process stalls before the write, the store refuses the token once a later holder has written.
            store.write(token, ++writes, now, list);
            written = list;
            writtenToken = token;
            writtenAt = now;
        } catch (ListStore.FencedException e) {
            permit.fenced(e.latestToken());
        }
    }
}
