package dappleseam.fleet.lease;

import dappleseam.fleet.lease.VoterMessages.Refusal;
import dappleseam.fleet.lease.VoterStorage.VoterState;
import dappleseam.fleet.lease.VoterStorage.Vote;
import dappleseam.fleet.membership.MemberName;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * One voter's side of all leases: promises, acceptances, and silence after a start (PaxosLease, Trencseni, Gazso, Reinhardt 2012; what differs stands in
 * docs/fleet-design.md). Free of I/O but for the disk it is given; times are ms of a monotonic clock. Not for several threads.
 */
public final class Voter {
    /** Leases kept: each takes some two hundred bytes, in memory and in the file. */
    public static final int MOST_LEASES = 2000;

    private final MemberName name;
    private final LeaseConfig terms;
    private final VoterMessages out;
    private final VoterStorage disk;
    private final Map<LeaseName, Held> votes = new LinkedHashMap<>();
    /** Of other voters, what they told of their starts. */
    private final Map<MemberName, Known> starts = new HashMap<>();
    /** Other voters that know of this start, and those that remember an earlier one and none as late. */
    private final Set<MemberName> registered = new HashSet<>();
    private final Set<MemberName> confirmed = new HashSet<>();
    private final long nonce;
    /** What is promised for a lease of which nothing is known. */
    private final Token floor;
    private double silentUntil;
    private long start;
    private boolean trustsDisk;
    private boolean isClosed;

    /** A voter's last start, by which of its processes, and what was known before that one told. */
    private record Known(long start, long nonce, long before) {}

    private static final class Held {
        Token promised;
        Token accepted = Token.NONE;
        MemberName holder;
        double until = Double.NEGATIVE_INFINITY;

        Held(Token promised) {
            this.promised = promised;
        }

        /** What was accepted still holds. */
        boolean runsAt(double nowMs) {
            return until > nowMs;
        }
    }

    /**
     * Starts at that time; {@code nonce} is its process's, {@code disk} is null where none lasts. {@code wallMs}: the wall clock, from which rounds
     * begin: as long as fewer ballots are made than ms pass, and it is not set back, they grow over starts at which all was forgotten.
     */
    public Voter(MemberName name, long nonce, LeaseConfig terms, VoterMessages out, VoterStorage disk, double nowMs, long wallMs) {
        floor = new Token(Math.max(0, Math.min(wallMs, Token.MAX_ROUND)), Long.MIN_VALUE);
        this.name = name;
        this.nonce = nonce;
        this.terms = terms;
        this.out = out;
        this.disk = disk;
        silentUntil = nowMs + terms.leaseMs();
        if (disk != null) {
            recover(nowMs);
        }
        woken();
    }

    /** From time to time: tells its start to those who have not said that they know it. */
    public void woken() {
        if (disk != null) {
            terms.voters().stream().filter(v -> !v.equals(name) && !registered.contains(v)).forEach(v -> out.registerStart(v, terms.fingerprint(), start, nonce));
        }
    }

    /** Another process goes by this one's name: guards against two that answer for one voter, as far as they know of each other. */
    public void twinSeen(double nowMs) {
        trustsDisk = false;
        silentUntil = nowMs + terms.leaseMs();
    }

    /**
     * Guards promises against a file that is torn, another's, or of another set: with none of it the voter is as one without a disk. Rounds are taken from
     * any sound file; to speak at once takes one that was closed, for a copy from before the end lacks the last promises.
     */
    private void recover(double nowMs) {
        try {
            VoterState kept = disk.read();
            if (kept.voter().equals(name) && kept.configFingerprint() == terms.fingerprint()) {
                start = kept.startNumber() + 1;
                kept.votes().forEach((lease, vote) -> {
                    Held held = new Held(vote.promised().isBelow(floor) ? floor : vote.promised());
                    held.accepted = vote.accepted();
                    held.holder = vote.holder();
                    held.until = nowMs + terms.leaseMs(); // no clock lasts over a start
                    votes.put(lease, held);
                });
                trustsDisk = kept.cleanlyClosed();
            }
        } catch (IOException e) {
            trustsDisk = false;
        }
        try {
            keep(false);
        } catch (IOException e) {
            trustsDisk = false; // nor is anything promised before a write succeeds
        }
    }

    private void keep(boolean closed) throws IOException {
        if (disk != null) {
            Map<LeaseName, Vote> all = new LinkedHashMap<>();
            votes.forEach((lease, held) -> all.put(lease, new Vote(held.promised, held.accepted, held.holder)));
            disk.write(new VoterState(name, terms.fingerprint(), start, closed, all));
        }
    }

    /** An orderly end: nothing is answered after it, and the next start may speak at once. */
    public void close(double nowMs) throws IOException {
        if (speaks(nowMs)) {
            keep(true);
        }
        isClosed = true;
    }

    /**
     * Whether it answers yet. Without a disk: once all that it could have promised before its start has run out. With one, its start is known to
     * a majority, itself among them, and either the same time is over, or the file was closed and so many others remember no later start that one
     * of any majority is among them: guards against a file that was closed at an earlier end.
     */
    public boolean speaks(double nowMs) {
        boolean over = nowMs >= silentUntil;
        if (isClosed || disk == null) {
            return over && !isClosed;
        }
        boolean isKnown = registered.size() + 1 >= terms.majority();
        return isKnown && (over || trustsDisk && confirmed.size() > terms.voters().size() - terms.majority());
    }

    private boolean turnsAway(double nowMs, MemberName from, int set, LeaseName lease, Token ballot) {
        Refusal why = !terms.voters().contains(name) ? Refusal.NO_VOTER : set != terms.fingerprint() ? Refusal.OTHER_SET
                : !speaks(nowMs) ? Refusal.ABSTAINS : votes.size() >= MOST_LEASES && !votes.containsKey(lease) ? Refusal.TOO_MANY : null;
        if (why != null) {
            out.refused(from, lease, ballot, why, highest(lease));
        }
        return why != null;
    }

    private Token highest(LeaseName lease) {
        Held held = votes.get(lease);
        return held == null ? floor : held.promised;
    }

    public void prepare(double nowMs, MemberName from, int set, LeaseName lease, Token ballot) {
        if (turnsAway(nowMs, from, set, lease, ballot)) {
            return;
        }
        Held held = votes.computeIfAbsent(lease, l -> new Held(floor));
        if (ballot.isBelow(held.promised)) {
            out.refused(from, lease, ballot, Refusal.LOWER, held.promised);
            return;
        }
        Token before = held.promised;
        held.promised = ballot;
        if (ballot.equals(before) || written(from, lease, ballot)) {
            boolean runs = held.runsAt(nowMs);
            out.promised(from, lease, ballot, runs ? held.accepted : Token.NONE, runs ? held.holder : null, runs ? held.until - nowMs : 0);
        } else {
            held.promised = before;
        }
    }

    public void ask(double nowMs, MemberName from, int set, LeaseName lease) {
        if (!turnsAway(nowMs, from, set, lease, Token.NONE)) {
            Held held = votes.get(lease);
            boolean runs = held != null && held.runsAt(nowMs);
            out.status(from, lease, highest(lease), runs ? held.accepted : Token.NONE, runs ? held.holder : null, runs ? held.until - nowMs : 0);
        }
    }

    public void propose(double nowMs, MemberName from, int set, LeaseName lease, Token ballot, long turn) {
        if (turnsAway(nowMs, from, set, lease, ballot)) {
            return;
        }
        Held held = votes.computeIfAbsent(lease, l -> new Held(floor));
        if (ballot.isBelow(held.promised)) {
            out.refused(from, lease, ballot, Refusal.LOWER, held.promised);
            return;
        }
        Held before = new Held(held.promised);
        before.accepted = held.accepted;
        before.holder = held.holder;
        held.promised = ballot;
        held.accepted = ballot;
        held.holder = from;
        if (ballot.equals(before.accepted) || written(from, lease, ballot)) {
            held.until = nowMs + terms.leaseMs();
            out.accepted(from, lease, ballot, turn);
        } else {
            held.promised = before.promised;
            held.accepted = before.accepted;
            held.holder = before.holder;
        }
    }

    public void release(double nowMs, MemberName from, int set, LeaseName lease, Token ballot) {
        Held held = votes.get(lease);
        if (set == terms.fingerprint() && held != null && held.accepted.equals(ballot) && from.equals(held.holder)) {
            held.until = nowMs;
        }
    }

    /** Guards promises against a start: what is not on the disk was not promised. */
    private boolean written(MemberName from, LeaseName lease, Token ballot) {
        try {
            keep(false);
            return true;
        } catch (IOException e) {
            out.refused(from, lease, ballot, Refusal.NOT_WRITTEN, highest(lease));
            return false;
        }
    }

    /** Another voter tells its start, and asks which was known before. */
    public void registerStart(MemberName from, int set, long itsStart, long itsNonce) {
        if (set == terms.fingerprint() && terms.voters().contains(from)) {
            Known known = starts.get(from);
            if (known == null || known.nonce != itsNonce && itsStart >= known.start) {
                starts.put(from, new Known(itsStart, itsNonce, known == null ? -1 : known.start));
            } else if (known.nonce != itsNonce) {
                out.startRegistered(from, itsStart, itsNonce, known.start); // an old copy: it is told, and not taken for the last
                return;
            }
            out.startRegistered(from, itsStart, itsNonce, starts.get(from).before);
        }
    }

    public void startRegistered(MemberName from, long itsStart, long itsNonce, long known) {
        if (itsStart != start || itsNonce != nonce || !terms.voters().contains(from) || from.equals(name)) {
            return;
        }
        if (known >= start) { // the file is an old copy, or of a process beside this one
            trustsDisk = false;
            start = known + 1;
            registered.clear();
            try {
                keep(false);
            } catch (IOException e) {
                return; // it is said again, and written then
            }
            woken();
        } else {
            registered.add(from);
            if (known >= 0) {
                confirmed.add(from);
            }
        }
    }

    /** Leases it keeps. */
    public int leases() {
        return votes.size();
    }

    /** All that decides what it does next, times from now on: for a checker that has to tell states apart. */
    public String state(double nowMs) {
        StringBuilder text = new StringBuilder().append(start).append(trustsDisk).append(isClosed).append(registered).append(confirmed).append(starts)
                .append(Math.round(Math.max(-1, silentUntil - nowMs)));
        votes.forEach((lease, held) -> text.append(lease).append(held.promised).append(held.accepted).append(held.holder)
                .append(Math.round(Math.max(-1, held.until - nowMs))));
        return text.toString();
    }
}
