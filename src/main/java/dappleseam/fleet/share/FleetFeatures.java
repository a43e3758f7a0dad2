package dappleseam.fleet.share;

/**
 * The decisions that proxies coordinate by exchanging announcements; each is off unless the fleet's configuration file enables it.
 * {@code signals}: ejection of failing caches; {@code shares}: division of fleet-wide limits; {@code turns}: the order of calls to the
 * list service after an outage; {@code subsets}: which connections are kept open.
 */
public record FleetFeatures(boolean signals, boolean shares, boolean turns, boolean subsets) {
    public static final FleetFeatures NONE = new FleetFeatures(false, false, false, false);

    public boolean any() {
        return signals || shares || turns || subsets;
    }
}
