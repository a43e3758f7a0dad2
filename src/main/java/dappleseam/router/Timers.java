package dappleseam.router;

import java.util.HashMap;
import java.util.Map;

/** What is to be done at a later time. */
final class Timers {
    private final Map<Integer, Runnable> pending = new HashMap<>();
    private final Host host;
    private int last;

    Timers(Host host) {
        this.host = host;
    }

    void after(double delayMs, Runnable action) {
        pending.put(++last, action);
        host.startTimer(new TimerId(last), delayMs);
    }

    /** Does what the timer was set for; nothing where it is not known. */
    void fire(TimerId timer) {
        Runnable due = pending.remove(timer.value());
        if (due != null) {
            due.run();
        }
    }
}
