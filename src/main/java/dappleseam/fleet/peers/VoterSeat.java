package dappleseam.fleet.peers;

import dappleseam.fleet.lease.Answers;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.LeaseTerms;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.Voter;
import dappleseam.fleet.lease.VoterDisk;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.peers.Ballot.Op;
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
final class VoterSeat implements Answers {
    private static final Logger LOG = System.getLogger(VoterSeat.class.getName());
    /** Maximum number of requests that wait for the disk: candidates resend, and a reply that comes too late does not count anyway. */
    private static final int WAITING = 256;
    /** Time in ms that a shutdown waits for the file to be closed; a voter whose file is not cleanly closed abstains for one lease time. */
    private static final long CLOSE_MS = 1000;

    private final BiConsumer<MemberName, Ballot> out;
    private final Consumer<Runnable> onFleets;
    private final ThreadPoolExecutor thread;
    private Voter voter;
    private volatile boolean speaks;

    /**
     * {@code out} sends the voter's messages and is called on the fleet thread, through {@code runOnFleetThread}. {@code storage} may be null; then everything
     * runs on the caller's thread.
     */
    VoterSeat(MemberName name, long nonce, LeaseTerms terms, VoterDisk disk, BiConsumer<MemberName, Ballot> out, Consumer<Runnable> onFleets) {
        this.out = out;
        this.onFleets = onFleets;
        thread = disk == null ? null : new ThreadPoolExecutor(1, 1, 0, TimeUnit.MILLISECONDS, new ArrayBlockingQueue<>(WAITING), work -> {
            Thread made = new Thread(work, "voter");
            made.setDaemon(true);
            return made;
        }, new ThreadPoolExecutor.DiscardPolicy());
        run(() -> voter = new Voter(name, nonce, terms, this, disk, PeerSocket.nowMs(), System.currentTimeMillis()));
    }

    /** Runs on the voter's thread if there is one, otherwise directly. */
    private void run(Runnable work) {
        if (thread == null) {
            work.run();
            speaks = voter.speaks(PeerSocket.nowMs());
        } else {
            thread.execute(() -> {
                work.run();
                speaks = voter.speaks(PeerSocket.nowMs());
            });
        }
    }

    /** Handles a message from a candidate or another voter. */
    void heard(MemberName from, Ballot ballot) {
        run(() -> ballot.tell(PeerSocket.nowMs(), from, voter));
    }

    /** Called periodically; {@code duplicate}: whether another process uses this one's name. */
    void look(boolean twin) {
        run(() -> {
            if (twin) {
                voter.twinSeen(PeerSocket.nowMs());
            }
            voter.woken();
        });
    }

    /** Whether the voter answered requests, as of its last run. */
    boolean speaks() {
        return speaks;
    }

    /** Clean shutdown. */
    void close() {
        CountDownLatch closed = new CountDownLatch(1);
        run(() -> {
            try {
                voter.close(PeerSocket.nowMs());
            } catch (IOException e) {
                LOG.log(Level.WARNING, "fleet: the voter's file was not closed: {0}", e.toString());
            } finally {
                closed.countDown();
            }
        });
        try {
            if (!closed.await(CLOSE_MS, TimeUnit.MILLISECONDS)) {
                LOG.log(Level.WARNING, "fleet: the voter's file was not closed: the disk is slow");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (thread != null) {
            thread.shutdown();
        }
    }

    private void send(MemberName to, Ballot ballot) {
        if (thread == null) {
            out.accept(to, ballot);
        } else {
            onFleets.accept(() -> out.accept(to, ballot));
        }
    }

    @Override
    public void promised(MemberName peer, LeaseName lease, Token ballot, Token held, MemberName holder, double leftMs) {
        send(peer, Ballot.of(Op.PROMISED, lease, ballot, held, holder, leftMs));
    }

    @Override
    public void told(MemberName peer, LeaseName lease, Token highest, Token held, MemberName holder, double leftMs) {
        send(peer, Ballot.of(Op.TOLD, lease, highest, held, holder, leftMs));
    }

    @Override
    public void accepted(MemberName peer, LeaseName lease, Token ballot, long turn) {
        send(peer, Ballot.to(Op.ACCEPTED, 0, lease, ballot, turn));
    }

    @Override
    public void refused(MemberName peer, LeaseName lease, Token ballot, Refusal why, Token highest) {
        send(peer, Ballot.refused(lease, ballot, why, highest));
    }

    @Override
    public void recall(MemberName peer, int set, long start, long nonce) {
        send(peer, Ballot.recall(Op.RECALL, set, start, nonce, 0));
    }

    @Override
    public void recalled(MemberName peer, long start, long nonce, long known) {
        send(peer, Ballot.recall(Op.RECALLED, 0, start, nonce, known));
    }
}
