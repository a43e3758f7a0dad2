package dappleseam.fleet.lease;

import dappleseam.fleet.membership.MemberName;

/** What voters say, to candidates and to each other, one method per kind; {@code peer} is to whom it goes. */
public interface VoterMessages {
    /** No lower ballot than {@code ballot}; {@code held} runs for {@code leftMs} more, or is {@link Token#NONE}. */
    void promised(MemberName peer, LeaseName lease, Token ballot, Token held, MemberName holder, double leftMs);

    /** The answer to {@link #ask}; {@code highest} is the highest ballot that was promised. */
    void status(MemberName peer, LeaseName lease, Token highest, Token held, MemberName holder, double leftMs);

    void accepted(MemberName peer, LeaseName lease, Token ballot, long turn);

    /** {@code ballot} is not taken; {@code highest} is what was promised. */
    void refused(MemberName peer, LeaseName lease, Token ballot, Refusal why, Token highest);

    /** This is my start by my count, and my process's nonce; which did you know of before? */
    void registerStart(MemberName peer, int set, long start, long nonce);

    /** The answer: the start that was known before that one; -1 for none. */
    void startRegistered(MemberName peer, long start, long nonce, long known);

    /** Why a voter does not do what it was asked. */
    enum Refusal { LOWER, ABSTAINS, OTHER_SET, NO_VOTER, NOT_WRITTEN, TOO_MANY }
}
