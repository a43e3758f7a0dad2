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
 * One process's side of all leases that it competes for: polls the voters, acquires a free lease when its turn comes, renews it, and hands out its token
 * only while the lease is certain to be valid. Does no I/O; times are ms of a monotonic clock whose rate is within {@link LeaseConfig#drift} of true time.
 * Not thread-safe.
 */
public final class Candidate {
    /** Members per lease that poll the voters: the first by rank. All others only check their rank from time to time. */
    public static final int MAX_CONTENDERS = 3;
    /** Fractions of the lease time: between two polls, and the time in which replies to a request count. */
    private static final double POLL_SHARE = 0.25;
    private static final double TIMEOUT_SHARE = 0.2;
    /** Resends of a request within its timeout, to voters that have not replied: keeps a lease over links that lose a third of the datagrams. */
    private static final int RESENDS = 3;
    /** Fractions of the lease time: the delay of each rank behind the one before it, and the largest random jitter. */
    private static final double RANK_DELAY_SHARE = 0.05;
    private static final double JITTER_SHARE = 0.05;
    /** Fraction of the holder's own lease time after which it renews, and fraction of the lease time before expiry at which it stops the task. */
    private static final double RENEW_SHARE = 0.3;
    private static final double STOP_SHARE = 0.1;

    private final long nonce;
    private final LeaseConfig config;
    private final CandidateHost host;
    private final RandomGenerator random;
    private final Map<LeaseName, Claim> claims = new LinkedHashMap<>();
    /** Consecutive polls without replies from a majority after which a line is logged. */
    private static final int LOGGED_FAILURES = 2;
    private double scheduledAt = Double.NaN;
    /** Highest round used by this process. */
    private long lastRound;

    private enum Stage { WAITING, ASKING, PREPARING, PROPOSING, HOLDING }

    /** State of the competition for one lease. */
    private static final class Claim {
        final LeaseName lease;
        Stage stage = Stage.WAITING;
        /** Time of the next action for this lease. */
        double dueAt;
        Token ballot = Token.NONE;
        /** Number of the last proposal of {@link #ballot}. */
        long proposalNumber;
        /** Start of the holder's lease time: before the first request was sent. */
        double startedAt;
        /** Voters that reported the lease free, promised or accepted, by stage. */
        final Set<MemberName> approvedBy = new HashSet<>();
        /** Voters that replied to the open request. */
        final Set<MemberName> replied = new HashSet<>();
        /** Latest time until which another member may hold the lease. */
        double heldByOtherUntil = Double.NEGATIVE_INFINITY;
        Token highestSeen = Token.NONE;
        double heldUntil = Double.NEGATIVE_INFINITY;
        /** Since when the lease is known to be free; NaN if it is not. */
        double freeSince = Double.NaN;
        int failures;
        /** Remaining resends of the open request. */
        int resendsLeft;

        Claim(LeaseName lease) {
            this.lease = lease;
        }
    }

    /** {@code nonce}: unique to this process. */
    public Candidate(long nonce, LeaseConfig config, CandidateHost host, RandomGenerator random) {
        this.nonce = nonce;
        this.config = config;
        this.host = host;
        this.random = random;
    }

    /** Starts competing for the lease. */
    public void acquire(double nowMs, LeaseName lease) {
        Claim claim = claims.computeIfAbsent(lease, Claim::new);
        claim.dueAt = nowMs + random.nextDouble() * JITTER_SHARE * config.leaseMs();
        scheduleWakeUp();
    }

    /** Stops competing for the lease and releases it if held. The task must have been stopped before. */
    public void release(double nowMs, LeaseName lease) {
        Claim claim = claims.remove(lease);
        if (claim != null && claim.stage == Stage.HOLDING) {
            config.voters().forEach(v -> host.release(v, config.fingerprint(), lease, claim.ballot));
        }
        scheduleWakeUp();
    }

    /** The token, if the lease is certain to be held for {@code forMs} from now on; null otherwise. Call it right before each action. */
    public Token validToken(double nowMs, LeaseName lease, double forMs) {
        Claim claim = claims.get(lease);
        return claim != null && claim.stage == Stage.HOLDING && nowMs + forMs < claim.heldUntil ? claim.ballot : null;
    }

    /** A resource has seen a higher token, so a later holder exists. */
    public void fenced(double nowMs, LeaseName lease, Token seen) {
        Claim claim = claims.get(lease);
        if (claim != null) {
            raiseHighestSeen(claim, seen);
            if (claim.stage == Stage.HOLDING && claim.ballot.isBelow(seen)) {
                lose(nowMs, claim, "a resource has seen a later holder");
            }
            scheduleWakeUp();
        }
    }

    /** The wake-up requested by {@link CandidateHost#wakeAt}. */
    public void woken(double nowMs) {
        scheduledAt = Double.NaN;
        for (Claim claim : List.copyOf(claims.values())) { // a copy: stopping a task may release its lease and remove the claim
            if (claim.dueAt <= nowMs) {
                handleDue(nowMs, claim);
            }
        }
        scheduleWakeUp();
    }

    private void scheduleWakeUp() {
        double next = claims.values().stream().mapToDouble(c -> c.dueAt).min().orElse(Double.NaN);
        if (!Double.isNaN(next) && next != scheduledAt) {
            scheduledAt = next;
            host.wakeAt(next);
        }
    }

    private double leaseShare(double share) {
        return share * config.leaseMs();
    }

    private void handleDue(double nowMs, Claim claim) {
        switch (claim.stage) {
            case WAITING -> poll(nowMs, claim);
            case ASKING, PREPARING, PROPOSING -> {
                if (claim.resendsLeft > 0) {
                    resend(nowMs, claim);
                    return;
                }
                claim.failures++;
                if (claim.stage == Stage.ASKING && claim.failures == LOGGED_FAILURES) {
                    host.log("lease " + claim.lease + ": no majority of voters answers");
                }
                waitFor(nowMs, claim, leaseShare(POLL_SHARE) * Math.min(4, claim.failures));
            }
            case HOLDING -> {
                if (nowMs >= claim.heldUntil - leaseShare(STOP_SHARE)) {
                    lose(nowMs, claim, "not renewed in time");
                } else if (claim.resendsLeft > 0) {
                    resend(nowMs, claim);
                } else {
                    renew(nowMs, claim);
                }
            }
        }
    }

    private void waitFor(double nowMs, Claim claim, double ms) {
        claim.stage = Stage.WAITING;
        claim.dueAt = nowMs + ms + random.nextDouble() * leaseShare(JITTER_SHARE);
    }

    private void poll(double nowMs, Claim claim) {
        int rank = host.rank(claim.lease);
        if (rank < 0 || rank >= MAX_CONTENDERS) {
            waitFor(nowMs, claim, leaseShare(POLL_SHARE));
            return;
        }
        enterStage(nowMs, claim, Stage.ASKING);
        config.voters().forEach(v -> host.ask(v, config.fingerprint(), claim.lease));
    }

    /** Sends the open request again; a voter that has already handled it replies again. */
    private void resend(double nowMs, Claim claim) {
        claim.resendsLeft--;
        scheduleResend(nowMs, claim);
        for (MemberName voter : config.voters()) {
            if (!claim.replied.contains(voter) && !claim.approvedBy.contains(voter)) {
                switch (claim.stage) {
                    case ASKING -> host.ask(voter, config.fingerprint(), claim.lease);
                    case PREPARING -> host.prepare(voter, config.fingerprint(), claim.lease, claim.ballot);
                    default -> host.propose(voter, config.fingerprint(), claim.lease, claim.ballot, claim.proposalNumber);
                }
            }
        }
    }

    /** Sets the time of the next resend, or of the timeout of the open request. */
    private void scheduleResend(double nowMs, Claim claim) {
        double resendAt = nowMs + leaseShare(TIMEOUT_SHARE) / (1 + RESENDS);
        claim.dueAt = claim.stage == Stage.HOLDING ? Math.min(resendAt, claim.heldUntil - leaseShare(STOP_SHARE)) : resendAt;
    }

    private void enterStage(double nowMs, Claim claim, Stage stage) {
        claim.stage = stage;
        claim.approvedBy.clear();
        claim.replied.clear();
        claim.heldByOtherUntil = Double.NEGATIVE_INFINITY;
        claim.resendsLeft = RESENDS;
        scheduleResend(nowMs, claim);
    }

    private static void raiseHighestSeen(Claim claim, Token seen) {
        if (claim.highestSeen.isBelow(seen)) {
            claim.highestSeen = seen;
        }
    }

    /** A voter's reply to a poll: the current holder, if there is one. */
    public void status(double nowMs, MemberName voter, LeaseName lease, Token highest, Token held, double remainingMs) {
        Claim claim = claimFor(voter, lease, highest);
        if (claim == null || claim.stage != Stage.ASKING || !claim.replied.add(voter)) {
            return;
        }
        if (held.equals(Token.NONE)) {
            claim.approvedBy.add(voter);
        } else {
            claim.heldByOtherUntil = Math.max(claim.heldByOtherUntil, nowMs + remainingMs);
        }
        if (claim.approvedBy.size() >= config.majority()) {
            claim.failures = 0;
            claim.freeSince = Double.isNaN(claim.freeSince) ? nowMs : claim.freeSince;
            double turnAt = claim.freeSince + Math.max(0, host.rank(lease)) * leaseShare(RANK_DELAY_SHARE);
            if (nowMs >= turnAt) {
                prepare(nowMs, claim);
            } else { // members of lower rank try first
                waitFor(nowMs, claim, turnAt - nowMs);
            }
        } else if (claim.replied.size() - claim.approvedBy.size() >= config.majority()
                || claim.replied.size() == config.voters().size()) {
            claim.failures = 0;
            claim.freeSince = Double.NaN;
            waitFor(nowMs, claim, Math.min(leaseShare(POLL_SHARE), Math.max(0, claim.heldByOtherUntil - nowMs)));
        }
        scheduleWakeUp();
    }

    /** The claim that a reply belongs to, or null; takes note of the highest ballot. */
    private Claim claimFor(MemberName voter, LeaseName lease, Token highest) {
        Claim claim = claims.get(lease);
        if (claim == null || !config.voters().contains(voter)) {
            return null;
        }
        raiseHighestSeen(claim, highest);
        return claim;
    }

    private void prepare(double nowMs, Claim claim) {
        if (Math.max(lastRound, claim.highestSeen.round()) >= Token.MAX_ROUND) {
            waitFor(nowMs, claim, leaseShare(1));
            return;
        }
        enterStage(nowMs, claim, Stage.PREPARING);
        lastRound = Math.max(lastRound, claim.highestSeen.round()) + 1; // a round is never reused, even if voters have lost their state
        claim.ballot = new Token(lastRound, nonce);
        raiseHighestSeen(claim, claim.ballot);
        // Counted from here, not from the proposal: a voter that loses its promise abstains until replies to this ballot no longer count.
        claim.startedAt = nowMs;
        config.voters().forEach(v -> host.prepare(v, config.fingerprint(), claim.lease, claim.ballot));
    }

    /** A voter promised the ballot; {@code held} is a token that is still valid there, or {@link Token#NONE}. */
    public void promised(double nowMs, MemberName voter, LeaseName lease, Token ballot, Token held, double remainingMs) {
        Claim claim = claimFor(voter, lease, held);
        if (claim == null || claim.stage != Stage.PREPARING || !ballot.equals(claim.ballot) || !claim.replied.add(voter)) {
            return;
        }
        if (held.equals(Token.NONE) || held.nonce() == nonce) {
            claim.approvedBy.add(voter);
        } else {
            claim.heldByOtherUntil = Math.max(claim.heldByOtherUntil, nowMs + remainingMs);
        }
        if (claim.approvedBy.size() >= config.majority()) {
            claim.stage = Stage.PROPOSING;
            claim.approvedBy.clear();
            claim.replied.clear();
            claim.resendsLeft = RESENDS;
            scheduleResend(nowMs, claim);
            config.voters().forEach(v -> host.propose(v, config.fingerprint(), lease, claim.ballot, claim.proposalNumber));
        } else if (claim.replied.size() == config.voters().size()) {
            claim.freeSince = Double.NaN;
            waitFor(nowMs, claim, Math.min(leaseShare(POLL_SHARE), Math.max(0, claim.heldByOtherUntil - nowMs)));
        }
        scheduleWakeUp();
    }

    /** A voter accepted the proposal. */
    public void accepted(double nowMs, MemberName voter, LeaseName lease, Token ballot, long proposalNumber) {
        Claim claim = claimFor(voter, lease, ballot);
        boolean isExpected = claim != null && ballot.equals(claim.ballot) && proposalNumber == claim.proposalNumber && (claim.stage == Stage.PROPOSING || claim.stage == Stage.HOLDING);
        if (!isExpected || !claim.approvedBy.add(voter) || claim.approvedBy.size() != config.majority() || nowMs >= claim.startedAt + config.holderLeaseMs()) {
            return;
        }
        claim.heldUntil = Math.max(claim.heldUntil, claim.startedAt + config.holderLeaseMs());
        claim.failures = 0;
        claim.resendsLeft = 0;
        claim.freeSince = Double.NaN;
        claim.dueAt = Math.min(nowMs + config.holderLeaseMs() * RENEW_SHARE, claim.heldUntil - leaseShare(STOP_SHARE));
        claim.stage = Stage.HOLDING;
        host.granted(lease, ballot, claim.heldUntil);
        scheduleWakeUp();
    }

    private void renew(double nowMs, Claim claim) {
        claim.approvedBy.clear();
        claim.replied.clear();
        claim.startedAt = nowMs;
        claim.resendsLeft = RESENDS;
        scheduleResend(nowMs, claim);
        claim.proposalNumber++;
        config.voters().forEach(v -> host.propose(v, config.fingerprint(), claim.lease, claim.ballot, claim.proposalNumber));
    }

    /** A voter refused the ballot; {@code highest} is what it has promised. */
    public void refused(double nowMs, MemberName voter, LeaseName lease, Token ballot, Refusal reason, Token highest) {
        Claim claim = claimFor(voter, lease, highest);
        if (claim == null) {
            return;
        }
        if (reason == Refusal.OTHER_SET || reason == Refusal.NO_VOTER) {
            host.log("lease " + lease + ": " + voter + " is of another set of voters: " + reason);
        }
        boolean isCurrent = ballot.equals(claim.ballot) && (claim.stage == Stage.PREPARING || claim.stage == Stage.PROPOSING);
        if (isCurrent && reason == Refusal.LOWER) {
            claim.failures++;
            waitFor(nowMs, claim, random.nextDouble() * leaseShare(RANK_DELAY_SHARE) * Math.min(8, claim.failures));
            scheduleWakeUp();
        }
    }

    private void lose(double nowMs, Claim claim, String reason) {
        claim.heldUntil = Double.NEGATIVE_INFINITY;
        host.lost(claim.lease, claim.ballot, reason);
        waitFor(nowMs, claim, leaseShare(POLL_SHARE));
    }

    /** Everything but the random generator that determines future behaviour, with times relative to now. Lets a model checker compare states. */
    public String state(double nowMs) {
        StringBuilder text = new StringBuilder().append(lastRound);
        claims.values().forEach(c -> text.append(c.lease).append(c.stage).append(c.ballot).append(c.proposalNumber).append(c.approvedBy).append(c.replied).append(c.highestSeen)
                .append(Math.round(c.dueAt - nowMs)).append(' ').append(Math.round(c.startedAt - nowMs)).append(' ')
                .append(Math.round(Math.max(-1, c.heldUntil - nowMs))).append(' ').append(Math.round(c.freeSince - nowMs)).append(c.failures).append(c.resendsLeft));
        return text.toString();
    }
}
