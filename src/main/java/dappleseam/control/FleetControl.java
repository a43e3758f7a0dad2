package dappleseam.control;

/** The fleet requests of the control server; absent if the proxy is in no fleet. No call blocks. */
public interface FleetControl {
    /** The fleet metrics in the Prometheus text format. */
    String metrics();

    /** This proxy's view of the fleet as JSON. */
    String viewJson();

    /** Records that a member will not come back; false if the name is invalid. */
    boolean reportEnded(String name);
}
