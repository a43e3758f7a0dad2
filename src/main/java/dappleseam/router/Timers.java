package dappleseam.router;

import java.util.HashMap;
import java.util.Map;

/** Pending timers of a router and their actions. */
final class Timers {
    private final Map<Integer, Runnable> pending = new HashMap<>();
    private final Host host;
    private int lastId;

    Timers(Host host) {
        this.host = host;
    }

    void schedule(double delayMs, Runnable action) {
        pending.put(++lastId, action);
        host.startTimer(new TimerId(lastId), delayMs);
    }

    /** Runs the timer's action; ignores unknown timers. */
    void fire(TimerId timer) {
        Runnable due = pending.remove(timer.value());
        if (due != null) {
            due.run();
        }
    }
}
