package dappleseam.lab;

import dappleseam.diagnostics.ThreadTimes;
import dappleseam.lab.check.Ledger;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;

/** Measures how late a thread of this process is scheduled, which the emulators' threads share, and what delayed it: waiting for a processor or garbage collection. */
final class LatenessMonitor extends Thread {
    private static final int INTERVAL_MS = 2;

    private final Ledger ledger;

    LatenessMonitor(Ledger ledger) {
        super("metronome");
        this.ledger = ledger;
        setDaemon(true);
    }

    @Override
    public void run() {
        try {
            ThreadTimes times = ThreadTimes.ofCurrentThread();
            double gcMs = garbageCollectionMs();
            while (true) {
                double before = ledger.nowMs();
                Thread.sleep(INTERVAL_MS);
                double now = ledger.nowMs();
                double lateMs = now - before - INTERVAL_MS;
                ledger.recordLateness(lateMs);
                if (lateMs >= Ledger.STALL_MS) {
                    ThreadTimes timesNow = ThreadTimes.ofCurrentThread();
                    double gcMsNow = garbageCollectionMs();
                    ledger.stalls.add(new Ledger.Stall(now, lateMs, timesNow.since(times).waitedMs(), gcMsNow - gcMs));
                    times = timesNow;
                    gcMs = gcMsNow;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static double garbageCollectionMs() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream().mapToLong(GarbageCollectorMXBean::getCollectionTime).sum();
    }
}
