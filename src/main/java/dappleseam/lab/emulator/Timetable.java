package dappleseam.lab.emulator;

import dappleseam.lab.check.Ledger;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** What befalls the peers in the course of a rehearsal, one thing after the other on a thread of its own. */
final class Timetable implements AutoCloseable {
    /** Something that befalls a peer. */
    interface Event {
        void play() throws IOException;
    }

    private final Ledger ledger;
    private final ScheduledExecutorService events = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "events");
        thread.setDaemon(true);
        return thread;
    });

    /** What cannot be played is noted in the ledger. */
    Timetable(Ledger ledger) {
        this.ledger = ledger;
    }

    /** Plays it so many ms from now. */
    void in(long ms, Event event) {
        events.schedule(() -> {
            try {
                event.play();
            } catch (IOException e) {
                ledger.notes.add("an event could not be played: " + e.getMessage());
            }
        }, ms, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        events.shutdownNow();
    }
}
