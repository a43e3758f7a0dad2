package dappleseam.clients;

import dappleseam.wire.IoLoop;
import dappleseam.wire.LingeringClose;
import dappleseam.wire.Link;
import java.util.ArrayDeque;
import java.util.Optional;

/** The connections that have ended for this program, and whose clients may still be receiving replies. Bounded in number and in time. */
final class LingeringConnections {
    /** Time in ms for which a client may take the last replies, as for one that takes nothing of a reply. */
    private static final double MAX_LINGER_MS = 20_000;

    /** A connection that lingers. */
    private static final class Entry {
        private final boolean hasLargeReply;
        private LingeringClose close;
        private IoLoop.PendingTask timer = () -> { };

        Entry(boolean hasLargeReply) {
            this.hasLargeReply = hasLargeReply;
        }
    }

    private final IoLoop loop;
    /** In the order in which they began. */
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();

    LingeringConnections(IoLoop loop) {
        this.loop = loop;
    }

    /** Lets a connection linger, one of {@code max}. {@code hasLargeReply}: its client may take seconds to receive what was sent last. */
    void add(Link link, boolean hasLargeReply, int max) {
        if (entries.size() >= Math.max(1, max) && !closeOne(false)) {
            closeOne(true);
        }
        Entry entry = new Entry(hasLargeReply);
        entries.add(entry);
        entry.close = link.closeLingering(() -> remove(entry));
        if (!entry.close.isClosed()) {
            entry.timer = loop.scheduleAt(loop.nowMs() + MAX_LINGER_MS, entry.close::close);
        }
    }

    private void remove(Entry entry) {
        entries.remove(entry);
        entry.timer.cancelTask();
    }

    /** Closes the oldest connection, of those with a large reply or of the others, to free its descriptor. Returns whether there was one. */
    boolean closeOne(boolean hasLargeReply) {
        Optional<Entry> oldest = entries.stream().filter(entry -> entry.hasLargeReply == hasLargeReply).findFirst();
        oldest.ifPresent(entry -> entry.close.close());
        return oldest.isPresent();
    }

    /** Whether a client may still be receiving a large value. */
    boolean hasLargeReply() {
        return entries.stream().anyMatch(entry -> entry.hasLargeReply);
    }

    int count() {
        return entries.size();
    }
}
