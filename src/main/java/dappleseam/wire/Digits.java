package dappleseam.wire;

/** Parses unsigned numbers in protocol messages, which consist of digits only. */
final class Digits {
    private static final int MAX_DIGITS = 9;

    private Digits() {}

    /** Returns the number if it is from 0 to {@code max}, -1 for anything else. */
    static long parse(String digits, int radix, long max) {
        if (digits.isEmpty() || digits.length() > MAX_DIGITS
                || !digits.chars().allMatch(c -> Character.digit(c, radix) >= 0)) {
            return -1;
        }
        long number = Long.parseLong(digits, radix);
        return number <= max ? number : -1;
    }
}
