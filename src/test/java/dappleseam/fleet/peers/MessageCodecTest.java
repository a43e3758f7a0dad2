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
import dappleseam.fleet.peers.InvalidDatagramException.Reason;
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

/** Encoding and decoding of datagrams, and rejection of invalid ones. */
class MessageCodecTest {
    private static final int HEADER_BYTES = 6;

    private final MessageCodec codec = new MessageCodec("f");
    private final SplittableRandom random = new SplittableRandom(1);

    private static MemberEntry entry(int number, String name, State state) {
        return new MemberEntry(new MemberName(name), SimulatedFleet.address(number), new Generation(Generation.MAX_START - number, Long.MIN_VALUE + number), MemberEntry.MAX_INCARNATION,
                state, Integer.MIN_VALUE);
    }

    private static List<FleetMessage> messages() {
        MemberEntry sender = entry(1, "a".repeat(48), State.ALIVE);
        List<MemberEntry> updates = new ArrayList<>();
        for (int remaining = Membership.MAX_UPDATE_BYTES, i = 0; ; i++) {
            MemberEntry one = entry(i, "n".repeat(1 + i % 48), State.values()[i % 5]);
            remaining -= one.maxEncodedBytes();
            if (remaining < 0) {
                break;
            }
            updates.add(one);
        }
        int[] digests = new int[Membership.DIGEST_BUCKETS];
        Arrays.setAll(digests, i -> i * 0x9E3779B1);
        return List.of(new FleetMessage(Kind.PING, sender, Long.MAX_VALUE, sender.name(), null, updates, false, null),
                new FleetMessage(Kind.PING, sender, 1, null, null, List.of(), false, null), new FleetMessage(Kind.ACK, sender, -1, null, sender, updates, false, null),
                new FleetMessage(Kind.NACK, sender, 1, null, null, List.of(), false, null), new FleetMessage(Kind.ASK, sender, 1, null, sender, updates, false, null),
                new FleetMessage(Kind.SUMS, sender, 0, null, null, List.of(), true, digests), new FleetMessage(Kind.TELL, sender, 0, null, null, updates, false, null),
                FleetMessage.of(sender, largestAnnouncements()),
                FleetMessage.of(sender, new LeaseMessage(LeaseMessage.Op.PROMISED, Integer.MIN_VALUE,
                        new LeaseName("l".repeat(48)), new Token(Token.MAX_ROUND, Long.MIN_VALUE), Token.NONE, sender.name(), 86_400_000, Long.MAX_VALUE, -1,
                        VoterMessages.Refusal.TOO_MANY)));
    }

    private static List<Announcement> largestAnnouncements() {
        List<Announcement> announcements = new ArrayList<>();
        for (int remaining = AnnouncementStore.MAX_BATCH_BYTES, i = 0; ; i++) {
            List<NodeObservation> observations = Collections.nCopies(i % 2 * Announcement.MAX_OBSERVATIONS, new NodeObservation(new NodeId(Long.MIN_VALUE), NodeObservation.MAX_START, true, 86_400_000));
            Announcement one = new Announcement(new MemberName("n".repeat(1 + i % 48)), new Generation(Generation.MAX_START, Long.MIN_VALUE), Long.MAX_VALUE, Announcement.MAX_LOCATION, new AnnouncedTraffic(AnnouncedTraffic.MAX_PER_S, AnnouncedTraffic.MAX_PER_S, 86_400_000), observations);
            remaining -= one.maxEncodedBytes();
            if (remaining < 0) {
                return announcements;
            }
            announcements.add(one);
        }
    }

    private static byte[] withChecksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, HEADER_BYTES, length - HEADER_BYTES);
        ByteBuffer.wrap(bytes).putInt(2, (int) crc.getValue());
        return bytes;
    }

    private Reason reason(byte[] bytes, int length) {
        try {
            codec.decode(bytes, length);
            return null;
        } catch (InvalidDatagramException e) {
            return e.reason();
        }
    }

    @Test
    void largestMessagesRoundTripAndFit() throws Exception {
        for (FleetMessage message : messages()) {
            byte[] bytes = codec.encode(message);
            assertThat(bytes.length).isLessThanOrEqualTo(MessageCodec.MAX_BYTES);
            FleetMessage read = codec.decode(bytes, bytes.length);
            assertThat(read).usingRecursiveComparison().isEqualTo(message);
            assertThat(message.updates().stream().mapToInt(MemberEntry::maxEncodedBytes).sum()).as("size by maxEncodedBytes()").isLessThanOrEqualTo(Membership.MAX_UPDATE_BYTES);
        }
    }

    @Test
    void reportsEachReasonForInvalidDatagrams() {
        byte[] bytes = codec.encode(messages().get(1));
        byte[] other = new MessageCodec("g").encode(messages().get(1));
        byte[] newer = bytes.clone();
        newer[1]++;
        byte[] damaged = bytes.clone();
        damaged[20] ^= 1;
        assertThat(reason(bytes, HEADER_BYTES)).isEqualTo(Reason.SIZE);
        assertThat(reason(new byte[MessageCodec.MAX_BYTES + 1], MessageCodec.MAX_BYTES + 1)).isEqualTo(Reason.SIZE);
        assertThat(reason(newer, newer.length)).isEqualTo(Reason.VERSION);
        assertThat(reason(damaged, damaged.length)).isEqualTo(Reason.DAMAGED);
        assertThat(reason(other, other.length)).isEqualTo(Reason.FOREIGN);
        assertThat(reason(withChecksum(damaged, damaged.length), damaged.length)).isIn(Reason.MALFORMED, null);
        assertThat(reason(withChecksum(bytes.clone(), bytes.length - 1), bytes.length - 1)).isEqualTo(Reason.MALFORMED);
    }

    @Test
    void deepNestingIsRejected() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(new byte[HEADER_BYTES]);
        try (CBORGenerator cbor = new CBORFactory().createGenerator(out)) {
            for (int i = 0; i < 900; i++) {
                cbor.writeStartArray();
            }
            for (int i = 0; i < 900; i++) {
                cbor.writeEndArray();
            }
        }
        byte[] bytes = Arrays.copyOf(out.toByteArray(), MessageCodec.MAX_BYTES);
        System.arraycopy(codec.encode(messages().get(1)), 0, bytes, 0, 2);
        assertThat(reason(withChecksum(bytes, bytes.length), bytes.length)).isEqualTo(Reason.MALFORMED);
    }

    @Test
    void outOfRangeValuesAreRejected() {
        assertThatThrownBy(() -> new Generation(Generation.MAX_START + 1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Generation(-1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new MemberName("a b")).isInstanceOf(IllegalArgumentException.class);
        MemberEntry self = messages().get(0).sender();
        assertThatThrownBy(() -> new MemberEntry(self.name(), self.address(), self.generation(), -1, State.ALIVE, 0)).isInstanceOf(IllegalArgumentException.class);
    }

    /** Any bytes with a correct checksum either decode to a message, which the membership can handle, or are rejected with a reason. */
    @Test
    void fuzzedDatagramsAreDecodedOrRejected() {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.Module.SHIPPED, MembershipConfig.defaults(2), 2, 1);
        fleet.node(0).start(List.of());
        Membership receiving = fleet.node(0).membership();
        Set<Reason> seen = EnumSet.noneOf(Reason.class);
        int decoded = 0;
        List<byte[]> valid = messages().stream().map(codec::encode).toList();
        for (int i = 0; i < 60_000; i++) {
            byte[] bytes = valid.get(i % valid.size()).clone();
            int length = bytes.length;
            for (int changes = random.nextInt(6); changes >= 0; changes--) {
                int at = HEADER_BYTES + random.nextInt(bytes.length - HEADER_BYTES);
                switch (random.nextInt(4)) {
                    case 0 -> bytes[at] = (byte) random.nextInt(256);
                    case 1 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                    case 2 -> length = Math.min(length, at + 1);
                    default -> {
                        int from = HEADER_BYTES + random.nextInt(bytes.length - HEADER_BYTES);
                        int count = random.nextInt(Math.min(bytes.length - from, bytes.length - at));
                        System.arraycopy(bytes, from, bytes, at, count);
                    }
                }
            }
            try {
                codec.decode(withChecksum(bytes, length), length).deliver(SimulatedFleet.address(9), receiving.receiver(i));
                decoded++;
            } catch (InvalidDatagramException e) {
                seen.add(e.reason());
            }
        }
        assertThat(decoded).isPositive();
        assertThat(seen).contains(Reason.MALFORMED, Reason.FOREIGN);
        assertThat(receiving.view().size()).as("bounded").isLessThanOrEqualTo(MembershipConfig.DEFAULT_MAX_MEMBERS + 1);
    }
}
