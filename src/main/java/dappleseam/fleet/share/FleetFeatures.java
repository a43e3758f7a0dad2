package dappleseam.fleet.share;

/**
 * Which choices of many proxies add up by what they tell each other; each off unless the operator's file turns it on. {@code signals}: of caches that fail; {@code shares}: of what the whole
 * fleet may take; {@code turns}: of calls for the list after its service was out; {@code subsets}: of connections that are kept.
 */
public record FleetFeatures(boolean signals, boolean shares, boolean turns, boolean subsets) {
    public static final FleetFeatures NONE = new FleetFeatures(false, false, false, false);

    public boolean any() {
        return signals || shares || turns || subsets;
    }
}
