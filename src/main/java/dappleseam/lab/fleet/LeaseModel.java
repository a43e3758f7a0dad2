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
 * Three voters, some candidates for one lease and a resource, with clocks that run as far apart as they may: whoever plays it says what happens next.
 * Where the set of voters changes, a fourth takes the third one's place. The modules are the shipped ones. Times in ms.
 */
public final class LeaseModel {
    /** Faults built in on purpose, each of which has to be found. */
    public enum PlantedLeaseFault {
        NONE,
        /** Holders reckon as if all clocks ran at one rate. */
        NO_MARGIN,
        /** Voters answer at once after a start from nothing. */
        FORGETFUL,
        /** The disk says that it has written before it has; the wall clock stands, so that rounds rest on the disk alone. */
        LATE_FORCE,
        /** The resource takes any token. */
        NO_FENCE,
        /** A file counts as closed that was not. */
        EVER_CLOSED,
        /** The task acts by a check that it made a while ago. */
        EARLY_CHECK,
        /** One voter's answer counts for two. */
        MINORITY,
        /** Clocks over their bound: only the resource is left. */
        OVER_BOUND,
        /** A new voter starts before those that stay have the new set. */
        WRONG_ORDER
    }

    /** What may happen next. */
    public enum Kind { ROUND, DELIVER, LOSE, REPEAT, TIME, LONG, RESTART_VOTER, CLOSE_VOTER, RESTORE_VOTER, RESTART_CANDIDATE, CUT, GIVE, CHECK, ACT, MOVE_VOTER, MOVE_CANDIDATE }

    /** {@code which}: a message's place or a number; of a ROUND sixteen times the candidate's, and a bit for each voter. */
    public record Move(Kind kind, int which) {}

    private static final int VOTERS = 3;
    /** With the one that comes. */
    private static final int SEATS = 4;
    private static final int NEW = 3;
    private static final double LEASE_MS = 1000;
    /** Large, so that a few steps show it. */
    private static final double DRIFT = 0.2;
    private static final double STEP_MS = LEASE_MS / 16;
    private static final double LONG_MS = LEASE_MS * 0.4;
    /** A check that is so old is what EARLY_CHECK acts by. */
    private static final double OLD_CHECK_MS = LEASE_MS;
    private static final int MOST_UNDER_WAY = 60;
    private static final int MOST_COPIES = 12;
    private static final LeaseName LEASE = new LeaseName("task");

    private final PlantedLeaseFault planted;
    private final boolean disks;
    private final boolean changing;
    private final LeaseConfig before;
    private final LeaseConfig after;
    private final List<VoterSeat> voters = new ArrayList<>();
    private final List<CandidateSeat> candidates = new ArrayList<>();
    private final List<Letter> underWay = new ArrayList<>();
    private double now = 1_000_000;
    private long nonces;
    private Token lastTaken = Token.NONE;
    private Token atResource = Token.NONE;
    private int takes;
    private int overlaps;
    private String broken;

    /** A message under way: to whom, and what it does there. */
    private record Letter(boolean toVoter, int to, int candidate, int voter, String text, Consumer<Object> deliver) {}

    private static MemberName voterName(int number) {
        return new MemberName("v" + number);
    }

    private static MemberName candidateName(int number) {
        return new MemberName("c" + number);
    }

    /** A chance that can be told apart by how often it was asked. */
    private static final class Counter implements RandomGenerator {
        private long count;

        Counter(long from) {
            count = from;
        }

        @Override
        public long nextLong() {
            count++;
            long mixed = count * 0x9E3779B97F4A7C15L;
            return mixed ^ (mixed >>> 29);
        }
    }

    private abstract static class Clocked {
        final double rate;

        Clocked(double rate) {
            this.rate = rate;
        }

        double clock(double trueMs) {
            return trueMs * rate;
        }
    }

    private final class VoterSeat extends Clocked implements VoterStorage {
        final int number;
        Voter voter;
        LeaseConfig terms = before;
        VoterState onDisk;
        /** Copies that somebody made: of the last writings, some of each age. */
        final List<VoterState> copies = new ArrayList<>();

        VoterSeat(int number, double rate) {
            super(rate);
            this.number = number;
        }

        void start() {
            boolean forgets = planted == PlantedLeaseFault.FORGETFUL;
            if (planted == PlantedLeaseFault.LATE_FORCE) {
                onDisk = copies.isEmpty() ? null : copies.get(Math.max(0, copies.size() - 4)); // the last writings had not come there
            }
            voter = new Voter(voterName(number), ++nonces, terms, new FromVoter(number), disks ? this : null, clock(now) - (forgets ? 2 * LEASE_MS : 0),
                    planted == PlantedLeaseFault.LATE_FORCE ? 0 : (long) now);
        }

        @Override
        public VoterState read() throws IOException {
            if (onDisk == null) {
                throw new IOException("nothing there");
            }
            return planted == PlantedLeaseFault.EVER_CLOSED ? new VoterState(onDisk.voter(), onDisk.configFingerprint(), onDisk.startNumber(), true, onDisk.votes()) : onDisk;
        }

        @Override
        public void write(VoterState kept) {
            onDisk = kept;
            copies.add(kept);
            if (copies.size() > MOST_COPIES) {
                copies.remove(1);
            }
        }
    }

    private final class CandidateSeat extends Clocked implements CandidateHost {
        final int number;
        Candidate candidate;
        LeaseConfig terms = before;
        double wakeAt;
        Token holds;
        Token checked;
        double checkedAt;
        /** Nothing goes to it or from it. */
        boolean isCut;

        CandidateSeat(int number, double rate) {
            super(rate);
            this.number = number;
        }

        void start() {
            wakeAt = Double.POSITIVE_INFINITY;
            holds = null;
            LeaseConfig own = planted == PlantedLeaseFault.NO_MARGIN ? new LeaseConfig(terms.voters(), terms.number(), terms.leaseMs(), 0) : terms;
            candidate = new Candidate(++nonces, own, this, new Counter(nonces * 1000));
            candidate.acquire(clock(now), LEASE);
        }

        /** One without a margin says that it has one, or the voters would refuse it. */
        private int told(int set) {
            return planted == PlantedLeaseFault.NO_MARGIN ? terms.fingerprint() : set;
        }

        private void send(MemberName to, String text, BiConsumer<VoterSeat, MemberName> what) {
            int voter = to.text().charAt(1) - '0';
            underWay.add(new Letter(true, voter, number, voter, number + ">" + voter + text + terms.number(), seat -> what.accept((VoterSeat) seat, candidateName(number))));
        }

        @Override
        public void prepare(MemberName peer, int set, LeaseName lease, Token ballot) {
            int told = told(set);
            send(peer, "prepare" + ballot, (v, from) -> v.voter.prepare(v.clock(now), from, told, lease, ballot));
        }

        @Override
        public void ask(MemberName peer, int set, LeaseName lease) {
            int told = told(set);
            send(peer, "ask", (v, from) -> v.voter.ask(v.clock(now), from, told, lease));
        }

        @Override
        public void propose(MemberName peer, int set, LeaseName lease, Token ballot, long turn) {
            int told = told(set);
            send(peer, "propose" + ballot + turn, (v, from) -> v.voter.propose(v.clock(now), from, told, lease, ballot, turn));
        }

        @Override
        public void release(MemberName peer, int set, LeaseName lease, Token ballot) {
            int told = told(set);
            send(peer, "release" + ballot, (v, from) -> v.voter.release(v.clock(now), from, told, lease, ballot));
        }

        @Override
        public void wakeAt(double ms) {
            wakeAt = ms;
        }

        @Override
        public void granted(LeaseName lease, Token token, double untilMs) {
            if (token.equals(holds)) {
                return; // renewed
            }
            holds = token;
            takes++;
            if (!lastTaken.isBelow(token)) {
                breaks("a token did not grow: " + lastTaken + " then " + token);
            }
            lastTaken = token;
        }

        @Override
        public void lost(LeaseName lease, Token token, String why) {
            holds = null;
        }

        @Override
        public int rank(LeaseName lease) {
            return number;
        }

        @Override
        public void log(String text) {
            // nobody reads it
        }
    }

    private final class FromVoter implements VoterMessages {
        final int number;

        FromVoter(int number) {
            this.number = number;
        }

        private void send(MemberName to, String text, BiConsumer<CandidateSeat, MemberName> what) {
            int candidate = to.text().charAt(1) - '0';
            underWay.add(new Letter(false, candidate, candidate, number, "v" + number + ">" + candidate + text, seat -> {
                what.accept((CandidateSeat) seat, voterName(number));
                if (planted == PlantedLeaseFault.MINORITY) {
                    what.accept((CandidateSeat) seat, voterName((number + 1) % VOTERS));
                }
            }));
        }

        private void sendVoter(MemberName to, String text, BiConsumer<VoterSeat, MemberName> what) {
            int voter = to.text().charAt(1) - '0';
            underWay.add(new Letter(true, voter, -1, voter, "v" + number + ">v" + voter + text, seat -> what.accept((VoterSeat) seat, voterName(number))));
        }

        @Override
        public void promised(MemberName peer, LeaseName lease, Token ballot, Token held, MemberName holder, double leftMs) {
            send(peer, "promised" + ballot + held + Math.round(leftMs), (c, from) -> c.candidate.promised(c.clock(now), from, lease, ballot, held, leftMs));
        }

        @Override
        public void status(MemberName peer, LeaseName lease, Token highest, Token held, MemberName holder, double leftMs) {
            send(peer, "told" + highest + held + Math.round(leftMs), (c, from) -> c.candidate.status(c.clock(now), from, lease, highest, held, leftMs));
        }

        @Override
        public void accepted(MemberName peer, LeaseName lease, Token ballot, long turn) {
            send(peer, "accepted" + ballot + turn, (c, from) -> c.candidate.accepted(c.clock(now), from, lease, ballot, turn));
        }

        @Override
        public void refused(MemberName peer, LeaseName lease, Token ballot, Refusal why, Token highest) {
            send(peer, "refused" + ballot + why + highest, (c, from) -> c.candidate.refused(c.clock(now), from, lease, ballot, why, highest));
        }

        @Override
        public void registerStart(MemberName peer, int set, long start, long nonce) {
            sendVoter(peer, "recall" + start + nonce, (v, from) -> v.voter.registerStart(from, set, start, nonce));
        }

        @Override
        public void startRegistered(MemberName peer, long start, long nonce, long known) {
            sendVoter(peer, "recalled" + start + nonce + known, (v, from) -> v.voter.startRegistered(from, start, nonce, known));
        }
    }

    /** {@code fast}: which of voters and candidates have the fast clock, a bit each; the others have the slow one. */
    public LeaseModel(int candidates, boolean disks, boolean changing, int fast, PlantedLeaseFault planted) {
        this.planted = planted;
        this.disks = disks;
        this.changing = changing;
        before = new LeaseConfig(List.of(voterName(0), voterName(1), voterName(2)), 1, LEASE_MS, DRIFT);
        after = new LeaseConfig(List.of(voterName(0), voterName(1), voterName(NEW)), 2, LEASE_MS, DRIFT);
        double apart = planted == PlantedLeaseFault.OVER_BOUND ? 2 * DRIFT : DRIFT;
        for (int i = 0; i < VOTERS; i++) {
            voters.add(new VoterSeat(i, (fast >> i & 1) == 1 ? 1 + apart : 1 - apart));
        }
        for (int i = 0; i < candidates; i++) {
            this.candidates.add(new CandidateSeat(i, (fast >> VOTERS + i & 1) == 1 ? 1 + apart : 1 - apart));
        }
        voters.forEach(VoterSeat::start);
        if (changing) {
            voters.add(new VoterSeat(NEW, (fast & 1) == 1 ? 1 - apart : 1 + apart));
        }
        now += 2 * LEASE_MS; // they have been silent for long enough
        deliverAll();
        wakeVoters();
        deliverAll();
        this.candidates.forEach(CandidateSeat::start);
    }

    private void wakeVoters() {
        voters.stream().filter(v -> v.voter != null).forEach(v -> v.voter.woken());
    }

    /** What is broken, or null. */
    public String violation() {
        return broken;
    }

    /** How often two thought at once that they hold it, with clocks over their bound. */
    public int overlaps() {
        return overlaps;
    }

    /** How often the lease was taken. */
    public int acquisitions() {
        return takes;
    }

    private void breaks(String what) {
        broken = broken == null ? what : broken;
    }

    public int underWay() {
        return underWay.size();
    }

    public int candidates() {
        return candidates.size();
    }

    private void deliver(Letter letter) {
        if (letter.candidate >= 0 && candidates.get(letter.candidate).isCut) {
            return;
        }
        if (letter.toVoter && (letter.to >= voters.size() || voters.get(letter.to).voter == null)) {
            return; // not started
        }
        letter.deliver.accept(letter.toVoter ? voters.get(letter.to) : candidates.get(letter.to));
    }

    private void deliverAll() {
        for (int i = 0; i < 10_000 && !underWay.isEmpty(); i++) {
            deliver(underWay.remove(0));
        }
    }

    private void pass(double ms) {
        now += ms;
        for (CandidateSeat seat : candidates) {
            if (seat.wakeAt <= seat.clock(now)) {
                seat.wakeAt = Double.POSITIVE_INFINITY;
                seat.candidate.woken(seat.clock(now));
            }
        }
        wakeVoters();
        while (underWay.size() > MOST_UNDER_WAY) {
            underWay.remove(0);
        }
    }

    /** What may happen now, up to the {@code first} of those under way. */
    public List<Move> moves(int first) {
        List<Move> moves = new ArrayList<>();
        for (int i = 0; i < Math.min(first, underWay.size()); i++) {
            moves.add(new Move(Kind.DELIVER, i));
            moves.add(new Move(Kind.LOSE, i));
            moves.add(new Move(Kind.REPEAT, i));
        }
        moves.add(new Move(Kind.TIME, 0));
        moves.add(new Move(Kind.LONG, 0));
        for (int i = 0; i < voters.size(); i++) {
            if (mayMove(i)) {
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

    /** By docs/fleet.md: those that stay have the new set before the new one starts, and may go back as long as it has not. */
    private boolean mayMove(int voter) {
        boolean newStarted = changing && voters.get(NEW).voter != null;
        boolean stayersMoved = voters.get(0).terms == after && voters.get(1).terms == after;
        return changing && (voter == NEW ? !newStarted && (stayersMoved || planted == PlantedLeaseFault.WRONG_ORDER)
                : voter != 2 && (!newStarted || planted == PlantedLeaseFault.WRONG_ORDER && voters.get(voter).terms == before));
    }

    /** A start with the other set. */
    private void move(VoterSeat seat) {
        seat.terms = seat.number == NEW || seat.terms == before ? after : before;
        seat.start();
    }

    /** The same in large steps: all that passes between a candidate and some voters, to the end. */
    public List<Move> largeMoves() {
        List<Move> moves = new ArrayList<>(moves(0));
        moves.removeIf(m -> m.kind() == Kind.CHECK || m.kind() == Kind.ACT || m.kind() == Kind.CUT);
        for (int i = 0; i < candidates.size(); i++) {
            for (int mask = 1; mask < (1 << voters.size()) - 1; mask++) {
                moves.add(new Move(Kind.ROUND, i << SEATS | mask));
            }
        }
        return moves;
    }

    private void round(int candidate, int mask) {
        for (int i = 0; i < underWay.size();) {
            Letter letter = underWay.get(i);
            boolean concerns = letter.candidate == candidate && (mask >> letter.voter & 1) == 1;
            if (concerns) {
                deliver(underWay.remove(i));
                i = 0;
            } else {
                i++;
            }
        }
    }

    public void play(Move move) {
        int which = move.which();
        switch (move.kind()) {
            case ROUND -> round(which >> SEATS, which & (1 << SEATS) - 1);
            case DELIVER -> {
                if (which < underWay.size()) {
                    deliver(underWay.remove(which));
                }
            }
            case LOSE -> {
                if (which < underWay.size()) {
                    underWay.remove(which);
                }
            }
            case REPEAT -> {
                if (which < underWay.size()) {
                    deliver(underWay.get(which));
                }
            }
            case TIME -> pass(STEP_MS);
            case LONG -> pass(LONG_MS);
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
                VoterSeat seat = voters.get(which);
                seat.onDisk = seat.copies.get((int) (nonces * 7 % seat.copies.size()));
                seat.start();
            }
            case MOVE_VOTER -> {
                if (mayMove(which)) {
                    move(voters.get(which));
                }
            }
            case MOVE_CANDIDATE -> {
                candidates.get(which).terms = candidates.get(which).terms == before ? after : before;
                candidates.get(which).start();
            }
            case RESTART_CANDIDATE -> candidates.get(which).start();
            case CUT -> candidates.get(which).isCut = !candidates.get(which).isCut;
            case GIVE -> {
                CandidateSeat seat = candidates.get(which);
                seat.candidate.release(seat.clock(now), LEASE);
                seat.candidate.acquire(seat.clock(now), LEASE);
            }
            case CHECK -> {
                CandidateSeat seat = candidates.get(which);
                seat.checked = seat.candidate.validToken(seat.clock(now), LEASE, 0);
                seat.checkedAt = now;
            }
            case ACT -> act(candidates.get(which));
        }
        check();
    }

    /** What a stall between check and act leaves to the resource. */
    private void act(CandidateSeat seat) {
        if (seat.checked == null) {
            return;
        }
        if (planted != PlantedLeaseFault.NO_FENCE && seat.checked.isBelow(atResource)) {
            seat.candidate.fenced(seat.clock(now), LEASE, atResource);
        } else {
            if (seat.checked.isBelow(atResource)) {
                breaks("the resource took " + seat.checked + " after " + atResource);
            }
            atResource = seat.checked;
        }
        seat.checked = null;
    }

    private void check() {
        int acting = 0;
        for (CandidateSeat seat : candidates) {
            boolean holds = seat.candidate.validToken(seat.clock(now), LEASE, 0) != null;
            boolean thinks = planted == PlantedLeaseFault.EARLY_CHECK && seat.checked != null && now < seat.checkedAt + OLD_CHECK_MS;
            acting += holds || thinks ? 1 : 0;
        }
        if (acting > 1 && planted == PlantedLeaseFault.OVER_BOUND) {
            overlaps++;
        } else if (acting > 1) {
            breaks("two act at once");
        }
    }

    /** With all voters there and nothing lost, somebody holds it again in time, and stays the one. */
    public void settle(double ms) {
        candidates.forEach(c -> c.isCut = false);
        for (int i : changing ? new int[] {0, 1, NEW} : new int[0]) {
            if (voters.get(i).terms == before || voters.get(i).voter == null) {
                move(voters.get(i));
            }
        }
        for (CandidateSeat seat : candidates) {
            if (changing && seat.terms == before) {
                seat.terms = after;
                seat.start();
            }
        }
        double until = now + ms;
        while (now < until && broken == null) {
            pass(STEP_MS);
            deliverAll();
            check();
        }
        if (planted != PlantedLeaseFault.OVER_BOUND && candidates.stream().noneMatch(c -> c.candidate.validToken(c.clock(now), LEASE, 0) != null)) {
            breaks("nobody holds it after " + ms + " ms of quiet");
        }
    }

    /** Time in ms in which a lease is held again, whatever came before, with all voters there. */
    public static double settleMs() {
        return 4 * LEASE_MS;
    }

    public String state() {
        StringBuilder text = new StringBuilder();
        voters.forEach(v -> text.append(v.terms.number()).append(v.voter == null ? "" : v.voter.state(v.clock(now))).append('\n'));
        candidates.forEach(c -> text.append(c.terms.number()).append(c.candidate.state(c.clock(now))).append(c.checked).append(c.isCut).append(Math.round(c.wakeAt - c.clock(now))).append('\n'));
        underWay.forEach(letter -> text.append(letter.text).append('\n'));
        return text.append(atResource).toString();
    }
}
