package dappleseam.fleet.share;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.GossipQueue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The latest announcement of every member, and the queue of those that this member still has to gossip. Performs no I/O; times are ms
 * of this process's clock. Not thread-safe.
 */
public final class AnnouncementStore {
    /** Age in ms above which an announcement is discarded. Members repeat theirs well before that. */
    public static final double MAX_AGE_MS = 60_000;
    private static final double REFRESH_MS = 20_000;
    /** Minimum time in ms between two own announcements, so that a flapping state does not flood the gossip. */
    private static final double MIN_INTERVAL_MS = 250;
    /** Time in ms by which an observation must be newer than the announced one to be announced again; well below its lifetime. */
    private static final double OBSERVATION_REFRESH_MS = 3000;
    /** Maximum bytes of announcements in one datagram: 1,400 less the frame and a member entry. */
    public static final int MAX_BATCH_BYTES = 1100;

    private final MemberName self;
    private final int maxEntries;
    private final double propagationMs;
    private final int location;
    private final Map<MemberName, Entry> entries = new LinkedHashMap<>();
    /**
     * Announcements with observations go first. Otherwise the rates announced when many proxies start would delay the report of a
     * failed cache.
     */
    private final GossipQueue<MemberName, Entry> gossipQueue = new GossipQueue<>(entry -> entry.announcement.maxEncodedBytes(), entry -> !entry.announcement.observations().isEmpty());
    private long lastNumber;
    private double announcedAt = Double.NEGATIVE_INFINITY;
    private Announcement own;

    private record Entry(Announcement announcement, double receivedAt) {}

    /**
     * {@code maxEntries}: announcements kept; {@code propagationMs}: time until an announcement has reached all members;
     * {@code location}: of this member.
     */
    public AnnouncementStore(MemberName self, int maxEntries, double propagationMs, int location) {
        this.location = location;
        this.self = self;
        this.propagationMs = propagationMs;
        this.maxEntries = maxEntries;
    }

    /** Updates this member's own state and announces it if it has changed. {@code generation}: of this process. */
    public void announce(double nowMs, Generation generation, double ratePerS, List<NodeObservation> observations) {
        announce(nowMs, generation, ratePerS, ratePerS, observations, false);
    }

    /**
     * As above. {@code presumedPerS}: the rate that others presume until they have the first announcement; {@code force}: whether to
     * announce an unchanged state as well, for members that were unreachable before.
     */
    public void announce(double nowMs, Generation generation, double ratePerS, double presumedPerS, List<NodeObservation> observations, boolean force) {
        AnnouncedTraffic previous = own == null ? null : own.traffic().agedBy(nowMs - announcedAt);
        AnnouncedTraffic traffic = own == null ? AnnouncedTraffic.initial(ratePerS, presumedPerS) : previous.next(ratePerS, propagationMs);
        boolean isChanged = force || own == null || traffic != previous || !own.generation().equals(generation) || !isEquivalent(nowMs - announcedAt, own.observations(), observations)
                || nowMs >= announcedAt + REFRESH_MS;
        if (isChanged && nowMs >= announcedAt + MIN_INTERVAL_MS) {
            announcedAt = nowMs;
            own = new Announcement(self, generation, ++lastNumber, location, traffic, observations.subList(0, Math.min(Announcement.MAX_OBSERVATIONS, observations.size())));
            put(nowMs, own);
        }
    }

    /**
     * Whether the observations announced {@code elapsedMs} ago still match the current ones. A repeated observation counts as a
     * change once it is newer by {@link #OBSERVATION_REFRESH_MS}.
     */
    private static boolean isEquivalent(double elapsedMs, List<NodeObservation> previous, List<NodeObservation> current) {
        return previous.size() == Math.min(Announcement.MAX_OBSERVATIONS, current.size()) && previous.stream().allMatch(b -> current.stream().anyMatch(n ->
                n.node().equals(b.node()) && n.startedAtMs() == b.startedAtMs() && n.failing() == b.failing() && b.ageMs() + elapsedMs - n.ageMs() < OBSERVATION_REFRESH_MS));
    }

    private void put(double nowMs, Announcement announcement) {
        Entry added = new Entry(announcement, nowMs);
        entries.put(announcement.member(), added);
        gossipQueue.put(announcement.member(), added);
    }

    /** Takes announcements that another member sent, its own and those it passes on. */
    public void receive(double nowMs, List<Announcement> announcements) {
        for (Announcement announcement : announcements) {
            Entry previous = entries.get(announcement.member());
            boolean isNew = previous == null ? entries.size() < maxEntries : announcement.compareTo(previous.announcement) > 0;
            if (isNew && !announcement.member().equals(self)) {
                put(nowMs, announcement);
            }
        }
    }

    /** The next announcements to gossip, at most one datagram's worth, with their current ages; may be empty. */
    public List<Announcement> nextBatch(double nowMs, int members) {
        return gossipQueue.takeBatch(MAX_BATCH_BYTES, members).stream().map(entry -> entry.announcement.agedBy(nowMs - entry.receivedAt)).toList();
    }

    /** All announcements that have not expired, this member's own included, with their current ages. Removes expired ones. */
    public Collection<Announcement> current(double nowMs) {
        List<Announcement> current = new ArrayList<>();
        for (Iterator<Entry> it = entries.values().iterator(); it.hasNext();) {
            Entry entry = it.next();
            if (nowMs - entry.receivedAt > MAX_AGE_MS) {
                it.remove();
                gossipQueue.remove(entry.announcement.member());
            } else {
                current.add(entry.announcement.agedBy(nowMs - entry.receivedAt));
            }
        }
        return current;
    }
}
