package dappleseam.fleet.lease;

import dappleseam.fleet.lease.Answers.Refusal;
import dappleseam.fleet.membership.MemberName;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One process's side of all leases that it competes for: polls the voters, acquires a free lease when its turn comes, renews it, and hands out its token
 * only while the lease is certain to be valid. Does no I/O; times are ms of a monotonic clock whose rate is within {@link LeaseConfig#drift} of true time.
 * Not thread-safe.
 */
public final class Candidate {
    /** Members per lease that poll the voters: the first by rank. All others only check their rank from time to time. */
    public static final int ASKING = 3;
    /** Fractions of the lease time: between two polls, and the time in which replies to a request count. */
    private static final double ASK_SHARE = 0.25;
    private static final double ANSWER_SHARE = 0.2;
    /** Resends of a request within its timeout, to voters that have not replied: keeps a lease over links that lose a third of the datagrams. */
    private static final int RESENDS = 3;
    /** Fractions of the lease time: the delay of each rank behind the one before it, and the largest random jitter. */
    private static final double PLACE_SHARE = 0.05;
    private static final double CHANCE_SHARE = 0.05;
    /** Fraction of the holder's own lease time after which it renews, and fraction of the lease time before expiry at which it stops the task. */
    private static final double RENEW_SHARE = 0.3;
    private static final double STOP_SHARE = 0.1;

    private final long nonce;
    private final LeaseTerms terms;
    private final LeaseHost host;
    private final RandomGenerator random;
    private final Map<LeaseName, Claim> claims = new LinkedHashMap<>();
    /** Consecutive polls without replies from a majority after which a line is logged. */
    private static final int SILENT = 2;
    private double wokenAt = Double.NaN;
    /** Highest round used by this process. */
    private long made;

    private enum Stage { WAITING, ASKING, PREPARING, PROPOSING, HOLDING }

    /** State of the competition for one lease. */
    private static final class Claim {
        final LeaseName lease;
        Stage stage = Stage.WAITING;
        /** Time of the next action for this lease. */
        double dueAt;
        Token ballot = Token.NONE;
        /** Number of the last proposal of {@link #ballot}. */
        long turn;
        /** Start of the holder's lease time: before the first request was sent. */
        double beganAt;
        /** Voters that reported the lease free, promised or accepted, by stage. */
        final Set<MemberName> yes = new HashSet<>();
        /** Voters that replied to the open request. */
        final Set<MemberName> heard = new HashSet<>();
        /** Latest time until which another member may hold the lease. */
        double takenUntil = Double.NEGATIVE_INFINITY;
        Token highest = Token.NONE;
        double until = Double.NEGATIVE_INFINITY;
        /** Since when the lease is known to be free; NaN if it is not. */
        double freeSince = Double.NaN;
        int failures;
        /** Remaining resends of the open request. */
        int resends;

        Claim(LeaseName lease) {
            this.lease = lease;
        }
    }

    /** {@code nonce}: unique to this process. */
    public Candidate(long nonce, LeaseTerms terms, LeaseHost host, RandomGenerator random) {
        this.nonce = nonce;
        this.terms = terms;
        this.host = host;
        this.random = random;
    }

    /** Starts competing for the lease. */
    public void want(double nowMs, LeaseName lease) {
        Claim claim = claims.computeIfAbsent(lease, Claim::new);
        claim.dueAt = nowMs + random.nextDouble() * CHANCE_SHARE * terms.leaseMs();
        leave();
    }

    /** Stops competing for the lease and releases it if held. The task must have been stopped before. */
    public void give(double nowMs, LeaseName lease) {
        Claim claim = claims.remove(lease);
        if (claim != null && claim.stage == Stage.HOLDING) {
            terms.voters().forEach(v -> host.release(v, terms.sum(), lease, claim.ballot));
        }
        leave();
    }

    /** The token, if the lease is certain to be held for {@code forMs} from now on; null otherwise. Call it right before each action. */
    public Token act(double nowMs, LeaseName lease, double forMs) {
        Claim claim = claims.get(lease);
        return claim != null && claim.stage == Stage.HOLDING && nowMs + forMs < claim.until ? claim.ballot : null;
    }

    /** A resource has seen a higher token, so a later holder exists. */
    public void fenced(double nowMs, LeaseName lease, Token seen) {
        Claim claim = claims.get(lease);
        if (claim != null) {
            raise(claim, seen);
            if (claim.stage == Stage.HOLDING && claim.ballot.isBelow(seen)) {
                lose(nowMs, claim, "a resource has seen a later holder's token");
            }
            leave();
        }
    }

    /** The wake-up requested by {@link CandidateHost#wakeAt}. */
    public void woken(double nowMs) {
        wokenAt = Double.NaN;
        for (Claim claim : List.copyOf(claims.values())) { // a copy: stopping a task may release its lease and remove the claim
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
                    host.log("lease " + claim.lease + ": no replies from a majority of voters");
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
        terms.voters().forEach(v -> host.ask(v, terms.sum(), claim.lease));
    }

    /** Sends the open request again; a voter that has already handled it replies again. */
    private void resend(double nowMs, Claim claim) {
        claim.resends--;
        await(nowMs, claim);
        for (MemberName voter : terms.voters()) {
            if (!claim.heard.contains(voter) && !claim.yes.contains(voter)) {
                switch (claim.stage) {
                    case ASKING -> host.ask(voter, terms.sum(), claim.lease);
                    case PREPARING -> host.prepare(voter, terms.sum(), claim.lease, claim.ballot);
                    default -> host.propose(voter, terms.sum(), claim.lease, claim.ballot, claim.turn);
                }
            }
        }
    }

    /** Sets the time of the next resend, or of the timeout of the open request. */
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

    /** A voter's reply to a poll: the current holder, if there is one. */
    public void told(double nowMs, MemberName voter, LeaseName lease, Token highest, Token held, double leftMs) {
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
            } else { // members of lower rank try first
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

    /** The claim that a reply belongs to, or null; takes note of the highest ballot. */
    private Claim heard(MemberName voter, LeaseName lease, Token highest) {
        Claim claim = claims.get(lease);
        if (claim == null || !terms.voters().contains(voter)) {
            return null;
        }
        raise(claim, highest);
        return claim;
    }

    private void prepare(double nowMs, Claim claim) {
        if (Math.max(made, claim.highest.round()) >= Token.LAST) {
            waitFor(nowMs, claim, span(1));
            return;
        }
        begin(nowMs, claim, Stage.PREPARING);
        made = Math.max(made, claim.highest.round()) + 1; // a round is never reused, even if voters have lost their state
        claim.ballot = new Token(made, nonce);
        raise(claim, claim.ballot);
        // Counted from here, not from the proposal: a voter that loses its promise abstains until replies to this ballot no longer count.
        claim.beganAt = nowMs;
        terms.voters().forEach(v -> host.prepare(v, terms.sum(), claim.lease, claim.ballot));
    }

    /** A voter promised the ballot; {@code held} is a token that is still valid there, or {@link Token#NONE}. */
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
            terms.voters().forEach(v -> host.propose(v, terms.sum(), lease, claim.ballot, claim.turn));
        } else if (claim.heard.size() == terms.voters().size()) {
            claim.freeSince = Double.NaN;
            waitFor(nowMs, claim, Math.min(span(ASK_SHARE), Math.max(0, claim.takenUntil - nowMs)));
        }
        leave();
    }

    /** A voter accepted the proposal. */
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
        host.held(lease, ballot, claim.until);
        leave();
    }

    private void renew(double nowMs, Claim claim) {
        claim.yes.clear();
        claim.heard.clear();
        claim.beganAt = nowMs;
        claim.resends = RESENDS;
        await(nowMs, claim);
        claim.turn++;
        terms.voters().forEach(v -> host.propose(v, terms.sum(), claim.lease, claim.ballot, claim.turn));
    }

    /** A voter refused the ballot; {@code highest} is what it has promised. */
    public void refused(double nowMs, MemberName voter, LeaseName lease, Token ballot, Refusal why, Token highest) {
        Claim claim = heard(voter, lease, highest);
        if (claim == null) {
            return;
        }
        if (why == Refusal.OTHER_SET || why == Refusal.NO_VOTER) {
            host.log("lease " + lease + ": voter " + voter + " has another lease configuration: " + why);
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

    /** Everything but the random generator that determines future behaviour, with times relative to now. Lets a model checker compare states. */
    public String state(double nowMs) {
        StringBuilder text = new StringBuilder().append(made);
        claims.values().forEach(c -> text.append(c.lease).append(c.stage).append(c.ballot).append(c.turn).append(c.yes).append(c.heard).append(c.highest)
                .append(Math.round(c.dueAt - nowMs)).append(' ').append(Math.round(c.beganAt - nowMs)).append(' ')
                .append(Math.round(Math.max(-1, c.until - nowMs))).append(' ').append(Math.round(c.freeSince - nowMs)).append(c.failures).append(c.resends));
        return text.toString();
    }
}
