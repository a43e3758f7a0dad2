package dappleseam.fleet.peers;

import dappleseam.fleet.lease.VoterMessages;
import dappleseam.fleet.lease.Candidate;
import dappleseam.fleet.lease.FleetTask;
import dappleseam.fleet.lease.CandidateHost;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.LeaseConfig;
import dappleseam.fleet.lease.Ranking;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.VoterStorage;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.peers.LeaseMessage.Op;
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
 * This process's leases: its voter where it is one, its candidate, and the threads of the tasks that it holds. All but the tasks, and a voter with a disk, runs on the
 * fleet's thread.
 */
final class LeaseDesk implements CandidateHost {
    private static final Logger LOG = System.getLogger(LeaseDesk.class.getName());
    /** Time in ms between looks at the view, at twins, at tasks that hang, and of a voter's words on its start. */
    private static final double LOOK_MS = 500;
    /** Leases after which a task that has not returned hangs; failures in a row after which it gives its lease up. */
    private static final double HANGS_LEASES = 2;
    private static final int FAILURES = 3;
    /** Leases for which a task that hung or threw does not try again. */
    private static final double REST_LEASES = 3;

    private final Membership membership;
    private final LeaseConfig terms;
    private final BiConsumer<MemberName, LeaseMessage> out;
    private final Consumer<Runnable> onThread;
    private final ViewRecord record;
    /** Null where this process is no voter. */
    private final VoterSeat voter;
    private final Candidate candidate;
    private final Map<LeaseName, Runner> runners = new LinkedHashMap<>();
    /** What this process says to itself, told once what is being told is over. */
    private final ArrayDeque<LeaseMessage> toSelf = new ArrayDeque<>();
    private boolean telling;
    private List<MemberName> present = List.of();
    private double candidateAt = Double.POSITIVE_INFINITY;
    private double lookAt;
    private double now;

    /** One task: while it is held, a thread acts by {@link #token}. */
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
            return token != null && !stopped && FleetAgent.nowMs() + forMs < until ? token : null;
        }

        synchronized Token held() {
            return token;
        }

        @Override
        public void fenced(Token seen) {
            onThread.accept(() -> candidate.fenced(FleetAgent.nowMs(), task.lease(), seen));
        }

        @Override
        public void run() {
            int failures = 0;
            while (!stopped) {
                try {
                    actingSince = FleetAgent.nowMs();
                    task.run(this);
                    failures = 0;
                } catch (Exception e) { // whatever a task throws is its own
                    failures++;
                    LOG.log(Level.WARNING, "lease {0}: the task failed: {1}", task.lease(), e.toString());
                    if (failures >= FAILURES) {
                        onThread.accept(() -> rest(this, "its task failed " + FAILURES + " times"));
                    }
                } finally {
                    actingSince = Double.NaN;
                }
                try {
                    Thread.sleep((long) Math.max(1, task.intervalMs()));
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

    LeaseDesk(Membership membership, LeaseConfig terms, VoterStorage disk, List<FleetTask> tasks, BiConsumer<MemberName, LeaseMessage> out,
              Consumer<Runnable> onThread, ViewRecord record, RandomGenerator random, double nowMs) {
        this.record = record;
        this.membership = membership;
        this.terms = terms;
        this.out = out;
        this.onThread = onThread;
        now = nowMs;
        long nonce = membership.self().generation().nonce();
        MemberName name = membership.self().name();
        candidate = new Candidate(nonce, terms, this, random);
        voter = terms.voters().contains(name) ? new VoterSeat(name, nonce, terms, disk, this::answered, onThread) : null;
        tasks.forEach(task -> runners.put(task.lease(), new Runner(task)));
        look();
    }

    /** When something is due. */
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

    void heard(double nowMs, MemberName from, LeaseMessage ballot) {
        now = nowMs;
        tell(from, ballot);
        tellSelf();
    }

    private void tell(MemberName from, LeaseMessage ballot) {
        if (!ballot.isForVoter()) {
            ballot.tell(now, from, candidate);
        } else if (voter != null) {
            voter.heard(from, ballot);
        } else if (ballot.wantsAnswer()) {
            send(from, LeaseMessage.refused(ballot.lease(), ballot.ballot(), VoterMessages.Refusal.NO_VOTER, Token.NONE));
        }
    }

    /** By this process's voter, which may have waited for its disk. */
    private void answered(MemberName to, LeaseMessage ballot) {
        send(to, ballot);
        if (!telling) {
            now = FleetAgent.nowMs();
            tellSelf();
        }
    }

    private void tellSelf() {
        telling = true;
        for (LeaseMessage ballot = toSelf.poll(); ballot != null; ballot = toSelf.poll()) {
            tell(membership.self().name(), ballot);
        }
        telling = false;
    }

    private void look() {
        lookAt = now + LOOK_MS;
        present = membership.liveMembers().stream().map(MemberEntry::name).toList();
        if (voter != null) {
            voter.look(membership.duplicate() != null);
        }
        for (Runner runner : runners.values()) {
            double acting = runner.actingSince;
            if (runner.held() != null && acting < now - HANGS_LEASES * terms.leaseMs()) {
                rest(runner, "its task hangs");
            } else if (!runner.wanted && now >= runner.restUntil) {
                runner.wanted = true;
                candidate.acquire(now, runner.task.lease());
            }
        }
    }

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
        candidate.release(now, runner.task.lease());
    }

    /** An orderly end, or a hand-over: tasks stop first, then others may take them. */
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

    /** What is held now: by lease the token, and since when in ms. */
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

    /** Null where this process is no voter. */
    Boolean votes() {
        return voter == null ? null : voter.speaks();
    }

    @Override
    public void wakeAt(double ms) {
        candidateAt = ms;
    }

    @Override
    public void granted(LeaseName lease, Token token, double untilMs) {
        Runner runner = runners.get(lease);
        boolean isNew = runner.held() == null;
        record.held(now, lease, token, untilMs); // before it may act: a record that ends too early would hide an overlap
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

    private void send(MemberName to, LeaseMessage ballot) {
        if (to.equals(membership.self().name())) {
            toSelf.add(ballot);
        } else {
            out.accept(to, ballot);
        }
    }

    @Override
    public void prepare(MemberName peer, int set, LeaseName lease, Token ballot) {
        send(peer, LeaseMessage.to(Op.PREPARE, set, lease, ballot, 0));
    }

    @Override
    public void ask(MemberName peer, int set, LeaseName lease) {
        send(peer, LeaseMessage.to(Op.ASK, set, lease, Token.NONE, 0));
    }

    @Override
    public void propose(MemberName peer, int set, LeaseName lease, Token ballot, long turn) {
        send(peer, LeaseMessage.to(Op.PROPOSE, set, lease, ballot, turn));
    }

    @Override
    public void release(MemberName peer, int set, LeaseName lease, Token ballot) {
        send(peer, LeaseMessage.to(Op.RELEASE, set, lease, ballot, 0));
    }
}
