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
 * Manages this process's leases: its voter, if it is one, its candidate, and the threads of the tasks whose leases it holds. Everything but the tasks, and
 * a voter with storage, runs on the fleet thread.
 */
final class LeaseManager implements CandidateHost {
    private static final Logger LOG = System.getLogger(LeaseManager.class.getName());
    /** Time in ms between checks of the view, for duplicate processes and for hanging tasks, and between a voter's registrations of its start. */
    private static final double CHECK_INTERVAL_MS = 500;
    /** Lease times after which a task that has not returned is considered hanging, and consecutive failures after which its lease is given up. */
    private static final double HANG_TIMEOUT_LEASES = 2;
    private static final int MAX_FAILURES = 3;
    /** Lease times for which a task that hung or failed does not compete again. */
    private static final double BACKOFF_LEASES = 3;

    private final Membership membership;
    private final LeaseConfig config;
    private final BiConsumer<MemberName, LeaseMessage> out;
    private final Consumer<Runnable> runOnFleetThread;
    private final ViewRecorder recorder;
    /** Null if this process is not a voter. */
    private final VoterRunner voter;
    private final Candidate candidate;
    private final Map<LeaseName, TaskRunner> runners = new LinkedHashMap<>();
    /** Messages from this process to itself, delivered once the current delivery is finished. */
    private final ArrayDeque<LeaseMessage> localMessages = new ArrayDeque<>();
    private boolean deliveringLocal;
    private List<MemberName> liveMembers = List.of();
    private double candidateWakeAt = Double.POSITIVE_INFINITY;
    private double checkAt;
    private double now;

    /** Runs one task: while its lease is held, a thread calls it again and again with a permit for the current token. */
    private final class TaskRunner implements FleetTask.Permit, Runnable {
        final FleetTask task;
        private Token token;
        private double heldUntil;
        private volatile double runningSince = Double.NaN;
        private volatile boolean stopped;
        private double backoffUntil;
        private boolean competing;
        private double heldSince;
        private Thread thread;

        TaskRunner(FleetTask task) {
            this.task = task;
        }

        synchronized void setToken(Token newToken, double untilMs) {
            token = newToken;
            heldUntil = untilMs;
        }

        @Override
        public synchronized Token token(double forMs) {
            return token != null && !stopped && FleetAgent.nowMs() + forMs < heldUntil ? token : null;
        }

        synchronized Token currentToken() {
            return token;
        }

        @Override
        public void fenced(Token seen) {
            runOnFleetThread.accept(() -> candidate.fenced(FleetAgent.nowMs(), task.lease(), seen));
        }

        @Override
        public void run() {
            int failures = 0;
            while (!stopped) {
                try {
                    runningSince = FleetAgent.nowMs();
                    task.run(this);
                    failures = 0;
                } catch (Exception e) { // a task may throw anything
                    failures++;
                    LOG.log(Level.WARNING, "lease {0}: the task failed: {1}", task.lease(), e.toString());
                    if (failures >= MAX_FAILURES) {
                        runOnFleetThread.accept(() -> backOff(this, "its task failed " + MAX_FAILURES + " times"));
                    }
                } finally {
                    runningSince = Double.NaN;
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
            setToken(null, 0);
            if (thread != null) {
                thread.interrupt();
            }
        }
    }

    LeaseManager(Membership membership, LeaseConfig config, VoterStorage storage, List<FleetTask> tasks, BiConsumer<MemberName, LeaseMessage> out,
              Consumer<Runnable> runOnFleetThread, ViewRecorder recorder, RandomGenerator random, double nowMs) {
        this.recorder = recorder;
        this.membership = membership;
        this.config = config;
        this.out = out;
        this.runOnFleetThread = runOnFleetThread;
        now = nowMs;
        long nonce = membership.self().generation().nonce();
        MemberName name = membership.self().name();
        candidate = new Candidate(nonce, config, this, random);
        voter = config.voters().contains(name) ? new VoterRunner(name, nonce, config, storage, this::sendFromVoter, runOnFleetThread) : null;
        tasks.forEach(task -> runners.put(task.lease(), new TaskRunner(task)));
        check();
    }

    /** Time of the next {@link #woken}. */
    double wakeAt() {
        return Math.min(candidateWakeAt, checkAt);
    }

    void woken(double nowMs) {
        now = nowMs;
        if (now >= checkAt) {
            check();
        }
        if (now >= candidateWakeAt) {
            candidateWakeAt = Double.POSITIVE_INFINITY;
            candidate.woken(now);
        }
        deliverLocal();
    }

    /** Handles a message from another member. */
    void handle(double nowMs, MemberName from, LeaseMessage message) {
        now = nowMs;
        deliver(from, message);
        deliverLocal();
    }

    private void deliver(MemberName from, LeaseMessage message) {
        if (!message.isForVoter()) {
            message.dispatch(now, from, candidate);
        } else if (voter != null) {
            voter.handle(from, message);
        } else if (message.expectsReply()) {
            send(from, LeaseMessage.refusal(message.lease(), message.ballot(), VoterMessages.Refusal.NO_VOTER, Token.NONE));
        }
    }

    /** Sends a message of this process's voter, possibly long after the request if it had to wait for its storage. */
    private void sendFromVoter(MemberName to, LeaseMessage message) {
        send(to, message);
        if (!deliveringLocal) {
            now = FleetAgent.nowMs();
            deliverLocal();
        }
    }

    private void deliverLocal() {
        deliveringLocal = true;
        for (LeaseMessage message = localMessages.poll(); message != null; message = localMessages.poll()) {
            deliver(membership.self().name(), message);
        }
        deliveringLocal = false;
    }

    private void check() {
        checkAt = now + CHECK_INTERVAL_MS;
        liveMembers = membership.liveMembers().stream().map(MemberEntry::name).toList();
        if (voter != null) {
            voter.check(membership.duplicate() != null);
        }
        for (TaskRunner runner : runners.values()) {
            double since = runner.runningSince;
            if (runner.currentToken() != null && since < now - HANG_TIMEOUT_LEASES * config.leaseMs()) {
                backOff(runner, "its task hangs");
            } else if (!runner.competing && now >= runner.backoffUntil) {
                runner.competing = true;
                candidate.acquire(now, runner.task.lease());
            }
        }
    }

    /** Gives a lease up because its task failed, and does not compete again for some time. */
    private void backOff(TaskRunner runner, String reason) {
        LOG.log(Level.WARNING, "lease {0}: given up: {1}", runner.task.lease(), reason);
        TaskRunner next = new TaskRunner(runner.task);
        next.backoffUntil = now + BACKOFF_LEASES * config.leaseMs();
        runners.put(runner.task.lease(), next);
        giveUp(runner);
        deliverLocal();
    }

    private void giveUp(TaskRunner runner) {
        Token token = runner.currentToken();
        runner.stop();
        if (token != null) {
            recorder.leaseLost(now, runner.task.lease(), token);
        }
        candidate.release(now, runner.task.lease());
    }

    /** Clean shutdown or hand-over: stops the tasks first, then releases their leases to others. */
    void stopAll(double nowMs) {
        now = nowMs;
        for (TaskRunner runner : List.copyOf(runners.values())) {
            giveUp(runner);
        }
        deliverLocal();
        if (voter != null) {
            voter.close();
        }
    }

    /** The leases held now. */
    List<FleetSnapshot.HeldLease> heldLeases() {
        List<FleetSnapshot.HeldLease> held = new ArrayList<>();
        runners.forEach((lease, runner) -> {
            Token token = runner.currentToken();
            if (token != null) {
                held.add(new FleetSnapshot.HeldLease(lease, token, runner.heldSince));
            }
        });
        return held;
    }

    /** Whether this process's voter answers; null if it is not a voter. */
    Boolean isVoterActive() {
        return voter == null ? null : voter.isActive();
    }

    @Override
    public void wakeAt(double ms) {
        candidateWakeAt = ms;
    }

    @Override
    public void granted(LeaseName lease, Token token, double untilMs) {
        TaskRunner runner = runners.get(lease);
        boolean isNew = runner.currentToken() == null;
        recorder.leaseHeld(now, lease, token, untilMs); // before it may act: a record that ends too early would hide an overlap of two holders
        runner.setToken(token, untilMs);
        if (isNew) {
            runner.heldSince = now;
            LOG.log(Level.INFO, "lease {0}: taken, token {1}", lease, token.text());
            runner.thread = new Thread(runner, "task-" + lease);
            runner.thread.setDaemon(true);
            runner.thread.start();
        }
    }

    @Override
    public void lost(LeaseName lease, Token token, String reason) {
        LOG.log(Level.WARNING, "lease {0}: lost, token {1}: {2}", lease, token.text(), reason);
        recorder.leaseLost(now, lease, token);
        TaskRunner previous = runners.get(lease);
        TaskRunner next = new TaskRunner(previous.task);
        next.competing = true;
        runners.put(lease, next);
        previous.stop();
    }

    @Override
    public int rank(LeaseName lease) {
        return Ranking.rank(lease, membership.self().name(), liveMembers);
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }

    private void send(MemberName to, LeaseMessage message) {
        if (to.equals(membership.self().name())) {
            localMessages.add(message);
        } else {
            out.accept(to, message);
        }
    }

    @Override
    public void prepare(MemberName peer, int configFingerprint, LeaseName lease, Token ballot) {
        send(peer, LeaseMessage.numbered(Op.PREPARE, configFingerprint, lease, ballot, 0));
    }

    @Override
    public void ask(MemberName peer, int configFingerprint, LeaseName lease) {
        send(peer, LeaseMessage.numbered(Op.ASK, configFingerprint, lease, Token.NONE, 0));
    }

    @Override
    public void propose(MemberName peer, int configFingerprint, LeaseName lease, Token ballot, long proposalNumber) {
        send(peer, LeaseMessage.numbered(Op.PROPOSE, configFingerprint, lease, ballot, proposalNumber));
    }

    @Override
    public void release(MemberName peer, int configFingerprint, LeaseName lease, Token ballot) {
        send(peer, LeaseMessage.numbered(Op.RELEASE, configFingerprint, lease, ballot, 0));
    }
}
