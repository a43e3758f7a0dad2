package dappleseam.lab.scenario;

/** A scenario file is invalid; the message names the key at fault. */
public final class FaultyScenarioException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    FaultyScenarioException(String key, String fault) {
        super(key + ": " + fault);
    }
}
