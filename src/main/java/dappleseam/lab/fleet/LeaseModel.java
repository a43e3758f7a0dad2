package dappleseam.lab.fleet;

import dappleseam.fleet.lease.VoterMessages;
import dappleseam.fleet.lease.Candidate;
import dappleseam.fleet.lease.CandidateHost;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.LeaseConfig;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.Voter;
import dappleseam.fleet.lease.VoterStorage;
import dappleseam.fleet.membership.MemberName;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A model of three voters, some candidates for one lease, and a resource, for model checking: the caller chooses each next event. The clocks drift
 * apart by as much as is allowed. If the set of voters changes, a fourth voter replaces the third one. The lease modules are the shipped ones. Times
 * are in ms.
 */
public final class LeaseModel {
    /** Deliberate faults, each of which the model checker has to find. */
    public enum PlantedLeaseFault {
        NONE,
        /** Holders calculate as if all clocks ran at the same rate. */
        NO_MARGIN,
        /** Voters that start without stored state reply at once. */
        FORGETFUL,
        /** The disk acknowledges writes before they are durable; the wall clock does not advance, so that round numbers depend on the disk alone. */
        LATE_FORCE,
        /** The resource accepts any token. */
        NO_FENCE,
        /** A voter's state file counts as cleanly closed although it was not. */
        EVER_CLOSED,
        /** The task acts on a check that it made a while ago. */
        EARLY_CHECK,
        /** One voter's reply counts as the replies of two. */
        MINORITY,
        /** Clocks drift beyond their bound: only the fencing at the resource still protects it. */
        OVER_BOUND,
        /** A new voter starts before the remaining voters have the new set. */
        WRONG_ORDER,
        /** Voters that restart with a shorter lease time abstain for that one. */
        UNSTATED_LEASE_TIME
    }

    /** The possible events. */
    public enum Kind { ROUND, DELIVER, LOSE, REPEAT, TIME, LONG, RESTART_VOTER, CLOSE_VOTER, RESTORE_VOTER, RESTART_CANDIDATE, CUT, GIVE, CHECK, ACT, MOVE_VOTER, MOVE_CANDIDATE }

    /** {@code which}: a message's index or a node's number; for a ROUND, sixteen times the candidate's number plus a bit for each voter. */
    public record Move(Kind kind, int which) {}

    private static final int VOTERS = 3;
    /** Including the new voter. */
    private static final int MAX_VOTERS = 4;
    private static final int NEW_VOTER = 3;
    private static final double LEASE_MS = 1000;
    /** Lease times of a changed configuration. */
    private static final double SHORTER_LEASE_MS = LEASE_MS / 4;
    private static final double LONGER_LEASE_MS = LEASE_MS * 1.25;
    /** Large, so that its effect shows within a few steps. */
    private static final double DRIFT = 0.2;
    private static final double STEP_MS = LEASE_MS / 16;
    private static final double LONG_MS = LEASE_MS * 0.4;
    /** The age up to which EARLY_CHECK acts on a check. */
    private static final double STALE_CHECK_MS = LEASE_MS;
    private static final int MAX_IN_FLIGHT = 60;
    private static final int MAX_COPIES = 12;
    private static final LeaseName LEASE = new LeaseName("task");

    private final PlantedLeaseFault planted;
    private final boolean disks;
    private final boolean changing;
    private final LeaseConfig oldConfig;
    private final LeaseConfig newConfig;
    private final List<VoterNode> voters = new ArrayList<>();
    private final List<CandidateNode> candidates = new ArrayList<>();
    private final List<InFlightMessage> inFlight = new ArrayList<>();
    private double now = 1_000_000;
    private long nonces;
    private Token lastGranted = Token.NONE;
    private Token resourceToken = Token.NONE;
    private int acquisitions;
    private int overlaps;
    private String violation;

    /** A message in flight: its receiver, and what it does there. */
    private record InFlightMessage(boolean toVoter, int to, int candidate, int voter, String text, Consumer<Object> delivery) {}

    private static MemberName voterName(int number) {
        return new MemberName("v" + number);
    }

    private static MemberName candidateName(int number) {
        return new MemberName("c" + number);
    }

    /** A deterministic random source whose state is the number of values drawn. */
    private static final class CountingRandom implements RandomGenerator {
        private long count;

        CountingRandom(long from) {
            count = from;
        }

        @Override
        public long nextLong() {
            count++;
            long mixed = count * 0x9E3779B97F4A7C15L;
            return mixed ^ (mixed >>> 29);
        }
    }

    /** A process whose clock runs at {@code rate} times true time. */
    private abstract static class DriftingClock {
        final double rate;

        DriftingClock(double rate) {
            this.rate = rate;
        }

        double clock(double trueMs) {
            return trueMs * rate;
        }
    }

    private final class VoterNode extends DriftingClock implements VoterStorage {
        final int number;
        Voter voter;
        LeaseConfig config = oldConfig;
        VoterState onDisk;
        /** Backup copies of the disk: the first state written and the most recent ones. */
        final List<VoterState> copies = new ArrayList<>();

        VoterNode(int number, double rate) {
            super(rate);
            this.number = number;
        }

        void start() {
            boolean isForgetful = planted == PlantedLeaseFault.FORGETFUL;
            if (planted == PlantedLeaseFault.LATE_FORCE) {
                onDisk = copies.isEmpty() ? null : copies.get(Math.max(0, copies.size() - 4)); // the last writes had not reached the disk
            }
            voter = new Voter(voterName(number), ++nonces, config, new VoterSender(number), disks ? this : null, clock(now) - (isForgetful ? 2 * LEASE_MS : 0),
                    planted == PlantedLeaseFault.LATE_FORCE ? 0 : (long) now);
        }

        @Override
        public VoterState read() throws IOException {
            if (onDisk == null) {
                throw new IOException("no voter state on disk");
            }
            return planted == PlantedLeaseFault.EVER_CLOSED ? new VoterState(onDisk.voter(), onDisk.configFingerprint(), onDisk.startNumber(), true, onDisk.bindingLeaseMs(), onDisk.votes()) : onDisk;
        }

        @Override
        public void write(VoterState newState) {
            onDisk = newState;
            copies.add(newState);
            if (copies.size() > MAX_COPIES) {
                copies.remove(1);
            }
        }
    }

    private final class CandidateNode extends DriftingClock implements CandidateHost {
        final int number;
        Candidate candidate;
        LeaseConfig config = oldConfig;
        double wakeAt;
        Token heldToken;
        Token checkedToken;
        double checkedAtMs;
        /** Whether all messages to and from it are lost. */
        boolean isIsolated;

        CandidateNode(int number, double rate) {
            super(rate);
            this.number = number;
        }

        void start() {
            wakeAt = Double.POSITIVE_INFINITY;
            heldToken = null;
            LeaseConfig ownConfig = planted == PlantedLeaseFault.NO_MARGIN ? new LeaseConfig(config.voters(), config.number(), config.leaseMs(), 0) : config;
            candidate = new Candidate(++nonces, ownConfig, this, new CountingRandom(nonces * 1000));
            candidate.acquire(clock(now), LEASE);
        }

        /** The configuration fingerprint to send: a candidate without a margin pretends to have one, as the voters would refuse it otherwise. */
        private int sentFingerprint(int configFingerprint) {
            return planted == PlantedLeaseFault.NO_MARGIN ? config.fingerprint() : configFingerprint;
        }

        private void send(MemberName to, String text, BiConsumer<VoterNode, MemberName> action) {
            int voter = to.text().charAt(1) - '0';
            inFlight.add(new InFlightMessage(true, voter, number, voter, number + ">" + voter + text + config.number(), node -> action.accept((VoterNode) node, candidateName(number))));
        }

        @Override
        public void prepare(MemberName peer, int configFingerprint, LeaseName lease, Token ballot) {
            int sentFingerprint = sentFingerprint(configFingerprint);
            send(peer, "prepare" + ballot, (v, from) -> v.voter.prepare(v.clock(now), from, sentFingerprint, lease, ballot));
        }

        @Override
        public void ask(MemberName peer, int configFingerprint, LeaseName lease) {
            int sentFingerprint = sentFingerprint(configFingerprint);
            send(peer, "ask", (v, from) -> v.voter.ask(v.clock(now), from, sentFingerprint, lease));
        }

        @Override
        public void propose(MemberName peer, int configFingerprint, LeaseName lease, Token ballot, long proposalNumber) {
            int sentFingerprint = sentFingerprint(configFingerprint);
            send(peer, "propose" + ballot + proposalNumber, (v, from) -> v.voter.propose(v.clock(now), from, sentFingerprint, lease, ballot, proposalNumber));
        }

        @Override
        public void release(MemberName peer, int configFingerprint, LeaseName lease, Token ballot) {
            int sentFingerprint = sentFingerprint(configFingerprint);
            send(peer, "release" + ballot, (v, from) -> v.voter.release(v.clock(now), from, sentFingerprint, lease, ballot));
        }

        @Override
        public void wakeAt(double ms) {
            wakeAt = ms;
        }

        @Override
        public void granted(LeaseName lease, Token token, double untilMs) {
            if (token.equals(heldToken)) {
                return; // renewed
            }
            heldToken = token;
            acquisitions++;
            if (!lastGranted.isBelow(token)) {
                recordViolation("a token did not increase: " + lastGranted + " then " + token);
            }
            lastGranted = token;
        }

        @Override
        public void lost(LeaseName lease, Token token, String reason) {
            heldToken = null;
        }

        @Override
        public int rank(LeaseName lease) {
            return number;
        }

        @Override
        public void log(String text) {
            // log lines are not needed here
        }
    }

    /** Sends the messages of one voter. */
    private final class VoterSender implements VoterMessages {
        final int number;

        VoterSender(int number) {
            this.number = number;
        }

        private void send(MemberName to, String text, BiConsumer<CandidateNode, MemberName> action) {
            int candidate = to.text().charAt(1) - '0';
            inFlight.add(new InFlightMessage(false, candidate, candidate, number, "v" + number + ">" + candidate + text, node -> {
                action.accept((CandidateNode) node, voterName(number));
                if (planted == PlantedLeaseFault.MINORITY) {
                    action.accept((CandidateNode) node, voterName((number + 1) % VOTERS));
                }
            }));
        }

        private void sendToVoter(MemberName to, String text, BiConsumer<VoterNode, MemberName> action) {
            int voter = to.text().charAt(1) - '0';
            inFlight.add(new InFlightMessage(true, voter, -1, voter, "v" + number + ">v" + voter + text, node -> action.accept((VoterNode) node, voterName(number))));
        }

        @Override
        public void promised(MemberName peer, LeaseName lease, Token ballot, Token held, MemberName holder, double remainingMs) {
            send(peer, "promised" + ballot + held + Math.round(remainingMs), (c, from) -> c.candidate.promised(c.clock(now), from, lease, ballot, held, remainingMs));
        }

        @Override
        public void status(MemberName peer, LeaseName lease, Token highest, Token held, MemberName holder, double remainingMs) {
            send(peer, "told" + highest + held + Math.round(remainingMs), (c, from) -> c.candidate.status(c.clock(now), from, lease, highest, held, remainingMs));
        }

        @Override
        public void accepted(MemberName peer, LeaseName lease, Token ballot, long proposalNumber) {
            send(peer, "accepted" + ballot + proposalNumber, (c, from) -> c.candidate.accepted(c.clock(now), from, lease, ballot, proposalNumber));
        }

        @Override
        public void refused(MemberName peer, LeaseName lease, Token ballot, Refusal reason, Token highest) {
            send(peer, "refused" + ballot + reason + highest, (c, from) -> c.candidate.refused(c.clock(now), from, lease, ballot, reason, highest));
        }

        @Override
        public void registerStart(MemberName peer, int configFingerprint, long startNumber, long nonce) {
            sendToVoter(peer, "recall" + startNumber + nonce, (v, from) -> v.voter.registerStart(from, configFingerprint, startNumber, nonce));
        }

        @Override
        public void startRegistered(MemberName peer, long startNumber, long nonce, long previousStart) {
            sendToVoter(peer, "recalled" + startNumber + nonce + previousStart, (v, from) -> v.voter.startRegistered(from, startNumber, nonce, previousStart));
        }
    }

    /** {@code fastClocks}: a bit for each voter, then for each candidate, that has the fast clock; the others have the slow one. */
    public LeaseModel(int candidates, boolean disks, boolean changing, int fastClocks, PlantedLeaseFault planted) {
        this.planted = planted;
        this.disks = disks;
        this.changing = changing;
        oldConfig = new LeaseConfig(List.of(voterName(0), voterName(1), voterName(2)), 1, LEASE_MS, DRIFT);
        double newLeaseMs = !changing ? LEASE_MS : (fastClocks & 1) == 0 ? SHORTER_LEASE_MS : LONGER_LEASE_MS;
        newConfig = new LeaseConfig(List.of(voterName(0), voterName(1), voterName(NEW_VOTER)), 2, newLeaseMs, DRIFT,
                planted == PlantedLeaseFault.UNSTATED_LEASE_TIME ? newLeaseMs : LEASE_MS);
        double drift = planted == PlantedLeaseFault.OVER_BOUND ? 2 * DRIFT : DRIFT;
        for (int i = 0; i < VOTERS; i++) {
            voters.add(new VoterNode(i, (fastClocks >> i & 1) == 1 ? 1 + drift : 1 - drift));
        }
        for (int i = 0; i < candidates; i++) {
            this.candidates.add(new CandidateNode(i, (fastClocks >> VOTERS + i & 1) == 1 ? 1 + drift : 1 - drift));
        }
        voters.forEach(VoterNode::start);
        if (changing) {
            voters.add(new VoterNode(NEW_VOTER, (fastClocks & 1) == 1 ? 1 - drift : 1 + drift));
        }
        now += 2 * LEASE_MS; // the voters' initial silence is over
        deliverAll();
        wakeVoters();
        deliverAll();
        this.candidates.forEach(CandidateNode::start);
    }

    private void wakeVoters() {
        voters.stream().filter(v -> v.voter != null).forEach(v -> v.voter.woken());
    }

    /** The first violation found, or null. */
    public String violation() {
        return violation;
    }

    /** How often two candidates held the lease at once because clocks were beyond their bound. */
    public int overlaps() {
        return overlaps;
    }

    /** How often the lease was acquired. */
    public int acquisitions() {
        return acquisitions;
    }

    private void recordViolation(String what) {
        violation = violation == null ? what : violation;
    }

    /** The number of messages in flight. */
    public int inFlight() {
        return inFlight.size();
    }

    public int candidates() {
        return candidates.size();
    }

    private void deliver(InFlightMessage message) {
        if (message.candidate >= 0 && candidates.get(message.candidate).isIsolated) {
            return;
        }
        if (message.toVoter && (message.to >= voters.size() || voters.get(message.to).voter == null)) {
            return; // not started
        }
        message.delivery.accept(message.toVoter ? voters.get(message.to) : candidates.get(message.to));
    }

    private void deliverAll() {
        for (int i = 0; i < 10_000 && !inFlight.isEmpty(); i++) {
            deliver(inFlight.remove(0));
        }
    }

    private void advance(double ms) {
        now += ms;
        for (CandidateNode node : candidates) {
            if (node.wakeAt <= node.clock(now)) {
                node.wakeAt = Double.POSITIVE_INFINITY;
                node.candidate.woken(node.clock(now));
            }
        }
        wakeVoters();
        while (inFlight.size() > MAX_IN_FLIGHT) {
            inFlight.remove(0);
        }
    }

    /** The moves that are possible now, including those with the oldest {@code maxMessages} messages in flight. */
    public List<Move> moves(int maxMessages) {
        List<Move> moves = new ArrayList<>();
        for (int i = 0; i < Math.min(maxMessages, inFlight.size()); i++) {
            moves.add(new Move(Kind.DELIVER, i));
            moves.add(new Move(Kind.LOSE, i));
            moves.add(new Move(Kind.REPEAT, i));
        }
        moves.add(new Move(Kind.TIME, 0));
        moves.add(new Move(Kind.LONG, 0));
        for (int i = 0; i < voters.size(); i++) {
            if (mayChangeConfig(i)) {
                moves.add(new Move(Kind.MOVE_VOTER, i));
            }
            if (voters.get(i).voter == null) {
                continue;
            }
            moves.add(new Move(Kind.RESTART_VOTER, i));
            if (disks) {
                moves.add(new Move(Kind.CLOSE_VOTER, i));
                if (planted != PlantedLeaseFault.LATE_FORCE) {
                    moves.add(new Move(Kind.RESTORE_VOTER, i));
                }
            }
        }
        for (int i = 0; i < candidates.size(); i++) {
            moves.add(new Move(Kind.RESTART_CANDIDATE, i));
            if (changing) {
                moves.add(new Move(Kind.MOVE_CANDIDATE, i));
            }
            moves.add(new Move(Kind.CUT, i));
            moves.add(new Move(Kind.GIVE, i));
            moves.add(new Move(Kind.CHECK, i));
            moves.add(new Move(Kind.ACT, i));
        }
        return moves;
    }

    /** The procedure of docs/fleet.md: the remaining voters get the new set before the new voter starts, and may go back to the old one until then. */
    private boolean mayChangeConfig(int voter) {
        boolean newStarted = changing && voters.get(NEW_VOTER).voter != null;
        boolean othersChanged = voters.get(0).config == newConfig && voters.get(1).config == newConfig;
        return changing && (voter == NEW_VOTER ? !newStarted && (othersChanged || planted == PlantedLeaseFault.WRONG_ORDER)
                : voter != 2 && (!newStarted || planted == PlantedLeaseFault.WRONG_ORDER && voters.get(voter).config == oldConfig));
    }

    /** Restarts the voter with the other set of voters. */
    private void changeConfig(VoterNode node) {
        node.config = node.number == NEW_VOTER || node.config == oldConfig ? newConfig : oldConfig;
        node.start();
    }

    /** The possible coarse moves: a ROUND delivers all messages between a candidate and some of the voters until none is left. */
    public List<Move> coarseMoves() {
        List<Move> moves = new ArrayList<>(moves(0));
        moves.removeIf(m -> m.kind() == Kind.CHECK || m.kind() == Kind.ACT || m.kind() == Kind.CUT);
        for (int i = 0; i < candidates.size(); i++) {
            for (int mask = 1; mask < (1 << voters.size()) - 1; mask++) {
                moves.add(new Move(Kind.ROUND, i << MAX_VOTERS | mask));
            }
        }
        return moves;
    }

    private void playRound(int candidate, int mask) {
        for (int i = 0; i < inFlight.size();) {
            InFlightMessage message = inFlight.get(i);
            boolean isIncluded = message.candidate == candidate && (mask >> message.voter & 1) == 1;
            if (isIncluded) {
                deliver(inFlight.remove(i));
                i = 0;
            } else {
                i++;
            }
        }
    }

    /** Applies a move and checks the invariants. */
    public void play(Move move) {
        int which = move.which();
        switch (move.kind()) {
            case ROUND -> playRound(which >> MAX_VOTERS, which & (1 << MAX_VOTERS) - 1);
            case DELIVER -> {
                if (which < inFlight.size()) {
                    deliver(inFlight.remove(which));
                }
            }
            case LOSE -> {
                if (which < inFlight.size()) {
                    inFlight.remove(which);
                }
            }
            case REPEAT -> {
                if (which < inFlight.size()) {
                    deliver(inFlight.get(which));
                }
            }
            case TIME -> advance(STEP_MS);
            case LONG -> advance(LONG_MS);
            case RESTART_VOTER -> voters.get(which).start();
            case CLOSE_VOTER -> {
                try {
                    voters.get(which).voter.close(voters.get(which).clock(now));
                } catch (IOException e) {
                    throw new IllegalStateException("memory cannot be written to", e);
                }
                voters.get(which).start();
            }
            case RESTORE_VOTER -> {
                VoterNode node = voters.get(which);
                node.onDisk = node.copies.get((int) (nonces * 7 % node.copies.size()));
                node.start();
            }
            case MOVE_VOTER -> {
                if (mayChangeConfig(which)) {
                    changeConfig(voters.get(which));
                }
            }
            case MOVE_CANDIDATE -> {
                candidates.get(which).config = candidates.get(which).config == oldConfig ? newConfig : oldConfig;
                candidates.get(which).start();
            }
            case RESTART_CANDIDATE -> candidates.get(which).start();
            case CUT -> candidates.get(which).isIsolated = !candidates.get(which).isIsolated;
            case GIVE -> {
                CandidateNode node = candidates.get(which);
                node.candidate.release(node.clock(now), LEASE);
                node.candidate.acquire(node.clock(now), LEASE);
            }
            case CHECK -> {
                CandidateNode node = candidates.get(which);
                node.checkedToken = node.candidate.validToken(node.clock(now), LEASE, 0);
                node.checkedAtMs = now;
            }
            case ACT -> act(candidates.get(which));
        }
        check();
    }

    /** Acts on the resource with the token of the last check, which a stall in between may have made outdated: then the resource has to fence it off. */
    private void act(CandidateNode node) {
        if (node.checkedToken == null) {
            return;
        }
        if (planted != PlantedLeaseFault.NO_FENCE && node.checkedToken.isBelow(resourceToken)) {
            node.candidate.fenced(node.clock(now), LEASE, resourceToken);
        } else {
            if (node.checkedToken.isBelow(resourceToken)) {
                recordViolation("the resource accepted " + node.checkedToken + " after " + resourceToken);
            }
            resourceToken = node.checkedToken;
        }
        node.checkedToken = null;
    }

    private void check() {
        int acting = 0;
        for (CandidateNode node : candidates) {
            boolean isHolder = node.candidate.validToken(node.clock(now), LEASE, 0) != null;
            boolean actsOnStaleCheck = planted == PlantedLeaseFault.EARLY_CHECK && node.checkedToken != null && now < node.checkedAtMs + STALE_CHECK_MS;
            acting += isHolder || actsOnStaleCheck ? 1 : 0;
        }
        if (acting > 1 && planted == PlantedLeaseFault.OVER_BOUND) {
            overlaps++;
        } else if (acting > 1) {
            recordViolation("two candidates act at once");
        }
    }

    /** Runs without faults, with all voters available and on the new set: a candidate has to hold the lease again at the end of that time, and never two at once. */
    public void settle(double ms) {
        candidates.forEach(c -> c.isIsolated = false);
        for (int i : changing ? new int[] {0, 1, NEW_VOTER} : new int[0]) {
            if (voters.get(i).config == oldConfig || voters.get(i).voter == null) {
                changeConfig(voters.get(i));
            }
        }
        for (CandidateNode node : candidates) {
            if (changing && node.config == oldConfig) {
                node.config = newConfig;
                node.start();
            }
        }
        double until = now + ms;
        while (now < until && violation == null) {
            advance(STEP_MS);
            deliverAll();
            check();
        }
        if (planted != PlantedLeaseFault.OVER_BOUND && candidates.stream().noneMatch(c -> c.candidate.validToken(c.clock(now), LEASE, 0) != null)) {
            recordViolation("no candidate holds the lease after " + ms + " ms without faults");
        }
    }

    /** Time in ms within which the lease is held again, whatever happened before, if all voters are available. */
    public static double settleMs() {
        return 4 * LEASE_MS;
    }

    /** The complete state of the model as text, to recognize states that were visited before. */
    public String state() {
        StringBuilder text = new StringBuilder();
        voters.forEach(v -> text.append(v.config.number()).append(v.voter == null ? "" : v.voter.state(v.clock(now))).append('\n'));
        candidates.forEach(c -> text.append(c.config.number()).append(c.candidate.state(c.clock(now))).append(c.checkedToken).append(c.isIsolated).append(Math.round(c.wakeAt - c.clock(now))).append('\n'));
        inFlight.forEach(message -> text.append(message.text).append('\n'));
        return text.append(resourceToken).toString();
    }
}
