package dappleseam.fleet.peers;

import dappleseam.fleet.lease.Answers;
import dappleseam.fleet.lease.Candidate;
import dappleseam.fleet.lease.FleetTask;
import dappleseam.fleet.lease.LeaseHost;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.LeaseTerms;
import dappleseam.fleet.lease.Ranking;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.VoterDisk;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.peers.Ballot.Op;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Manages this process's leases: its voter, if it is one, its candidate, and the threads of the tasks whose leases it holds. Everything but the tasks, and
 * a voter with storage, runs on the fleet thread.
 */
final class LeaseDesk implements LeaseHost {
    private static final Logger LOG = System.getLogger(LeaseDesk.class.getName());
    /** Time in ms between checks of the view, for duplicate processes and for hanging tasks, and between a voter's registrations of its start. */
    private static final double LOOK_MS = 500;
    /** Lease times after which a task that has not returned is considered hanging, and consecutive failures after which its lease is given up. */
    private static final double HANGS_LEASES = 2;
    private static final int FAILURES = 3;
    /** Lease times for which a task that hung or failed does not compete again. */
    private static final double REST_LEASES = 3;

    private final Membership membership;
    private final LeaseTerms terms;
    private final BiConsumer<MemberName, Ballot> out;
    private final Consumer<Runnable> onThread;
    private final ViewRecord record;
    /** Null if this process is not a voter. */
    private final VoterSeat voter;
    private final Candidate candidate;
    private final Map<LeaseName, Runner> runners = new LinkedHashMap<>();
    /** Messages from this process to itself, delivered once the current delivery is finished. */
    private final ArrayDeque<Ballot> toSelf = new ArrayDeque<>();
    private boolean telling;
    private List<MemberName> present = List.of();
    private double candidateAt = Double.POSITIVE_INFINITY;
    private double lookAt;
    private double now;

    /** Runs one task: while its lease is held, a thread calls it again and again with a permit for the current token. */
    private final class Runner implements FleetTask.Permit, Runnable {
        final FleetTask task;
        private Token token;
        private double until;
        private volatile double actingSince = Double.NaN;
        private volatile boolean stopped;
        private double restUntil;
        private boolean wanted;
        private double heldSince;
        private Thread thread;

        Runner(FleetTask task) {
            this.task = task;
        }

        synchronized void holds(Token now, double untilMs) {
            token = now;
            until = untilMs;
        }

        @Override
        public synchronized Token token(double forMs) {
            return token != null && !stopped && PeerSocket.nowMs() + forMs < until ? token : null;
        }

        synchronized Token held() {
            return token;
        }

        @Override
        public void fenced(Token seen) {
            onThread.accept(() -> candidate.fenced(PeerSocket.nowMs(), task.lease(), seen));
        }

        @Override
        public void run() {
            int failures = 0;
            while (!stopped) {
                try {
                    actingSince = PeerSocket.nowMs();
                    task.act(this);
                    failures = 0;
                } catch (Exception e) { // a task may throw anything
                    failures++;
                    LOG.log(Level.WARNING, "lease {0}: the task failed: {1}", task.lease(), e.toString());
                    if (failures >= FAILURES) {
                        onThread.accept(() -> rest(this, "its task failed " + FAILURES + " times in a row"));
                    }
                } finally {
                    actingSince = Double.NaN;
                }
                try {
                    Thread.sleep((long) Math.max(1, task.everyMs()));
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        void stop() {
            stopped = true;
            holds(null, 0);
            if (thread != null) {
                thread.interrupt();
            }
        }
    }

    LeaseDesk(Membership membership, LeaseTerms terms, VoterDisk disk, List<FleetTask> tasks, BiConsumer<MemberName, Ballot> out,
              Consumer<Runnable> onThread, ViewRecord record, RandomGenerator random, double nowMs) {
        this.record = record;
        this.membership = membership;
        this.terms = terms;
        this.out = out;
        this.onThread = onThread;
        now = nowMs;
        long nonce = membership.self().life().nonce();
        MemberName name = membership.self().name();
        candidate = new Candidate(nonce, terms, this, random);
        voter = terms.voters().contains(name) ? new VoterSeat(name, nonce, terms, disk, this::answered, onThread) : null;
        tasks.forEach(task -> runners.put(task.lease(), new Runner(task)));
        look();
    }

    /** Time of the next {@link #woken}. */
    double wakeAt() {
        return Math.min(candidateAt, lookAt);
    }

    void woken(double nowMs) {
        now = nowMs;
        if (now >= lookAt) {
            look();
        }
        if (now >= candidateAt) {
            candidateAt = Double.POSITIVE_INFINITY;
            candidate.woken(now);
        }
        tellSelf();
    }

    /** Handles a message from another member. */
    void heard(double nowMs, MemberName from, Ballot ballot) {
        now = nowMs;
        tell(from, ballot);
        tellSelf();
    }

    private void tell(MemberName from, Ballot ballot) {
        if (!ballot.isForVoter()) {
            ballot.tell(now, from, candidate);
        } else if (voter != null) {
            voter.heard(from, ballot);
        } else if (ballot.wantsAnswer()) {
            send(from, Ballot.refused(ballot.lease(), ballot.ballot(), Answers.Refusal.NO_VOTER, Token.NONE));
        }
    }

    /** Sends a message of this process's voter, possibly long after the request if it had to wait for its storage. */
    private void answered(MemberName to, Ballot ballot) {
        send(to, ballot);
        if (!telling) {
            now = PeerSocket.nowMs();
            tellSelf();
        }
    }

    private void tellSelf() {
        telling = true;
        for (Ballot ballot = toSelf.poll(); ballot != null; ballot = toSelf.poll()) {
            tell(membership.self().name(), ballot);
        }
        telling = false;
    }

    private void look() {
        lookAt = now + LOOK_MS;
        present = membership.present().stream().map(Notice::name).toList();
        if (voter != null) {
            voter.look(membership.twin() != null);
        }
        for (Runner runner : runners.values()) {
            double acting = runner.actingSince;
            if (runner.held() != null && acting < now - HANGS_LEASES * terms.leaseMs()) {
                rest(runner, "its task hangs");
            } else if (!runner.wanted && now >= runner.restUntil) {
                runner.wanted = true;
                candidate.want(now, runner.task.lease());
            }
        }
    }

    /** Gives a lease up because its task failed, and does not compete again for some time. */
    private void rest(Runner runner, String why) {
        LOG.log(Level.WARNING, "lease {0}: given up: {1}", runner.task.lease(), why);
        Runner next = new Runner(runner.task);
        next.restUntil = now + REST_LEASES * terms.leaseMs();
        runners.put(runner.task.lease(), next);
        letGo(runner);
        tellSelf();
    }

    private void letGo(Runner runner) {
        Token token = runner.held();
        runner.stop();
        if (token != null) {
            record.lost(now, runner.task.lease(), token);
        }
        candidate.give(now, runner.task.lease());
    }

    /** Clean shutdown or hand-over: stops the tasks first, then releases their leases to others. */
    void end(double nowMs) {
        now = nowMs;
        for (Runner runner : List.copyOf(runners.values())) {
            letGo(runner);
        }
        tellSelf();
        if (voter != null) {
            voter.close();
        }
    }

    /** The leases held now. */
    List<Snapshot.HeldLease> held() {
        List<Snapshot.HeldLease> held = new ArrayList<>();
        runners.forEach((lease, runner) -> {
            Token token = runner.held();
            if (token != null) {
                held.add(new Snapshot.HeldLease(lease, token, runner.heldSince));
            }
        });
        return held;
    }

    /** Whether this process's voter answers; null if it is not a voter. */
    Boolean votes() {
        return voter == null ? null : voter.speaks();
    }

    @Override
    public void wakeAt(double ms) {
        candidateAt = ms;
    }

    @Override
    public void held(LeaseName lease, Token token, double untilMs) {
        Runner runner = runners.get(lease);
        boolean isNew = runner.held() == null;
        record.held(now, lease, token, untilMs); // before it may act: a record that ends too early would hide an overlap of two holders
        runner.holds(token, untilMs);
        if (isNew) {
            runner.heldSince = now;
            LOG.log(Level.INFO, "lease {0}: taken, token {1}", lease, token.text());
            runner.thread = new Thread(runner, "task-" + lease);
            runner.thread.setDaemon(true);
            runner.thread.start();
        }
    }

    @Override
    public void lost(LeaseName lease, Token token, String why) {
        LOG.log(Level.WARNING, "lease {0}: lost, token {1}: {2}", lease, token.text(), why);
        record.lost(now, lease, token);
        Runner before = runners.get(lease);
        Runner next = new Runner(before.task);
        next.wanted = true;
        runners.put(lease, next);
        before.stop();
    }

    @Override
    public int rank(LeaseName lease) {
        return Ranking.rank(lease, membership.self().name(), present);
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }

    private void send(MemberName to, Ballot ballot) {
        if (to.equals(membership.self().name())) {
            toSelf.add(ballot);
        } else {
            out.accept(to, ballot);
        }
    }

    @Override
    public void prepare(MemberName peer, int set, LeaseName lease, Token ballot) {
        send(peer, Ballot.to(Op.PREPARE, set, lease, ballot, 0));
    }

    @Override
    public void ask(MemberName peer, int set, LeaseName lease) {
        send(peer, Ballot.to(Op.ASK, set, lease, Token.NONE, 0));
    }

    @Override
    public void propose(MemberName peer, int set, LeaseName lease, Token ballot, long turn) {
        send(peer, Ballot.to(Op.PROPOSE, set, lease, ballot, turn));
    }

    @Override
    public void release(MemberName peer, int set, LeaseName lease, Token ballot) {
        send(peer, Ballot.to(Op.RELEASE, set, lease, ballot, 0));
    }
}
