package dappleseam.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.peers.VoterFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One voter: its replies, and its state across restarts. */
class VoterTest {
    private static final MemberName A = new MemberName("a");
    private static final MemberName B = new MemberName("b");
    private static final MemberName C = new MemberName("c");
    private static final MemberName CANDIDATE = new MemberName("x");
    private static final LeaseName LEASE = new LeaseName("l");
    private static final LeaseConfig CONFIG = new LeaseConfig(List.of(A, B, C), 1, 1000, 0.01);

    @TempDir
    Path folder;
    private final List<String> sent = new ArrayList<>();

    /** Records each message of the voter as text: the method name and its arguments, with tokens as their rounds. */
    private final VoterMessages out = (VoterMessages) java.lang.reflect.Proxy.newProxyInstance(VoterMessages.class.getClassLoader(), new Class<?>[] {VoterMessages.class},
            (proxy, method, args) -> {
                StringBuilder text = new StringBuilder(method.getName());
                for (Object arg : args) {
                    text.append(' ').append(arg instanceof Token t ? t.round() : arg);
                }
                sent.add(text.toString());
                return null;
            });

    private Voter voter(VoterStorage storage, double nowMs) {
        return new Voter(A, 1, CONFIG, out, storage, nowMs, 0);
    }

    private VoterStorage storage() {
        return new VoterFile(folder.resolve("voter"));
    }

    private String last() {
        return sent.get(sent.size() - 1);
    }

    private static void registerStart(Voter voter, long startNumber, long previousStart) {
        voter.startRegistered(B, startNumber, 1, previousStart);
        voter.startRegistered(C, startNumber, 1, previousStart);
    }

    @Test
    void abstainsForOneLeaseWithoutStorage() {
        Voter voter = voter(null, 0);
        voter.prepare(999, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(5, 1));
        assertThat(last()).contains("refused x l 5 ABSTAINS");
        voter.prepare(1000, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(5, 1));
        assertThat(last()).startsWith("promised x l 5 0");
        voter.propose(1001, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(5, 1), 0);
        voter.prepare(1500, B, CONFIG.fingerprint(), LEASE, new Token(6, 2));
        assertThat(last()).isEqualTo("promised b l 6 5 x 501.0");
        voter.propose(1501, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(5, 1), 1);
        assertThat(last()).contains("refused x l 5 LOWER 6");
    }

    /** The lease time is shortened: what was accepted before the restart binds for the longer one. */
    private static final LeaseConfig SHORTER = new LeaseConfig(List.of(A, B, C), 2, 250, 0.01, 1000);
    /** The same where the operator does not state the time before. */
    private static final LeaseConfig UNSTATED = new LeaseConfig(List.of(A, B, C), 2, 250, 0.01, LeaseConfig.MAX_LEASE_MS);

    /** Guards against a voter that grants a lease while the last one, of a longer lease time, may still run: two members held it at once. */
    @Test
    void abstainsForThePreviousLeaseTimeWithoutStorage() {
        Voter voter = new Voter(A, 1, SHORTER, out, null, 0, 0);
        assertThat(voter.isActive(999)).isFalse();
        assertThat(voter.isActive(1000)).isTrue();
        Voter unstated = new Voter(A, 1, UNSTATED, out, null, 0, 0);
        assertThat(unstated.isActive(LeaseConfig.MAX_LEASE_MS - 1)).isFalse();
        unstated.duplicateSeen(10);
        assertThat(unstated.isActive(LeaseConfig.MAX_LEASE_MS - 1)).as("a duplicate does not shorten it").isFalse();
        assertThat(unstated.isActive(LeaseConfig.MAX_LEASE_MS)).isTrue();
    }

    /** The voter's file tells the lease time under which it accepted, also over another restart within the silence, and whatever the operator states. */
    @Test
    void abstainsForTheLeaseTimeInItsFile() throws Exception {
        Voter first = voter(storage(), 0);
        registerStart(first, 0, -1);
        first.propose(2000, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(5, 1), 0);
        first.close(2100);
        Voter second = new Voter(A, 1, UNSTATED, out, storage(), 2200, 0);
        registerStart(second, 0, -1);
        assertThat(second.isActive(3199)).isFalse();
        Voter third = new Voter(A, 1, UNSTATED, out, storage(), 3000, 0);
        registerStart(third, 1, 0);
        assertThat(third.isActive(3999)).isFalse();
        assertThat(third.isActive(4000)).isTrue();
        third.prepare(4001, CANDIDATE, UNSTATED.fingerprint(), LEASE, new Token(6, 1));
        Voter fourth = new Voter(A, 1, UNSTATED, out, storage(), 5000, 0);
        registerStart(fourth, 2, 1);
        assertThat(fourth.isActive(5249)).isFalse();
        assertThat(fourth.isActive(5250)).as("the longer lease is over").isTrue();
    }

    @Test
    void refusesMessagesOfAnotherConfig() {
        Voter voter = voter(null, 0);
        LeaseConfig other = new LeaseConfig(List.of(A, C, B), 1, 1000, 0.01);
        voter.ask(2000, CANDIDATE, other.fingerprint(), LEASE);
        assertThat(last()).contains("OTHER_SET");
        assertThat(new LeaseConfig(List.of(A, B, C), 2, 1000, 0.01).fingerprint()).isNotEqualTo(CONFIG.fingerprint());
        assertThat(new LeaseConfig(List.of(A, B, C), 1, 3000, 0.01).fingerprint()).as("a holder with a longer lease time than its voters").isNotEqualTo(CONFIG.fingerprint());
        assertThat(new LeaseConfig(List.of(A, B, C), 1, 1000, 0).fingerprint()).isNotEqualTo(CONFIG.fingerprint());
    }

    @Test
    void answersAtOnceAfterCleanCloseAndKeepsPromises() throws Exception {
        Voter first = voter(storage(), 0);
        registerStart(first, 0, -1);
        first.prepare(2000, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(5, 1));
        first.propose(2000, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(5, 1), 0);
        first.close(2100);
        first.prepare(2200, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(9, 1));
        assertThat(last()).as("closed").contains("ABSTAINS");
        Voter second = voter(storage(), 5000);
        assertThat(second.isActive(5000)).isFalse();
        registerStart(second, 1, 0);
        assertThat(second.isActive(5000)).isTrue();
        second.prepare(5001, B, CONFIG.fingerprint(), LEASE, new Token(4, 2));
        assertThat(last()).contains("refused b l 4 LOWER 5");
        second.prepare(5001, B, CONFIG.fingerprint(), LEASE, new Token(6, 2));
        assertThat(last()).as("held for a whole lease time from the restart").isEqualTo("promised b l 6 5 x 999.0");
    }

    @Test
    void abstainsAfterACrashDespiteItsFile() {
        Voter first = voter(storage(), 0);
        registerStart(first, 0, -1);
        first.prepare(2000, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(5, 1));
        Voter second = voter(storage(), 5000);
        registerStart(second, 1, 0);
        assertThat(second.isActive(5999)).isFalse();
        assertThat(second.isActive(6000)).isTrue();
        second.prepare(6000, B, CONFIG.fingerprint(), LEASE, new Token(4, 2));
        assertThat(last()).as("promised rounds survive the restart").contains("LOWER 5");
    }

    @Test
    void detectsAFileRestoredFromAnEarlierClose() throws Exception {
        Voter first = voter(storage(), 0);
        registerStart(first, 0, -1);
        first.close(2000);
        byte[] copy = Files.readAllBytes(folder.resolve("voter"));
        Voter second = voter(storage(), 3000);
        registerStart(second, 1, 0);
        second.close(4000);
        Files.write(folder.resolve("voter"), copy);
        Voter third = voter(storage(), 5000);
        registerStart(third, 1, 1);
        assertThat(third.isActive(5500)).isFalse();
    }

    @Test
    void ignoresTruncatedOrForeignFile() throws Exception {
        Voter first = voter(storage(), 0);
        registerStart(first, 0, -1);
        first.close(2000);
        byte[] whole = Files.readAllBytes(folder.resolve("voter"));
        Files.write(folder.resolve("voter"), java.util.Arrays.copyOf(whole, whole.length / 2));
        assertThatThrownBy(() -> storage().read()).isInstanceOf(IOException.class);
        Voter truncated = voter(storage(), 5000);
        registerStart(truncated, 0, 0);
        assertThat(truncated.isActive(5500)).isFalse();
        Files.write(folder.resolve("voter"), whole);
        Voter foreign = new Voter(B, 1, CONFIG, out, storage(), 5000, 0);
        assertThat(foreign.isActive(5500)).isFalse();
        assertThat(foreign.leaseCount()).isZero();
    }

    @Test
    void refusesWhatCannotBePersisted() {
        VoterStorage full = new VoterStorage() {
            @Override
            public VoterState read() throws IOException {
                throw new IOException("none");
            }

            @Override
            public void write(VoterState state) throws IOException {
                throw new IOException("no space left");
            }
        };
        Voter voter = voter(full, 0);
        registerStart(voter, 0, -1);
        voter.prepare(2000, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(5, 1));
        assertThat(last()).contains("NOT_WRITTEN");
        voter.propose(2000, CANDIDATE, CONFIG.fingerprint(), LEASE, new Token(5, 1), 0);
        assertThat(last()).contains("NOT_WRITTEN");
        voter.ask(2000, CANDIDATE, CONFIG.fingerprint(), LEASE);
        assertThat(last()).startsWith("status x l 0 0");
    }

    @Test
    void leaseCountIsBounded() {
        Voter voter = voter(null, 0);
        for (int i = 0; i < Voter.MAX_LEASES + 5; i++) {
            voter.prepare(2000, CANDIDATE, CONFIG.fingerprint(), new LeaseName("l" + i), new Token(5, 1));
        }
        assertThat(voter.leaseCount()).isEqualTo(Voter.MAX_LEASES);
        assertThat(last()).contains("TOO_MANY");
    }
}
