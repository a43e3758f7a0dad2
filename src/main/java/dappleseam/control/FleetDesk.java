package dappleseam.control;

/** The fleet requests of the control server; absent if the proxy is in no fleet. No call blocks. */
public interface FleetDesk {
    /** The fleet metrics in the Prometheus text format. */
    String figures();

    /** This proxy's view of the fleet as JSON. */
    String view();

    /** Records that a member will not come back; false if the name is invalid. */
    boolean hasEnded(String name);
}
