package dappleseam.site;

/** A key of the configuration is missing or has an invalid value; the message starts with the key. */
public final class InvalidConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidConfigException(String key, String fault) {
        super(key + ": " + fault);
    }
}
