package dappleseam.fleet.peers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import dappleseam.fleet.lease.Answers;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.membership.Notice.State;
import dappleseam.fleet.membership.Terms;
import dappleseam.fleet.peers.Letter.Kind;
import dappleseam.fleet.peers.Unreadable.Why;
import dappleseam.fleet.share.Board;
import dappleseam.fleet.share.Bulletin;
import dappleseam.fleet.share.Sight;
import dappleseam.fleet.share.Traffic;
import dappleseam.lab.fleet.SimulatedFleet;
import dappleseam.router.NodeId;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of datagrams, and rejection of invalid ones. */
class EnvelopeTest {
    private static final int HEAD = 6;

    private final Envelope envelope = new Envelope("f");
    private final SplittableRandom random = new SplittableRandom(1);

    private static Notice notice(int number, String name, State state) {
        return new Notice(new MemberName(name), SimulatedFleet.address(number), new Life(Life.LATEST - number, Long.MIN_VALUE + number), Notice.LAST,
                state, Integer.MIN_VALUE);
    }

    private static List<Letter> letters() {
        Notice self = notice(1, "a".repeat(48), State.ALIVE);
        List<Notice> news = new ArrayList<>();
        for (int room = Membership.NEWS_BYTES, i = 0; ; i++) {
            Notice one = notice(i, "n".repeat(1 + i % 48), State.values()[i % 5]);
            room -= one.bytes();
            if (room < 0) {
                break;
            }
            news.add(one);
        }
        int[] sums = new int[Membership.PARTS];
        Arrays.setAll(sums, i -> i * 0x9E3779B1);
        return List.of(new Letter(Kind.PING, self, Long.MAX_VALUE, self.name(), null, news, false, null),
                new Letter(Kind.PING, self, 1, null, null, List.of(), false, null), new Letter(Kind.ACK, self, -1, null, self, news, false, null),
                new Letter(Kind.NACK, self, 1, null, null, List.of(), false, null), new Letter(Kind.ASK, self, 1, null, self, news, false, null),
                new Letter(Kind.SUMS, self, 0, null, null, List.of(), true, sums), new Letter(Kind.TELL, self, 0, null, null, news, false, null),
                Letter.of(self, fullest()),
                Letter.of(self, new Ballot(Ballot.Op.PROMISED, Integer.MIN_VALUE,
                        new LeaseName("l".repeat(48)), new Token(Token.LAST, Long.MIN_VALUE), Token.NONE, self.name(), 86_400_000, Long.MAX_VALUE, -1,
                        Answers.Refusal.TOO_MANY)));
    }

    private static List<Bulletin> fullest() {
        List<Bulletin> bulletins = new ArrayList<>();
        for (int room = Board.NEWS_BYTES, i = 0; ; i++) {
            List<Sight> sights = Collections.nCopies(i % 2 * Bulletin.MOST_SIGHTS, new Sight(new NodeId(Long.MIN_VALUE), Sight.LATEST, true, 86_400_000));
            Bulletin one = new Bulletin(new MemberName("n".repeat(1 + i % 48)), new Life(Life.LATEST, Long.MIN_VALUE), Long.MAX_VALUE, Bulletin.LAST_LOCATION, new Traffic(Traffic.MOST, Traffic.MOST, 86_400_000), sights);
            room -= one.bytes();
            if (room < 0) {
                return bulletins;
            }
            bulletins.add(one);
        }
    }

    private static byte[] sealed(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, HEAD, length - HEAD);
        ByteBuffer.wrap(bytes).putInt(2, (int) sum.getValue());
        return bytes;
    }

    private Why why(byte[] bytes, int length) {
        try {
            envelope.read(bytes, length);
            return null;
        } catch (Unreadable e) {
            return e.why();
        }
    }

    @Test
    void whatGoesOutComesInAndFitsEvenAtItsLongest() throws Exception {
        for (Letter letter : letters()) {
            byte[] bytes = envelope.write(letter);
            assertThat(bytes.length).isLessThanOrEqualTo(Envelope.LONGEST);
            Letter read = envelope.read(bytes, bytes.length);
            assertThat(read).usingRecursiveComparison().isEqualTo(letter);
            assertThat(letter.news().stream().mapToInt(Notice::bytes).sum()).as("size by maxEncodedBytes()").isLessThanOrEqualTo(Membership.NEWS_BYTES);
        }
    }

    @Test
    void eachKindOfUnreadableIsTold() {
        byte[] bytes = envelope.write(letters().get(1));
        byte[] other = new Envelope("g").write(letters().get(1));
        byte[] newer = bytes.clone();
        newer[1]++;
        byte[] damaged = bytes.clone();
        damaged[20] ^= 1;
        assertThat(why(bytes, HEAD)).isEqualTo(Why.SIZE);
        assertThat(why(new byte[Envelope.LONGEST + 1], Envelope.LONGEST + 1)).isEqualTo(Why.SIZE);
        assertThat(why(newer, newer.length)).isEqualTo(Why.VERSION);
        assertThat(why(damaged, damaged.length)).isEqualTo(Why.DAMAGED);
        assertThat(why(other, other.length)).isEqualTo(Why.FOREIGN);
        assertThat(why(sealed(damaged, damaged.length), damaged.length)).isIn(Why.MALFORMED, null);
        assertThat(why(sealed(bytes.clone(), bytes.length - 1), bytes.length - 1)).isEqualTo(Why.MALFORMED);
    }

    @Test
    void nestedDeepIsDropped() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(new byte[HEAD]);
        try (CBORGenerator cbor = new CBORFactory().createGenerator(out)) {
            for (int i = 0; i < 900; i++) {
                cbor.writeStartArray();
            }
            for (int i = 0; i < 900; i++) {
                cbor.writeEndArray();
            }
        }
        byte[] bytes = Arrays.copyOf(out.toByteArray(), Envelope.LONGEST);
        System.arraycopy(envelope.write(letters().get(1)), 0, bytes, 0, 2);
        assertThat(why(sealed(bytes, bytes.length), bytes.length)).isEqualTo(Why.MALFORMED);
    }

    @Test
    void absurdNumbersAreNoNotices() {
        assertThatThrownBy(() -> new Life(Life.LATEST + 1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Life(-1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new MemberName("a b")).isInstanceOf(IllegalArgumentException.class);
        Notice self = letters().get(0).self();
        assertThatThrownBy(() -> new Notice(self.name(), self.address(), self.life(), -1, State.ALIVE, 0)).isInstanceOf(IllegalArgumentException.class);
    }

    /** Any bytes with a correct checksum either decode to a message, which the membership can handle, or are rejected with a reason. */
    @Test
    void noBytesDoAnythingElse() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.Module.SHIPPED, Terms.usual(2), 2, 1);
        fleet.node(0).start(List.of());
        Membership told = fleet.node(0).membership();
        Set<Why> seen = EnumSet.noneOf(Why.class);
        int read = 0;
        List<byte[]> sound = letters().stream().map(envelope::write).toList();
        for (int i = 0; i < 60_000; i++) {
            byte[] bytes = sound.get(i % sound.size()).clone();
            int length = bytes.length;
            for (int changes = random.nextInt(6); changes >= 0; changes--) {
                int at = HEAD + random.nextInt(bytes.length - HEAD);
                switch (random.nextInt(4)) {
                    case 0 -> bytes[at] = (byte) random.nextInt(256);
                    case 1 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                    case 2 -> length = Math.min(length, at + 1);
                    default -> {
                        int from = HEAD + random.nextInt(bytes.length - HEAD);
                        int count = random.nextInt(Math.min(bytes.length - from, bytes.length - at));
                        System.arraycopy(bytes, from, bytes, at, count);
                    }
                }
            }
            try {
                envelope.read(sealed(bytes, length), length).tell(SimulatedFleet.address(9), told.heard(i));
                read++;
            } catch (Unreadable e) {
                seen.add(e.why());
            }
        }
        assertThat(read).isPositive();
        assertThat(seen).contains(Why.MALFORMED, Why.FOREIGN);
        assertThat(told.view().size()).as("bounded").isLessThanOrEqualTo(Terms.MOST + 1);
    }
}
