package dappleseam.router;

import java.util.HashMap;
import java.util.Map;

/** Pending timers of a router and their actions. */
final class Timers {
    private final Map<Integer, Runnable> pending = new HashMap<>();
    private final Host host;
    private int last;

    Timers(Host host) {
        this.host = host;
    }

    void after(double delayMs, Runnable action) {
        pending.put(++last, action);
        host.wake(new TimerId(last), delayMs);
    }

    /** Runs the timer's action; ignores unknown timers. */
    void fire(TimerId timer) {
        Runnable due = pending.remove(timer.value());
        if (due != null) {
            due.run();
        }
    }
}
