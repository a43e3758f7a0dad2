package dappleseam.fleet.lastlist;

import dappleseam.fleet.lease.FleetTask;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.list.NodeList;
import java.io.IOException;
import java.util.function.Supplier;

/** One proxy writes the list as it last had it, so that one which starts while the list service is down has it. */
public final class LastListTask implements FleetTask {
    private static final LeaseName LEASE = new LeaseName("last-list");
    private static final double EVERY_MS = 1000;
    /** Time in ms that a write may take. */
    private static final double WRITE_MS = 200;
    /** Time in ms after which it is written again though it is the same: its age tells that somebody keeps it. */
    private static final double AGAIN_MS = 30_000;

    private final Supplier<NodeList> last;
    private final ListStore store;
    private NodeList written;
    private Token writtenWith;
    private double writtenAt;
    private long writes;

    /** {@code last}: the list as this proxy last had it, or null; for any thread. */
    public LastListTask(Supplier<NodeList> last, ListStore store) {
        this.last = last;
        this.store = store;
    }

    @Override
    public LeaseName lease() {
        return LEASE;
    }

    @Override
    public double intervalMs() {
        return EVERY_MS;
    }

    @Override
    public void run(Permit permit) throws IOException {
        NodeList list = last.get();
        double now = System.currentTimeMillis();
        Token token = permit.token(WRITE_MS);
        boolean same = list == written && token != null && token.equals(writtenWith) && Math.abs(now - writtenAt) < AGAIN_MS;
        if (list == null || list.entries().isEmpty() || token == null || same) {
            return;
        }
        try {
            // Whatever stands still between here and there, the store refuses a token that is no longer the last.
            store.write(token, ++writes, now, list);
            written = list;
            writtenWith = token;
            writtenAt = now;
        } catch (ListStore.FencedException e) {
            permit.fenced(e.seen());
        }
    }
}
