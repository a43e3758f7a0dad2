package dappleseam.fleet.share;

import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Rumours;
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
public final class Board {
    /** Age in ms above which an announcement is discarded. Members repeat theirs well before that. */
    public static final double OLDEST_MS = 60_000;
    private static final double REFRESH_MS = 20_000;
    /** Minimum time in ms between two own announcements, so that a flapping state does not flood the gossip. */
    private static final double LEAST_MS = 250;
    /** Time in ms by which an observation must be newer than the announced one to be announced again; well below its lifetime. */
    private static final double ANEW_MS = 3000;
    /** Maximum bytes of announcements in one datagram: 1,400 less the frame and a member entry. */
    public static final int NEWS_BYTES = 1100;

    private final MemberName self;
    private final int most;
    private final double knownMs;
    private final int location;
    private final Map<MemberName, Entry> entries = new LinkedHashMap<>();
    /**
     * Announcements with observations go first. Otherwise the rates announced when many proxies start would delay the report of a
     * failed cache.
     */
    private final Rumours<MemberName, Entry> rumours = new Rumours<>(entry -> entry.bulletin.bytes(), entry -> !entry.bulletin.sights().isEmpty());
    private long number;
    private double saidAt = Double.NEGATIVE_INFINITY;
    private Bulletin own;

    private record Entry(Bulletin bulletin, double heardAt) {}

    /**
     * {@code maxEntries}: announcements kept; {@code propagationMs}: time until an announcement has reached all members;
     * {@code location}: of this member.
     */
    public Board(MemberName self, int most, double knownMs, int location) {
        this.location = location;
        this.self = self;
        this.knownMs = knownMs;
        this.most = most;
    }

    /** Updates this member's own state and announces it if it has changed. {@code generation}: of this process. */
    public void say(double nowMs, Life life, double ratePerS, List<Sight> sights) {
        say(nowMs, life, ratePerS, ratePerS, sights, false);
    }

    /**
     * As above. {@code presumedPerS}: the rate that others presume until they have the first announcement; {@code force}: whether to
     * announce an unchanged state as well, for members that were unreachable before.
     */
    public void say(double nowMs, Life life, double ratePerS, double usualPerS, List<Sight> sights, boolean anew) {
        Traffic before = own == null ? null : own.traffic().olderBy(nowMs - saidAt);
        Traffic traffic = own == null ? Traffic.first(ratePerS, usualPerS) : before.next(ratePerS, knownMs);
        boolean isNews = anew || own == null || traffic != before || !own.life().equals(life) || !meansTheSame(nowMs - saidAt, own.sights(), sights)
                || nowMs >= saidAt + REFRESH_MS;
        if (isNews && nowMs >= saidAt + LEAST_MS) {
            saidAt = nowMs;
            own = new Bulletin(self, life, ++number, location, traffic, sights.subList(0, Math.min(Bulletin.MOST_SIGHTS, sights.size())));
            put(nowMs, own);
        }
    }

    /**
     * Whether the observations announced {@code elapsedMs} ago still match the current ones. A repeated observation counts as a
     * change once it is newer by {@link #OBSERVATION_REFRESH_MS}.
     */
    private static boolean meansTheSame(double sinceMs, List<Sight> before, List<Sight> now) {
        return before.size() == Math.min(Bulletin.MOST_SIGHTS, now.size()) && before.stream().allMatch(b -> now.stream().anyMatch(n ->
                n.node().equals(b.node()) && n.startedAtMs() == b.startedAtMs() && n.fails() == b.fails() && b.ageMs() + sinceMs - n.ageMs() < ANEW_MS));
    }

    private void put(double nowMs, Bulletin bulletin) {
        Entry entry = new Entry(bulletin, nowMs);
        entries.put(bulletin.who(), entry);
        rumours.put(bulletin.who(), entry);
    }

    /** Takes announcements that another member sent, its own and those it passes on. */
    public void heard(double nowMs, List<Bulletin> bulletins) {
        for (Bulletin bulletin : bulletins) {
            Entry before = entries.get(bulletin.who());
            boolean isNew = before == null ? entries.size() < most : bulletin.compareTo(before.bulletin) > 0;
            if (isNew && !bulletin.who().equals(self)) {
                put(nowMs, bulletin);
            }
        }
    }

    /** The next announcements to gossip, at most one datagram's worth, with their current ages; may be empty. */
    public List<Bulletin> toTell(double nowMs, int members) {
        return rumours.tell(NEWS_BYTES, members).stream().map(entry -> entry.bulletin.olderBy(nowMs - entry.heardAt)).toList();
    }

    /** All announcements that have not expired, this member's own included, with their current ages. Removes expired ones. */
    public Collection<Bulletin> now(double nowMs) {
        List<Bulletin> now = new ArrayList<>();
        for (Iterator<Entry> all = entries.values().iterator(); all.hasNext();) {
            Entry entry = all.next();
            if (nowMs - entry.heardAt > OLDEST_MS) {
                all.remove();
                rumours.remove(entry.bulletin.who());
            } else {
                now.add(entry.bulletin.olderBy(nowMs - entry.heardAt));
            }
        }
        return now;
    }
}
