package dappleseam.lab;

import dappleseam.diagnostics.ThreadTimes;
import dappleseam.lab.check.Ledger;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;

/** Measures how late a thread of this process is scheduled, which the emulators' threads share, and what delayed it: waiting for a processor or garbage collection. */
final class Metronome extends Thread {
    private static final int BEAT_MS = 2;

    private final Ledger ledger;

    Metronome(Ledger ledger) {
        super("metronome");
        this.ledger = ledger;
        setDaemon(true);
    }

    @Override
    public void run() {
        try {
            ThreadTimes times = ThreadTimes.ofCurrentThread();
            double collected = collectedMs();
            while (true) {
                double before = ledger.nowMs();
                Thread.sleep(BEAT_MS);
                double now = ledger.nowMs();
                double lateMs = now - before - BEAT_MS;
                ledger.late(lateMs);
                if (lateMs >= Ledger.HELD_UP_MS) {
                    ThreadTimes timesNow = ThreadTimes.ofCurrentThread();
                    double collectedNow = collectedMs();
                    ledger.heldUps.add(new Ledger.HeldUp(now, lateMs, timesNow.since(times).waitedMs(), collectedNow - collected));
                    times = timesNow;
                    collected = collectedNow;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static double collectedMs() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream().mapToLong(GarbageCollectorMXBean::getCollectionTime).sum();
    }
}
