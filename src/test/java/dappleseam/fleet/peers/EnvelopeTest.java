package dappleseam.fleet.peers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import dappleseam.fleet.lease.VoterMessages;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MemberEntry.State;
import dappleseam.fleet.membership.MembershipConfig;
import dappleseam.fleet.peers.FleetMessage.Kind;
import dappleseam.fleet.peers.InvalidDatagramException.Why;
import dappleseam.fleet.share.AnnouncementStore;
import dappleseam.fleet.share.Announcement;
import dappleseam.fleet.share.NodeObservation;
import dappleseam.fleet.share.AnnouncedTraffic;
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

/** Datagrams as they go out, and whatever may come in. */
class EnvelopeTest {
    private static final int HEAD = 6;

    private final MessageCodec envelope = new MessageCodec("f");
    private final SplittableRandom random = new SplittableRandom(1);

    private static MemberEntry notice(int number, String name, State state) {
        return new MemberEntry(new MemberName(name), SimulatedFleet.address(number), new Generation(Generation.MAX_START - number, Long.MIN_VALUE + number), MemberEntry.MAX_INCARNATION,
                state, Integer.MIN_VALUE);
    }

    private static List<FleetMessage> letters() {
        MemberEntry self = notice(1, "a".repeat(48), State.ALIVE);
        List<MemberEntry> news = new ArrayList<>();
        for (int room = Membership.MAX_UPDATE_BYTES, i = 0; ; i++) {
            MemberEntry one = notice(i, "n".repeat(1 + i % 48), State.values()[i % 5]);
            room -= one.maxEncodedBytes();
            if (room < 0) {
                break;
            }
            news.add(one);
        }
        int[] sums = new int[Membership.DIGEST_BUCKETS];
        Arrays.setAll(sums, i -> i * 0x9E3779B1);
        return List.of(new FleetMessage(Kind.PING, self, Long.MAX_VALUE, self.name(), null, news, false, null),
                new FleetMessage(Kind.PING, self, 1, null, null, List.of(), false, null), new FleetMessage(Kind.ACK, self, -1, null, self, news, false, null),
                new FleetMessage(Kind.NACK, self, 1, null, null, List.of(), false, null), new FleetMessage(Kind.ASK, self, 1, null, self, news, false, null),
                new FleetMessage(Kind.SUMS, self, 0, null, null, List.of(), true, sums), new FleetMessage(Kind.TELL, self, 0, null, null, news, false, null),
                FleetMessage.of(self, fullest()),
                FleetMessage.of(self, new LeaseMessage(LeaseMessage.Op.PROMISED, Integer.MIN_VALUE,
                        new LeaseName("l".repeat(48)), new Token(Token.MAX_ROUND, Long.MIN_VALUE), Token.NONE, self.name(), 86_400_000, Long.MAX_VALUE, -1,
                        VoterMessages.Refusal.TOO_MANY)));
    }

    private static List<Announcement> fullest() {
        List<Announcement> bulletins = new ArrayList<>();
        for (int room = AnnouncementStore.MAX_BATCH_BYTES, i = 0; ; i++) {
            List<NodeObservation> sights = Collections.nCopies(i % 2 * Announcement.MAX_OBSERVATIONS, new NodeObservation(new NodeId(Long.MIN_VALUE), NodeObservation.MAX_START, true, 86_400_000));
            Announcement one = new Announcement(new MemberName("n".repeat(1 + i % 48)), new Generation(Generation.MAX_START, Long.MIN_VALUE), Long.MAX_VALUE, Announcement.MAX_LOCATION, new AnnouncedTraffic(AnnouncedTraffic.MAX_PER_S, AnnouncedTraffic.MAX_PER_S, 86_400_000), sights);
            room -= one.maxEncodedBytes();
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
            envelope.decode(bytes, length);
            return null;
        } catch (InvalidDatagramException e) {
            return e.why();
        }
    }

    @Test
    void whatGoesOutComesInAndFitsEvenAtItsLongest() throws Exception {
        for (FleetMessage letter : letters()) {
            byte[] bytes = envelope.encode(letter);
            assertThat(bytes.length).isLessThanOrEqualTo(MessageCodec.LONGEST);
            FleetMessage read = envelope.decode(bytes, bytes.length);
            assertThat(read).usingRecursiveComparison().isEqualTo(letter);
            assertThat(letter.updates().stream().mapToInt(MemberEntry::maxEncodedBytes).sum()).as("what is reckoned with").isLessThanOrEqualTo(Membership.MAX_UPDATE_BYTES);
        }
    }

    @Test
    void eachKindOfUnreadableIsTold() {
        byte[] bytes = envelope.encode(letters().get(1));
        byte[] other = new MessageCodec("g").encode(letters().get(1));
        byte[] newer = bytes.clone();
        newer[1]++;
        byte[] damaged = bytes.clone();
        damaged[20] ^= 1;
        assertThat(why(bytes, HEAD)).isEqualTo(Why.SIZE);
        assertThat(why(new byte[MessageCodec.LONGEST + 1], MessageCodec.LONGEST + 1)).isEqualTo(Why.SIZE);
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
        byte[] bytes = Arrays.copyOf(out.toByteArray(), MessageCodec.LONGEST);
        System.arraycopy(envelope.encode(letters().get(1)), 0, bytes, 0, 2);
        assertThat(why(sealed(bytes, bytes.length), bytes.length)).isEqualTo(Why.MALFORMED);
    }

    @Test
    void absurdNumbersAreNoNotices() {
        assertThatThrownBy(() -> new Generation(Generation.MAX_START + 1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Generation(-1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new MemberName("a b")).isInstanceOf(IllegalArgumentException.class);
        MemberEntry self = letters().get(0).sender();
        assertThatThrownBy(() -> new MemberEntry(self.name(), self.address(), self.generation(), -1, State.ALIVE, 0)).isInstanceOf(IllegalArgumentException.class);
    }

    /** Whatever bytes come behind a right check sum: a letter or a reason, nothing else, and what is read can be told to a membership. */
    @Test
    void noBytesDoAnythingElse() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.Module.SHIPPED, MembershipConfig.defaults(2), 2, 1);
        fleet.node(0).start(List.of());
        Membership told = fleet.node(0).membership();
        Set<Why> seen = EnumSet.noneOf(Why.class);
        int read = 0;
        List<byte[]> sound = letters().stream().map(envelope::encode).toList();
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
                envelope.decode(sealed(bytes, length), length).deliver(SimulatedFleet.address(9), told.receiver(i));
                read++;
            } catch (InvalidDatagramException e) {
                seen.add(e.why());
            }
        }
        assertThat(read).isPositive();
        assertThat(seen).contains(Why.MALFORMED, Why.FOREIGN);
        assertThat(told.view().size()).as("bounded").isLessThanOrEqualTo(MembershipConfig.DEFAULT_MAX_MEMBERS + 1);
    }
}
