package dappleseam.lab.fleet;

import java.util.PriorityQueue;

/**
 * A discrete-event simulation: runs events in the order of their times, and events of the same time in the order in which they were scheduled. Times
 * are in ms. Not thread-safe.
 */
public abstract class EventSimulation {
    protected double now;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextOrder;

    private record Event(double atMs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    EventSimulation(double fromMs) {
        now = fromMs;
    }

    public final double nowMs() {
        return now;
    }

    /** Schedules an action to run after that many ms of simulated time. */
    public final void schedule(double ms, Runnable run) {
        events.add(new Event(now + ms, nextOrder++, run));
    }

    /** Runs all events up to the given time and sets the clock to it. */
    public final void runUntil(double ms) {
        while (!events.isEmpty() && events.peek().atMs <= ms) {
            Event event = events.poll();
            now = event.atMs;
            event.action.run();
        }
        now = ms;
    }

    public final void runFor(double ms) {
        runUntil(now + ms);
    }
}
