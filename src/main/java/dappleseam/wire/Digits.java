package dappleseam.wire;

/** Parses unsigned numbers in protocol messages, which consist of digits only. */
final class Digits {
    private static final int MOST = 9;

    private Digits() {}

    /** Returns the number if it is from 0 to {@code max}, -1 for anything else. */
    static long read(String digits, int radix, long most) {
        if (digits.isEmpty() || digits.length() > MOST
                || !digits.chars().allMatch(c -> Character.digit(c, radix) >= 0)) {
            return -1;
        }
        long number = Long.parseLong(digits, radix);
        return number <= most ? number : -1;
    }
}
