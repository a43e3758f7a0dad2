package dappleseam.fleet.lease;

/** What a candidate can do beside sending ballots. Every call takes effect at the time of the event being handled. */
public interface CandidateHost extends Ballots {
    /** Calls {@link Candidate#woken} at that time; an earlier wish for a wake-up is void. */
    void wakeAt(double ms);

    /** The task may act until that time by this process's clock, from now on or for longer than before. To be asked for at the instant of acting. */
    void granted(LeaseName lease, Token token, double untilMs);

    /** The task has to stop; {@code act} says no already. */
    void lost(LeaseName lease, Token token, String why);

    /** This process's place in the order of trying, by its view: 0 is the first; -1 where it is not to try. */
    int rank(LeaseName lease);

    void log(String text);
}
