package dappleseam.drill;

/** The input does not follow the wire format; the message says what is wrong and where. */
final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
