package dappleseam.fleet.peers;

import dappleseam.fleet.lease.VoterMessages;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.LeaseConfig;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.Voter;
import dappleseam.fleet.lease.VoterStorage;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.peers.LeaseMessage.Op;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Runs a voter. With storage, the voter has its own thread: a disk that takes a second to force a promise must not delay the membership, nor the leases
 * that this process holds itself. Requests that find the queue of a slow disk full are dropped, like lost datagrams.
 */
final class VoterRunner implements VoterMessages {
    private static final Logger LOG = System.getLogger(VoterRunner.class.getName());
    /** Maximum number of requests that wait for the disk: candidates resend, and a reply that comes too late does not count anyway. */
    private static final int QUEUE_CAPACITY = 256;
    /** Time in ms that a shutdown waits for the file to be closed; a voter whose file is not cleanly closed abstains for one lease time. */
    private static final long CLOSE_TIMEOUT_MS = 1000;

    private final BiConsumer<MemberName, LeaseMessage> out;
    private final Consumer<Runnable> runOnFleetThread;
    private final ThreadPoolExecutor executor;
    private Voter voter;
    private volatile boolean isActive;

    /**
     * {@code out} sends the voter's messages and is called on the fleet thread, through {@code runOnFleetThread}. {@code storage} may be null; then everything
     * runs on the caller's thread.
     */
    VoterRunner(MemberName name, long nonce, LeaseConfig config, VoterStorage storage, BiConsumer<MemberName, LeaseMessage> out, Consumer<Runnable> runOnFleetThread) {
        this.out = out;
        this.runOnFleetThread = runOnFleetThread;
        executor = storage == null ? null : new ThreadPoolExecutor(1, 1, 0, TimeUnit.MILLISECONDS, new ArrayBlockingQueue<>(QUEUE_CAPACITY), work -> {
            Thread voterThread = new Thread(work, "voter");
            voterThread.setDaemon(true);
            return voterThread;
        }, new ThreadPoolExecutor.DiscardPolicy());
        run(() -> voter = new Voter(name, nonce, config, this, storage, FleetAgent.nowMs(), System.currentTimeMillis()));
    }

    /** Runs on the voter's thread if there is one, otherwise directly. */
    private void run(Runnable work) {
        if (executor == null) {
            work.run();
            isActive = voter.isActive(FleetAgent.nowMs());
        } else {
            executor.execute(() -> {
                work.run();
                isActive = voter.isActive(FleetAgent.nowMs());
            });
        }
    }

    /** Handles a message from a candidate or another voter. */
    void handle(MemberName from, LeaseMessage message) {
        run(() -> message.dispatch(FleetAgent.nowMs(), from, voter));
    }

    /** Called periodically; {@code duplicate}: whether another process uses this one's name. */
    void check(boolean duplicate) {
        run(() -> {
            if (duplicate) {
                voter.duplicateSeen(FleetAgent.nowMs());
            }
            voter.woken();
        });
    }

    /** Whether the voter answered requests, as of its last run. */
    boolean isActive() {
        return isActive;
    }

    /** Clean shutdown. */
    void close() {
        CountDownLatch closed = new CountDownLatch(1);
        run(() -> {
            try {
                voter.close(FleetAgent.nowMs());
            } catch (IOException e) {
                LOG.log(Level.WARNING, "fleet: the voter's file was not closed: {0}", e.toString());
            } finally {
                closed.countDown();
            }
        });
        try {
            if (!closed.await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                LOG.log(Level.WARNING, "fleet: the voter's file was not closed: the disk is slow");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (executor != null) {
            executor.shutdown();
        }
    }

    private void send(MemberName to, LeaseMessage message) {
        if (executor == null) {
            out.accept(to, message);
        } else {
            runOnFleetThread.accept(() -> out.accept(to, message));
        }
    }

    @Override
    public void promised(MemberName peer, LeaseName lease, Token ballot, Token held, MemberName holder, double remainingMs) {
        send(peer, LeaseMessage.withHolder(Op.PROMISED, lease, ballot, held, holder, remainingMs));
    }

    @Override
    public void status(MemberName peer, LeaseName lease, Token highest, Token held, MemberName holder, double remainingMs) {
        send(peer, LeaseMessage.withHolder(Op.TOLD, lease, highest, held, holder, remainingMs));
    }

    @Override
    public void accepted(MemberName peer, LeaseName lease, Token ballot, long proposalNumber) {
        send(peer, LeaseMessage.numbered(Op.ACCEPTED, 0, lease, ballot, proposalNumber));
    }

    @Override
    public void refused(MemberName peer, LeaseName lease, Token ballot, Refusal reason, Token highest) {
        send(peer, LeaseMessage.refusal(lease, ballot, reason, highest));
    }

    @Override
    public void registerStart(MemberName peer, int configFingerprint, long startNumber, long nonce) {
        send(peer, LeaseMessage.aboutStart(Op.RECALL, configFingerprint, startNumber, nonce, 0));
    }

    @Override
    public void startRegistered(MemberName peer, long startNumber, long nonce, long previousStart) {
        send(peer, LeaseMessage.aboutStart(Op.RECALLED, 0, startNumber, nonce, previousStart));
    }
}
