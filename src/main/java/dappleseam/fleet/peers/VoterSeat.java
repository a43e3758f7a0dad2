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
 * A voter's place in its process. One with a disk has a thread of its own: a disk that takes a second to force a promise must hold up neither the membership nor the leases that
 * this process holds itself. What finds no room before a slow disk counts as lost on its way.
 */
final class VoterSeat implements VoterMessages {
    private static final Logger LOG = System.getLogger(VoterSeat.class.getName());
    /** Ballots that wait for the disk at most: candidates ask again, and an answer much later than its question is none. */
    private static final int WAITING = 256;
    /** Time in ms that an end waits for the file to be closed; a voter whose file is not is silent for a lease. */
    private static final long CLOSE_MS = 1000;

    private final BiConsumer<MemberName, LeaseMessage> out;
    private final Consumer<Runnable> onFleets;
    private final ThreadPoolExecutor thread;
    private Voter voter;
    private volatile boolean speaks;

    /** {@code out} is called on the fleet's thread, which {@code onFleets} runs things on; {@code disk}: null for none, and then all is on the caller's thread. */
    VoterSeat(MemberName name, long nonce, LeaseConfig terms, VoterStorage disk, BiConsumer<MemberName, LeaseMessage> out, Consumer<Runnable> onFleets) {
        this.out = out;
        this.onFleets = onFleets;
        thread = disk == null ? null : new ThreadPoolExecutor(1, 1, 0, TimeUnit.MILLISECONDS, new ArrayBlockingQueue<>(WAITING), work -> {
            Thread made = new Thread(work, "voter");
            made.setDaemon(true);
            return made;
        }, new ThreadPoolExecutor.DiscardPolicy());
        run(() -> voter = new Voter(name, nonce, terms, this, disk, FleetAgent.nowMs(), System.currentTimeMillis()));
    }

    private void run(Runnable work) {
        if (thread == null) {
            work.run();
            speaks = voter.speaks(FleetAgent.nowMs());
        } else {
            thread.execute(() -> {
                work.run();
                speaks = voter.speaks(FleetAgent.nowMs());
            });
        }
    }

    void heard(MemberName from, LeaseMessage ballot) {
        run(() -> ballot.tell(FleetAgent.nowMs(), from, voter));
    }

    /** From time to time; {@code twin}: whether another process goes by this one's name. */
    void look(boolean twin) {
        run(() -> {
            if (twin) {
                voter.twinSeen(FleetAgent.nowMs());
            }
            voter.woken();
        });
    }

    /** Whether it answered a moment ago. */
    boolean speaks() {
        return speaks;
    }

    /** An orderly end. */
    void close() {
        CountDownLatch closed = new CountDownLatch(1);
        run(() -> {
            try {
                voter.close(FleetAgent.nowMs());
            } catch (IOException e) {
                LOG.log(Level.WARNING, "the voter's file is not closed: {0}", e.toString());
            } finally {
                closed.countDown();
            }
        });
        try {
            if (!closed.await(CLOSE_MS, TimeUnit.MILLISECONDS)) {
                LOG.log(Level.WARNING, "the voter's file is not closed: the disk is slow");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (thread != null) {
            thread.shutdown();
        }
    }

    private void send(MemberName to, LeaseMessage ballot) {
        if (thread == null) {
            out.accept(to, ballot);
        } else {
            onFleets.accept(() -> out.accept(to, ballot));
        }
    }

    @Override
    public void promised(MemberName peer, LeaseName lease, Token ballot, Token held, MemberName holder, double leftMs) {
        send(peer, LeaseMessage.of(Op.PROMISED, lease, ballot, held, holder, leftMs));
    }

    @Override
    public void status(MemberName peer, LeaseName lease, Token highest, Token held, MemberName holder, double leftMs) {
        send(peer, LeaseMessage.of(Op.TOLD, lease, highest, held, holder, leftMs));
    }

    @Override
    public void accepted(MemberName peer, LeaseName lease, Token ballot, long turn) {
        send(peer, LeaseMessage.to(Op.ACCEPTED, 0, lease, ballot, turn));
    }

    @Override
    public void refused(MemberName peer, LeaseName lease, Token ballot, Refusal why, Token highest) {
        send(peer, LeaseMessage.refused(lease, ballot, why, highest));
    }

    @Override
    public void registerStart(MemberName peer, int set, long start, long nonce) {
        send(peer, LeaseMessage.recall(Op.RECALL, set, start, nonce, 0));
    }

    @Override
    public void startRegistered(MemberName peer, long start, long nonce, long known) {
        send(peer, LeaseMessage.recall(Op.RECALLED, 0, start, nonce, known));
    }
}
