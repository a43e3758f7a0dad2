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

/** One voter, what it says, and what it keeps in a file. */
class VoterTest {
    private static final MemberName A = new MemberName("a");
    private static final MemberName B = new MemberName("b");
    private static final MemberName C = new MemberName("c");
    private static final MemberName ASKS = new MemberName("x");
    private static final LeaseName LEASE = new LeaseName("l");
    private static final LeaseConfig TERMS = new LeaseConfig(List.of(A, B, C), 1, 1000, 0.01);

    @TempDir
    Path folder;
    private final List<String> said = new ArrayList<>();

    /** What a voter says, in words; a candidate's calls are none of its. */
    private final VoterMessages out = (VoterMessages) java.lang.reflect.Proxy.newProxyInstance(VoterMessages.class.getClassLoader(), new Class<?>[] {VoterMessages.class},
            (proxy, method, args) -> {
                StringBuilder words = new StringBuilder(method.getName());
                for (Object arg : args) {
                    words.append(' ').append(arg instanceof Token t ? t.round() : arg);
                }
                said.add(words.toString());
                return null;
            });

    private Voter voter(VoterStorage disk, double nowMs) {
        return new Voter(A, 1, TERMS, out, disk, nowMs, 0);
    }

    private VoterStorage disk() {
        return new VoterFile(folder.resolve("voter"));
    }

    private String last() {
        return said.get(said.size() - 1);
    }

    private static void known(Voter voter, long start, long before) {
        voter.startRegistered(B, start, 1, before);
        voter.startRegistered(C, start, 1, before);
    }

    @Test
    void withoutADiskItIsSilentForALease() {
        Voter voter = voter(null, 0);
        voter.prepare(999, ASKS, TERMS.fingerprint(), LEASE, new Token(5, 1));
        assertThat(last()).contains("refused x l 5 ABSTAINS");
        voter.prepare(1000, ASKS, TERMS.fingerprint(), LEASE, new Token(5, 1));
        assertThat(last()).startsWith("promised x l 5 0");
        voter.propose(1001, ASKS, TERMS.fingerprint(), LEASE, new Token(5, 1), 0);
        voter.prepare(1500, B, TERMS.fingerprint(), LEASE, new Token(6, 2));
        assertThat(last()).isEqualTo("promised b l 6 5 x 501.0");
        voter.propose(1501, ASKS, TERMS.fingerprint(), LEASE, new Token(5, 1), 1);
        assertThat(last()).contains("refused x l 5 LOWER 6");
    }

    @Test
    void anotherSetIsRefusedByName() {
        Voter voter = voter(null, 0);
        LeaseConfig other = new LeaseConfig(List.of(A, C, B), 1, 1000, 0.01);
        voter.ask(2000, ASKS, other.fingerprint(), LEASE);
        assertThat(last()).contains("OTHER_SET");
        assertThat(new LeaseConfig(List.of(A, B, C), 2, 1000, 0.01).fingerprint()).isNotEqualTo(TERMS.fingerprint());
        assertThat(new LeaseConfig(List.of(A, B, C), 1, 3000, 0.01).fingerprint()).as("a holder that counts longer than its voters").isNotEqualTo(TERMS.fingerprint());
        assertThat(new LeaseConfig(List.of(A, B, C), 1, 1000, 0).fingerprint()).isNotEqualTo(TERMS.fingerprint());
    }

    @Test
    void afterAnOrderlyEndItSpeaksAtOnceAndKnowsWhatItPromised() throws Exception {
        Voter first = voter(disk(), 0);
        known(first, 0, -1);
        first.prepare(2000, ASKS, TERMS.fingerprint(), LEASE, new Token(5, 1));
        first.propose(2000, ASKS, TERMS.fingerprint(), LEASE, new Token(5, 1), 0);
        first.close(2100);
        first.prepare(2200, ASKS, TERMS.fingerprint(), LEASE, new Token(9, 1));
        assertThat(last()).as("closed").contains("ABSTAINS");
        Voter second = voter(disk(), 5000);
        assertThat(second.speaks(5000)).isFalse();
        known(second, 1, 0);
        assertThat(second.speaks(5000)).isTrue();
        second.prepare(5001, B, TERMS.fingerprint(), LEASE, new Token(4, 2));
        assertThat(last()).contains("refused b l 4 LOWER 5");
        second.prepare(5001, B, TERMS.fingerprint(), LEASE, new Token(6, 2));
        assertThat(last()).as("held for a whole lease from the start").isEqualTo("promised b l 6 5 x 999.0");
    }

    @Test
    void afterACrashItIsSilentThoughItHasAFile() {
        Voter first = voter(disk(), 0);
        known(first, 0, -1);
        first.prepare(2000, ASKS, TERMS.fingerprint(), LEASE, new Token(5, 1));
        Voter second = voter(disk(), 5000);
        known(second, 1, 0);
        assertThat(second.speaks(5999)).isFalse();
        assertThat(second.speaks(6000)).isTrue();
        second.prepare(6000, B, TERMS.fingerprint(), LEASE, new Token(4, 2));
        assertThat(last()).as("rounds last").contains("LOWER 5");
    }

    @Test
    void aFileOfAnEarlierEndIsSeen() throws Exception {
        Voter first = voter(disk(), 0);
        known(first, 0, -1);
        first.close(2000);
        byte[] copy = Files.readAllBytes(folder.resolve("voter"));
        Voter second = voter(disk(), 3000);
        known(second, 1, 0);
        second.close(4000);
        Files.write(folder.resolve("voter"), copy);
        Voter third = voter(disk(), 5000);
        known(third, 1, 1);
        assertThat(third.speaks(5500)).isFalse();
    }

    @Test
    void aTornOrForeignFileIsNone() throws Exception {
        Voter first = voter(disk(), 0);
        known(first, 0, -1);
        first.close(2000);
        byte[] whole = Files.readAllBytes(folder.resolve("voter"));
        Files.write(folder.resolve("voter"), java.util.Arrays.copyOf(whole, whole.length / 2));
        assertThatThrownBy(() -> disk().read()).isInstanceOf(IOException.class);
        Voter torn = voter(disk(), 5000);
        known(torn, 0, 0);
        assertThat(torn.speaks(5500)).isFalse();
        Files.write(folder.resolve("voter"), whole);
        Voter foreign = new Voter(B, 1, TERMS, out, disk(), 5000, 0);
        assertThat(foreign.speaks(5500)).isFalse();
        assertThat(foreign.leases()).isZero();
    }

    @Test
    void whatCannotBeWrittenIsNotPromised() {
        VoterStorage full = new VoterStorage() {
            @Override
            public VoterState read() throws IOException {
                throw new IOException("none");
            }

            @Override
            public void write(VoterState kept) throws IOException {
                throw new IOException("no space left");
            }
        };
        Voter voter = voter(full, 0);
        known(voter, 0, -1);
        voter.prepare(2000, ASKS, TERMS.fingerprint(), LEASE, new Token(5, 1));
        assertThat(last()).contains("NOT_WRITTEN");
        voter.propose(2000, ASKS, TERMS.fingerprint(), LEASE, new Token(5, 1), 0);
        assertThat(last()).contains("NOT_WRITTEN");
        voter.ask(2000, ASKS, TERMS.fingerprint(), LEASE);
        assertThat(last()).startsWith("status x l 0 0");
    }

    @Test
    void leasesAreBounded() {
        Voter voter = voter(null, 0);
        for (int i = 0; i < Voter.MOST_LEASES + 5; i++) {
            voter.prepare(2000, ASKS, TERMS.fingerprint(), new LeaseName("l" + i), new Token(5, 1));
        }
        assertThat(voter.leases()).isEqualTo(Voter.MOST_LEASES);
        assertThat(last()).contains("TOO_MANY");
    }
}
