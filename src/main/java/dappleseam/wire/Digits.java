package dappleseam.wire;

/** Numbers as the protocols write them: digits alone. */
final class Digits {
    private static final int MOST = 9;

    private Digits() {}

    /** The number from 0 to {@code most}; -1 for anything else. */
    static long read(String digits, int radix, long most) {
        if (digits.isEmpty() || digits.length() > MOST
                || !digits.chars().allMatch(c -> Character.digit(c, radix) >= 0)) {
            return -1;
        }
        long number = Long.parseLong(digits, radix);
        return number <= most ? number : -1;
    }
}
