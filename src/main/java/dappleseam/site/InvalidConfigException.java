package dappleseam.site;

/** Something read at start is missing or makes no sense; the message names the key. */
public final class InvalidConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidConfigException(String key, String fault) {
        super(key + ": " + fault);
    }
}
