package dappleseam.control;

/** The fleet requests of the control server; absent if the proxy is in no fleet. No call blocks. */
public interface FleetControl {
    /** The fleet metrics in the Prometheus text format. */
    String metrics();

    /** This proxy's view of the fleet as JSON. */
    String viewJson();

    /** What becomes of an operator's word that a member will not come back. */
    enum EndedReport {
        ACCEPTED,
        /** No member can have that name. */
        INVALID_NAME,
        /** This proxy knows no failed member of that name. */
        NOT_FAILED,
        /** This process is not in the fleet, or not any more. */
        NOT_JOINED
    }

    /** Records that a failed member will not come back. */
    EndedReport reportEnded(String name);
}
