package dappleseam.lab.fleet;

import java.util.PriorityQueue;

/**
 * A discrete-event simulation: runs events in the order of their times, and events of the same time in the order in which they were scheduled. Times
 * are in ms. Not thread-safe.
 */
public abstract class SimulatedTime {
    protected double now;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long count;

    private record Event(double at, long order, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    SimulatedTime(double fromMs) {
        now = fromMs;
    }

    public final double nowMs() {
        return now;
    }

    /** Schedules an action to run after that many ms of simulated time. */
    public final void after(double ms, Runnable run) {
        events.add(new Event(now + ms, count++, run));
    }

    /** Runs all events up to the given time and sets the clock to it. */
    public final void runUntil(double ms) {
        while (!events.isEmpty() && events.peek().at <= ms) {
            Event event = events.poll();
            now = event.at;
            event.run.run();
        }
        now = ms;
    }

    public final void runFor(double ms) {
        runUntil(now + ms);
    }
}
