package dappleseam.fleet.lease;

import dappleseam.fleet.lease.VoterMessages.Refusal;
import dappleseam.fleet.membership.MemberName;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One process's side of all leases that it may take: asks, tries in turn, renews, and acts only while sure. Free of I/O; times are ms of a monotonic
 * clock that runs within {@link LeaseConfig#drift} of true time. Not for several threads.
 */
public final class Candidate {
    /** Places in the order of trying that ask the voters; the others only look at their place from time to time. */
    public static final int ASKING = 3;
    /** Shares of a lease: between two questions, from a question on in which answers count, between two places' tries, at most by chance on top. */
    private static final double ASK_SHARE = 0.25;
    private static final double ANSWER_SHARE = 0.2;
    /** Times that a question is sent again within that, to those that have not answered: guards a lease against links that lose a third. */
    private static final int RESENDS = 3;
    private static final double PLACE_SHARE = 0.05;
    private static final double CHANCE_SHARE = 0.05;
    /** Share of its own reckoning after which it renews, and before whose end it stops the task. */
    private static final double RENEW_SHARE = 0.3;
    private static final double STOP_SHARE = 0.1;

    private final long nonce;
    private final LeaseConfig terms;
    private final CandidateHost host;
    private final RandomGenerator random;
    private final Map<LeaseName, Claim> claims = new LinkedHashMap<>();
    /** Questions in a row without an answer of a majority after which that is said. */
    private static final int SILENT = 2;
    private double wokenAt = Double.NaN;
    /** Last round that this process made. */
    private long made;

    private enum Stage { WAITING, ASKING, PREPARING, PROPOSING, HOLDING }

    private static final class Claim {
        final LeaseName lease;
        Stage stage = Stage.WAITING;
        /** When something is due for it. */
        double dueAt;
        Token ballot = Token.NONE;
        /** Of the proposals of that ballot. */
        long turn;
        /** From when on a holder reckons: before anything was sent. */
        double beganAt;
        final Set<MemberName> yes = new HashSet<>();
        final Set<MemberName> heard = new HashSet<>();
        /** Longest time for which somebody else may still hold it. */
        double takenUntil = Double.NEGATIVE_INFINITY;
        Token highest = Token.NONE;
        double until = Double.NEGATIVE_INFINITY;
        /** Since when it is known to be free; NaN where it is not. */
        double freeSince = Double.NaN;
        int failures;
        /** Of the question that is open. */
        int resends;

        Claim(LeaseName lease) {
            this.lease = lease;
        }
    }

    /** {@code nonce}: this process's, no other's ever. */
    public Candidate(long nonce, LeaseConfig terms, CandidateHost host, RandomGenerator random) {
        this.nonce = nonce;
        this.terms = terms;
        this.host = host;
        this.random = random;
    }

    /** This process would do that task, in its turn. */
    public void acquire(double nowMs, LeaseName lease) {
        Claim claim = claims.computeIfAbsent(lease, Claim::new);
        claim.dueAt = nowMs + random.nextDouble() * CHANCE_SHARE * terms.leaseMs();
        leave();
    }

    /** Gives it up, and does not want it any more: the task has been stopped. */
    public void release(double nowMs, LeaseName lease) {
        Claim claim = claims.remove(lease);
        if (claim != null && claim.stage == Stage.HOLDING) {
            terms.voters().forEach(v -> host.release(v, terms.fingerprint(), lease, claim.ballot));
        }
        leave();
    }

    /** The token to act with, where that is allowed for so many ms from now on; null where it is not. To be asked at the instant of acting. */
    public Token validToken(double nowMs, LeaseName lease, double forMs) {
        Claim claim = claims.get(lease);
        return claim != null && claim.stage == Stage.HOLDING && nowMs + forMs < claim.until ? claim.ballot : null;
    }

    /** A resource has seen a higher token than this one's: whoever had it came after. */
    public void fenced(double nowMs, LeaseName lease, Token seen) {
        Claim claim = claims.get(lease);
        if (claim != null) {
            raise(claim, seen);
            if (claim.stage == Stage.HOLDING && claim.ballot.isBelow(seen)) {
                lose(nowMs, claim, "a resource has seen a later holder");
            }
            leave();
        }
    }

    public void woken(double nowMs) {
        wokenAt = Double.NaN;
        for (Claim claim : List.copyOf(claims.values())) { // a task that is stopped may give its lease up
            if (claim.dueAt <= nowMs) {
                due(nowMs, claim);
            }
        }
        leave();
    }

    private void leave() {
        double next = claims.values().stream().mapToDouble(c -> c.dueAt).min().orElse(Double.NaN);
        if (!Double.isNaN(next) && next != wokenAt) {
            wokenAt = next;
            host.wakeAt(next);
        }
    }

    private double span(double share) {
        return share * terms.leaseMs();
    }

    private void due(double nowMs, Claim claim) {
        switch (claim.stage) {
            case WAITING -> ask(nowMs, claim);
            case ASKING, PREPARING, PROPOSING -> {
                if (claim.resends > 0) {
                    resend(nowMs, claim);
                    return;
                }
                claim.failures++;
                if (claim.stage == Stage.ASKING && claim.failures == SILENT) {
                    host.log("lease " + claim.lease + ": no majority of voters answers");
                }
                waitFor(nowMs, claim, span(ASK_SHARE) * Math.min(4, claim.failures));
            }
            case HOLDING -> {
                if (nowMs >= claim.until - span(STOP_SHARE)) {
                    lose(nowMs, claim, "not renewed in time");
                } else if (claim.resends > 0) {
                    resend(nowMs, claim);
                } else {
                    renew(nowMs, claim);
                }
            }
        }
    }

    private void waitFor(double nowMs, Claim claim, double ms) {
        claim.stage = Stage.WAITING;
        claim.dueAt = nowMs + ms + random.nextDouble() * span(CHANCE_SHARE);
    }

    private void ask(double nowMs, Claim claim) {
        int rank = host.rank(claim.lease);
        if (rank < 0 || rank >= ASKING) {
            waitFor(nowMs, claim, span(ASK_SHARE));
            return;
        }
        begin(nowMs, claim, Stage.ASKING);
        terms.voters().forEach(v -> host.ask(v, terms.fingerprint(), claim.lease));
    }

    /** The same question: a voter that has it already answers again. */
    private void resend(double nowMs, Claim claim) {
        claim.resends--;
        await(nowMs, claim);
        for (MemberName voter : terms.voters()) {
            if (!claim.heard.contains(voter) && !claim.yes.contains(voter)) {
                switch (claim.stage) {
                    case ASKING -> host.ask(voter, terms.fingerprint(), claim.lease);
                    case PREPARING -> host.prepare(voter, terms.fingerprint(), claim.lease, claim.ballot);
                    default -> host.propose(voter, terms.fingerprint(), claim.lease, claim.ballot, claim.turn);
                }
            }
        }
    }

    /** Until the next sending, or the end, of the question that is open. */
    private void await(double nowMs, Claim claim) {
        double due = nowMs + span(ANSWER_SHARE) / (1 + RESENDS);
        claim.dueAt = claim.stage == Stage.HOLDING ? Math.min(due, claim.until - span(STOP_SHARE)) : due;
    }

    private void begin(double nowMs, Claim claim, Stage stage) {
        claim.stage = stage;
        claim.yes.clear();
        claim.heard.clear();
        claim.takenUntil = Double.NEGATIVE_INFINITY;
        claim.resends = RESENDS;
        await(nowMs, claim);
    }

    private static void raise(Claim claim, Token seen) {
        if (claim.highest.isBelow(seen)) {
            claim.highest = seen;
        }
    }

    /** What a voter says of who holds it. */
    public void status(double nowMs, MemberName voter, LeaseName lease, Token highest, Token held, double leftMs) {
        Claim claim = heard(voter, lease, highest);
        if (claim == null || claim.stage != Stage.ASKING || !claim.heard.add(voter)) {
            return;
        }
        if (held.equals(Token.NONE)) {
            claim.yes.add(voter);
        } else {
            claim.takenUntil = Math.max(claim.takenUntil, nowMs + leftMs);
        }
        if (claim.yes.size() >= terms.majority()) {
            claim.failures = 0;
            claim.freeSince = Double.isNaN(claim.freeSince) ? nowMs : claim.freeSince;
            double turn = claim.freeSince + Math.max(0, host.rank(lease)) * span(PLACE_SHARE);
            if (nowMs >= turn) {
                prepare(nowMs, claim);
            } else { // those before it try first; it looks again then
                waitFor(nowMs, claim, turn - nowMs);
            }
        } else if (claim.heard.size() - claim.yes.size() >= terms.majority()
                || claim.heard.size() == terms.voters().size()) {
            claim.failures = 0;
            claim.freeSince = Double.NaN;
            waitFor(nowMs, claim, Math.min(span(ASK_SHARE), Math.max(0, claim.takenUntil - nowMs)));
        }
        leave();
    }

    /** The claim that an answer is for, or null. */
    private Claim heard(MemberName voter, LeaseName lease, Token highest) {
        Claim claim = claims.get(lease);
        if (claim == null || !terms.voters().contains(voter)) {
            return null;
        }
        raise(claim, highest);
        return claim;
    }

    private void prepare(double nowMs, Claim claim) {
        if (Math.max(made, claim.highest.round()) >= Token.MAX_ROUND) {
            waitFor(nowMs, claim, span(1));
            return;
        }
        begin(nowMs, claim, Stage.PREPARING);
        made = Math.max(made, claim.highest.round()) + 1; // never the same twice, whatever the voters forgot
        claim.ballot = new Token(made, nonce);
        raise(claim, claim.ballot);
        // From here on, not from the proposal: a voter that forgets its promise is silent until no answer to this ballot counts any more.
        claim.beganAt = nowMs;
        terms.voters().forEach(v -> host.prepare(v, terms.fingerprint(), claim.lease, claim.ballot));
    }

    public void promised(double nowMs, MemberName voter, LeaseName lease, Token ballot, Token held, double leftMs) {
        Claim claim = heard(voter, lease, held);
        if (claim == null || claim.stage != Stage.PREPARING || !ballot.equals(claim.ballot) || !claim.heard.add(voter)) {
            return;
        }
        if (held.equals(Token.NONE) || held.nonce() == nonce) {
            claim.yes.add(voter);
        } else {
            claim.takenUntil = Math.max(claim.takenUntil, nowMs + leftMs);
        }
        if (claim.yes.size() >= terms.majority()) {
            claim.stage = Stage.PROPOSING;
            claim.yes.clear();
            claim.heard.clear();
            claim.resends = RESENDS;
            await(nowMs, claim);
            terms.voters().forEach(v -> host.propose(v, terms.fingerprint(), lease, claim.ballot, claim.turn));
        } else if (claim.heard.size() == terms.voters().size()) {
            claim.freeSince = Double.NaN;
            waitFor(nowMs, claim, Math.min(span(ASK_SHARE), Math.max(0, claim.takenUntil - nowMs)));
        }
        leave();
    }

    public void accepted(double nowMs, MemberName voter, LeaseName lease, Token ballot, long turn) {
        Claim claim = heard(voter, lease, ballot);
        boolean counts = claim != null && ballot.equals(claim.ballot) && turn == claim.turn && (claim.stage == Stage.PROPOSING || claim.stage == Stage.HOLDING);
        if (!counts || !claim.yes.add(voter) || claim.yes.size() != terms.majority() || nowMs >= claim.beganAt + terms.heldMs()) {
            return;
        }
        claim.until = Math.max(claim.until, claim.beganAt + terms.heldMs());
        claim.failures = 0;
        claim.resends = 0;
        claim.freeSince = Double.NaN;
        claim.dueAt = Math.min(nowMs + terms.heldMs() * RENEW_SHARE, claim.until - span(STOP_SHARE));
        claim.stage = Stage.HOLDING;
        host.granted(lease, ballot, claim.until);
        leave();
    }

    private void renew(double nowMs, Claim claim) {
        claim.yes.clear();
        claim.heard.clear();
        claim.beganAt = nowMs;
        claim.resends = RESENDS;
        await(nowMs, claim);
        claim.turn++;
        terms.voters().forEach(v -> host.propose(v, terms.fingerprint(), claim.lease, claim.ballot, claim.turn));
    }

    public void refused(double nowMs, MemberName voter, LeaseName lease, Token ballot, Refusal why, Token highest) {
        Claim claim = heard(voter, lease, highest);
        if (claim == null) {
            return;
        }
        if (why == Refusal.OTHER_SET || why == Refusal.NO_VOTER) {
            host.log("lease " + lease + ": " + voter + " is of another set of voters: " + why);
        }
        boolean current = ballot.equals(claim.ballot) && (claim.stage == Stage.PREPARING || claim.stage == Stage.PROPOSING);
        if (current && why == Refusal.LOWER) {
            claim.failures++;
            waitFor(nowMs, claim, random.nextDouble() * span(PLACE_SHARE) * Math.min(8, claim.failures));
            leave();
        }
    }

    private void lose(double nowMs, Claim claim, String why) {
        claim.until = Double.NEGATIVE_INFINITY;
        host.lost(claim.lease, claim.ballot, why);
        waitFor(nowMs, claim, span(ASK_SHARE));
    }

    /** All that decides what it does next but chance, times from now on: for a checker that has to tell states apart. */
    public String state(double nowMs) {
        StringBuilder text = new StringBuilder().append(made);
        claims.values().forEach(c -> text.append(c.lease).append(c.stage).append(c.ballot).append(c.turn).append(c.yes).append(c.heard).append(c.highest)
                .append(Math.round(c.dueAt - nowMs)).append(' ').append(Math.round(c.beganAt - nowMs)).append(' ')
                .append(Math.round(Math.max(-1, c.until - nowMs))).append(' ').append(Math.round(c.freeSince - nowMs)).append(c.failures).append(c.resends));
        return text.toString();
    }
}
