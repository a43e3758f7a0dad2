package dappleseam.lab.emulator;

import dappleseam.lab.check.Ledger;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs the events of a scenario one after the other on a thread of its own. */
final class EventSchedule implements AutoCloseable {
    /** Something that happens to an emulated service. */
    interface Event {
        void apply() throws IOException;
    }

    private final Ledger ledger;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "events");
        thread.setDaemon(true);
        return thread;
    });

    /** Events that fail are noted in the ledger. */
    EventSchedule(Ledger ledger) {
        this.ledger = ledger;
    }

    /** Runs the event after that time in ms. */
    void runIn(long ms, Event event) {
        executor.schedule(() -> {
            try {
                event.apply();
            } catch (IOException e) {
                ledger.notes.add("an event could not be applied: " + e.getMessage());
            }
        }, ms, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
