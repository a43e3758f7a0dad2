package dappleseam.fleet.share;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Rumours;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The bulletins of all members as this one has them, and which of them it still has to pass on, as {@link Rumours}. Free of I/O; times are ms of one process's clock. Not for several threads.
 */
public final class AnnouncementStore {
    /** Age in ms from which a bulletin says nothing; own ones are told anew well before. */
    public static final double OLDEST_MS = 60_000;
    private static final double REFRESH_MS = 20_000;
    /** Least time in ms between two own bulletins: what flaps faster than rumours travel must not fill them. */
    private static final double LEAST_MS = 250;
    /** Time in ms by which a sight has to be younger than what was told of it before it is told anew: well under its life. */
    private static final double ANEW_MS = 3000;
    /** Bytes of bulletins in one datagram: 1,400 less the frame and a notice. */
    public static final int MAX_BATCH_BYTES = 1100;

    private final MemberName self;
    private final int most;
    private final double knownMs;
    private final int location;
    private final Map<MemberName, Entry> entries = new LinkedHashMap<>();
    /** Those that say something of a cache first: else a start of many proxies, who all tell their rates, would hold up the word on a dead cache. */
    private final Rumours<MemberName, Entry> rumours = new Rumours<>(entry -> entry.bulletin.maxEncodedBytes(), entry -> !entry.bulletin.observations().isEmpty());
    private long number;
    private double saidAt = Double.NEGATIVE_INFINITY;
    private Announcement own;

    private record Entry(Announcement bulletin, double heardAt) {}

    /** {@code most}: bulletins kept; {@code knownMs}: time in which a word is known to all; {@code location}: this member's. */
    public AnnouncementStore(MemberName self, int most, double knownMs, int location) {
        this.location = location;
        this.self = self;
        this.knownMs = knownMs;
        this.most = most;
    }

    /** What this member has to tell of itself now; becomes a bulletin where that is news. {@code life}: of this process. */
    public void announce(double nowMs, Generation life, double ratePerS, List<NodeObservation> sights) {
        announce(nowMs, life, ratePerS, ratePerS, sights, false);
    }

    /** {@code usualPerS}: what this process counts for until it has told; {@code anew}: whether it is news though it is the same, as to members that were cut off. */
    public void announce(double nowMs, Generation life, double ratePerS, double usualPerS, List<NodeObservation> sights, boolean anew) {
        AnnouncedTraffic before = own == null ? null : own.traffic().olderBy(nowMs - saidAt);
        AnnouncedTraffic traffic = own == null ? AnnouncedTraffic.first(ratePerS, usualPerS) : before.next(ratePerS, knownMs);
        boolean isNews = anew || own == null || traffic != before || !own.generation().equals(life) || !meansTheSame(nowMs - saidAt, own.observations(), sights)
                || nowMs >= saidAt + REFRESH_MS;
        if (isNews && nowMs >= saidAt + LEAST_MS) {
            saidAt = nowMs;
            own = new Announcement(self, life, ++number, location, traffic, sights.subList(0, Math.min(Announcement.MAX_OBSERVATIONS, sights.size())));
            put(nowMs, own);
        }
    }

    /** What was said so long ago, and what would be said now: a sight that was seen anew is news after a while. */
    private static boolean meansTheSame(double sinceMs, List<NodeObservation> before, List<NodeObservation> now) {
        return before.size() == Math.min(Announcement.MAX_OBSERVATIONS, now.size()) && before.stream().allMatch(b -> now.stream().anyMatch(n ->
                n.node().equals(b.node()) && n.startedAtMs() == b.startedAtMs() && n.failing() == b.failing() && b.ageMs() + sinceMs - n.ageMs() < ANEW_MS));
    }

    private void put(double nowMs, Announcement bulletin) {
        Entry entry = new Entry(bulletin, nowMs);
        entries.put(bulletin.member(), entry);
        rumours.put(bulletin.member(), entry);
    }

    /** What came from another member, its own and others'. */
    public void receive(double nowMs, List<Announcement> bulletins) {
        for (Announcement bulletin : bulletins) {
            Entry before = entries.get(bulletin.member());
            boolean isNew = before == null ? entries.size() < most : bulletin.compareTo(before.bulletin) > 0;
            if (isNew && !bulletin.member().equals(self)) {
                put(nowMs, bulletin);
            }
        }
    }

    /** One datagram's worth of what has been told least, with its age; empty where there is nothing to tell. */
    public List<Announcement> nextBatch(double nowMs, int members) {
        return rumours.tell(MAX_BATCH_BYTES, members).stream().map(entry -> entry.bulletin.olderBy(nowMs - entry.heardAt)).toList();
    }

    /** All that says anything yet, with its age, this member's own among them; what is too old is forgotten. */
    public Collection<Announcement> current(double nowMs) {
        List<Announcement> now = new ArrayList<>();
        for (Iterator<Entry> all = entries.values().iterator(); all.hasNext();) {
            Entry entry = all.next();
            if (nowMs - entry.heardAt > OLDEST_MS) {
                all.remove();
                rumours.remove(entry.bulletin.member());
            } else {
                now.add(entry.bulletin.olderBy(nowMs - entry.heardAt));
            }
        }
        return now;
    }
}
