package dappleseam.fleet.lease;

/** What a {@link Candidate} needs from its process. Every call takes effect at the time of the event being handled. */
public interface CandidateHost extends CandidateMessages {
    /** Requests a call of {@link Candidate#woken} at that time, in place of any earlier request. */
    void wakeAt(double ms);

    /**
     * The lease was acquired or renewed: the task may act until that time of this process's clock. The task still has to ask for its token right before
     * each action.
     */
    void granted(LeaseName lease, Token token, double untilMs);

    /** The lease was lost and the task has to stop; {@link Candidate#validToken} returns null already. */
    void lost(LeaseName lease, Token token, String reason);

    /** This process's rank among the members that compete for the lease, by its own view: 0 is first; -1 if it must not compete. */
    int rank(LeaseName lease);

    void log(String text);
}
