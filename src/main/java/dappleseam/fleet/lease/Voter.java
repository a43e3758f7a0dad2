package dappleseam.fleet.lease;

import dappleseam.fleet.lease.Answers.Refusal;
import dappleseam.fleet.lease.VoterDisk.Kept;
import dappleseam.fleet.lease.VoterDisk.Vote;
import dappleseam.fleet.membership.MemberName;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * One voter's side of all leases: promises, acceptances, and abstention after a start (PaxosLease, Trencseni, Gazso, Reinhardt 2012; docs/fleet-design.md
 * lists the differences). Does no I/O but through its {@link VoterStorage}; times are ms of a monotonic clock. Not thread-safe.
 */
public final class Voter {
    /** Maximum number of leases: each takes about 200 bytes, in memory and in the file. */
    public static final int MOST_LEASES = 2000;

    private final MemberName name;
    private final LeaseTerms terms;
    private final Answers out;
    private final VoterDisk disk;
    private final Map<LeaseName, Held> votes = new LinkedHashMap<>();
    /** Last registered start of each other voter. */
    private final Map<MemberName, Known> starts = new HashMap<>();
    /** Other voters that have registered this start. */
    private final Set<MemberName> registered = new HashSet<>();
    /** Of these, the ones that remember an earlier start of this voter, and none as late as this one. */
    private final Set<MemberName> confirmed = new HashSet<>();
    private final long nonce;
    /** The promise for a lease without any state. */
    private final Token floor;
    /** Until then the voter abstains after a start, unless its storage can be trusted. */
    private double silentUntil;
    private long start;
    private boolean trustsDisk;
    private boolean isClosed;

    /** Another voter's last start, the nonce of that process, and the start that was known before it; -1 if none was. */
    private record Known(long start, long nonce, long before) {}

    /** Promise and acceptance for one lease. */
    private static final class Held {
        Token promised;
        Token accepted = Token.NONE;
        MemberName holder;
        double until = Double.NEGATIVE_INFINITY;

        Held(Token promised) {
            this.promised = promised;
        }

        /** Whether the accepted holder's lease is still running. */
        boolean runsAt(double nowMs) {
            return until > nowMs;
        }
    }

    /**
     * Starts the voter. {@code nonce}: the process's. {@code storage}: null if there is no durable storage. {@code wallMs}: wall clock time, the lowest
     * round of new ballots: rounds grow even across starts without any state, as long as fewer ballots are created than ms pass and the clock is not set back.
     */
    public Voter(MemberName name, long nonce, LeaseTerms terms, Answers out, VoterDisk disk, double nowMs, long wallMs) {
        floor = new Token(Math.max(0, Math.min(wallMs, Token.LAST)), Long.MIN_VALUE);
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

    /** Called periodically: sends the start number to the voters that have not registered it yet. */
    public void woken() {
        if (disk != null) {
            terms.voters().stream().filter(v -> !v.equals(name) && !registered.contains(v)).forEach(v -> out.recall(v, terms.sum(), start, nonce));
        }
    }

    /** Another process uses this one's name: abstains for one lease time, so that two processes that know of each other do not both answer as one voter. */
    public void twinSeen(double nowMs) {
        trustsDisk = false;
        silentUntil = nowMs + terms.leaseMs();
    }

    /**
     * Reads the stored promises. A file that is truncated, another voter's or of another configuration is ignored, and the voter starts as if it had no
     * storage. Rounds are taken from any valid file; answering at once also requires a cleanly closed one, because a copy made earlier lacks the last promises.
     */
    private void recover(double nowMs) {
        try {
            Kept kept = disk.read();
            if (kept.voter().equals(name) && kept.set() == terms.sum()) {
                start = kept.start() + 1;
                kept.votes().forEach((lease, vote) -> {
                    Held held = new Held(vote.promised().isBelow(floor) ? floor : vote.promised());
                    held.accepted = vote.accepted();
                    held.holder = vote.holder();
                    held.until = nowMs + terms.leaseMs(); // the monotonic clock does not carry over a restart
                    votes.put(lease, held);
                });
                trustsDisk = kept.closed();
            }
        } catch (IOException e) {
            trustsDisk = false;
        }
        try {
            keep(false);
        } catch (IOException e) {
            trustsDisk = false; // nothing is promised before a write succeeds
        }
    }

    private void keep(boolean closed) throws IOException {
        if (disk != null) {
            Map<LeaseName, Vote> all = new LinkedHashMap<>();
            votes.forEach((lease, held) -> all.put(lease, new Vote(held.promised, held.accepted, held.holder)));
            disk.write(new Kept(name, terms.sum(), start, closed, all));
        }
    }

    /** Clean shutdown: nothing is answered after it, and the next start may answer at once. */
    public void close(double nowMs) throws IOException {
        if (speaks(nowMs)) {
            keep(true);
        }
        isClosed = true;
    }

    /**
     * Whether the voter answers yet. Without storage: once every promise from before its start has expired. With storage, its start has to be registered
     * by a majority, itself included, and in addition either that time is over, or the file was cleanly closed and enough other voters remember no later
     * start that at least one of them is in every majority. This detects a file restored from an earlier clean shutdown.
     */
    public boolean speaks(double nowMs) {
        boolean over = nowMs >= silentUntil;
        if (isClosed || disk == null) {
            return over && !isClosed;
        }
        boolean isKnown = registered.size() + 1 >= terms.majority();
        return isKnown && (over || trustsDisk && confirmed.size() > terms.voters().size() - terms.majority());
    }

    /** Sends a refusal and returns true if the voter cannot handle a request now. */
    private boolean turnsAway(double nowMs, MemberName from, int set, LeaseName lease, Token ballot) {
        Refusal why = !terms.voters().contains(name) ? Refusal.NO_VOTER : set != terms.sum() ? Refusal.OTHER_SET
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

    /** A candidate asks for a promise. */
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

    /** A candidate asks for the current holder. */
    public void ask(double nowMs, MemberName from, int set, LeaseName lease) {
        if (!turnsAway(nowMs, from, set, lease, Token.NONE)) {
            Held held = votes.get(lease);
            boolean runs = held != null && held.runsAt(nowMs);
            out.told(from, lease, highest(lease), runs ? held.accepted : Token.NONE, runs ? held.holder : null, runs ? held.until - nowMs : 0);
        }
    }

    /** A candidate asks to be accepted as the holder, or renews. */
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

    /** The holder gives up its lease. */
    public void release(double nowMs, MemberName from, int set, LeaseName lease, Token ballot) {
        Held held = votes.get(lease);
        if (set == terms.sum() && held != null && held.accepted.equals(ballot) && from.equals(held.holder)) {
            held.until = nowMs;
        }
    }

    /** Persists the votes; a vote that cannot be persisted is refused, so that no promise is lost by a restart. */
    private boolean written(MemberName from, LeaseName lease, Token ballot) {
        try {
            keep(false);
            return true;
        } catch (IOException e) {
            out.refused(from, lease, ballot, Refusal.NOT_WRITTEN, highest(lease));
            return false;
        }
    }

    /** Another voter registers its start, and asks which one was known before. */
    public void recall(MemberName from, int set, long itsStart, long itsNonce) {
        if (set == terms.sum() && terms.voters().contains(from)) {
            Known known = starts.get(from);
            if (known == null || known.nonce != itsNonce && itsStart >= known.start) {
                starts.put(from, new Known(itsStart, itsNonce, known == null ? -1 : known.start));
            } else if (known.nonce != itsNonce) {
                out.recalled(from, itsStart, itsNonce, known.start); // an old copy of its file: it is told of the later start, and not registered
                return;
            }
            out.recalled(from, itsStart, itsNonce, starts.get(from).before);
        }
    }

    /** Another voter has registered this start, or knows of a later one. */
    public void recalled(MemberName from, long itsStart, long itsNonce, long known) {
        if (itsStart != start || itsNonce != nonce || !terms.voters().contains(from) || from.equals(name)) {
            return;
        }
        if (known >= start) { // the file is an old copy, or another process runs as this voter
            trustsDisk = false;
            start = known + 1;
            registered.clear();
            try {
                keep(false);
            } catch (IOException e) {
                return; // woken() sends it again, and the next vote persists it
            }
            woken();
        } else {
            registered.add(from);
            if (known >= 0) {
                confirmed.add(from);
            }
        }
    }

    /** Number of leases with a state. */
    public int leases() {
        return votes.size();
    }

    /** Everything that determines future behaviour, with times relative to now. Lets a model checker compare states. */
    public String state(double nowMs) {
        StringBuilder text = new StringBuilder().append(start).append(trustsDisk).append(isClosed).append(registered).append(confirmed).append(starts)
                .append(Math.round(Math.max(-1, silentUntil - nowMs)));
        votes.forEach((lease, held) -> text.append(lease).append(held.promised).append(held.accepted).append(held.holder)
                .append(Math.round(Math.max(-1, held.until - nowMs))));
        return text.toString();
    }
}
