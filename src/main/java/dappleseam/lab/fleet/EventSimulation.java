package dappleseam.lab.fleet;

import java.util.PriorityQueue;

/** Events in simulated time, in the order of their times and, of one time, in that in which they were planned. Times in ms. Not for several threads. */
public abstract class EventSimulation {
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

    EventSimulation(double fromMs) {
        now = fromMs;
    }

    public final double nowMs() {
        return now;
    }

    public final void schedule(double ms, Runnable run) {
        events.add(new Event(now + ms, count++, run));
    }

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
