package dappleseam.fleet.peers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import dappleseam.fleet.lease.VoterMessages;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.peers.FleetMessage.Kind;
import dappleseam.fleet.peers.InvalidDatagramException.Reason;
import dappleseam.fleet.share.Announcement;
import dappleseam.fleet.share.NodeObservation;
import dappleseam.fleet.share.AnnouncedTraffic;
import dappleseam.router.NodeId;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes datagrams: a magic byte, a version byte, the CRC-32C of the rest, and one CBOR array (RFC 8949). Not thread-safe.
 */
public final class MessageCodec {
    /** Maximum datagram size in bytes: passes every usual link without fragmentation. */
    public static final int MAX_BYTES = 1400;
    private static final int HEADER_BYTES = 6;
    private static final byte MAGIC = (byte) 0xD5;
    private static final byte VERSION = 2;
    private static final int MAX_NESTING = 3;
    /** Fields of a message without announcements. */
    private static final int MESSAGE_FIELDS = 10;
    private static final int MAX_NAME_LENGTH = 48;
    private static final int ADDRESS_BYTES = 6;
    /** Maximum number of membership updates in a datagram: each takes over 30 bytes. */
    private static final int MAX_UPDATES = 64;
    private static final int LEASE_MESSAGE_FIELDS = 12;
    private static final int ANNOUNCEMENT_FIELDS = 8;
    private static final int OBSERVATION_FIELDS = 4;
    /** Maximum number of announcements in a datagram: each takes over 30 bytes. */
    private static final int MAX_ANNOUNCEMENTS = 48;
    /** Maximum of remaining lease times and ages: one day, longer than any lease. */
    private static final long MAX_DURATION_MS = 86_400_000;
    private static final LeaseMessage.Op[] OPS = LeaseMessage.Op.values();
    private static final VoterMessages.Refusal[] REFUSALS = VoterMessages.Refusal.values();
    private static final Kind[] KINDS = Kind.values();
    private static final MemberEntry.State[] STATES = MemberEntry.State.values();

    private final CBORFactory format = CBORFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
            .maxNestingDepth(MAX_NESTING).maxStringLength(MAX_NAME_LENGTH).maxNumberLength(20).maxDocumentLength(MAX_BYTES).build()).build();
    private final CRC32C crc = new CRC32C();
    private final int fleetHash;

    /** A codec for the datagrams of one fleet; those of another fleet are rejected. */
    public MessageCodec(String fleet) {
        this.fleetHash = fleet.hashCode();
    }

    /** Encodes a message as a whole datagram. */
    public byte[] encode(FleetMessage message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(MAX_BYTES);
        out.writeBytes(new byte[HEADER_BYTES]);
        try (CBORGenerator cbor = format.createGenerator(out)) {
            cbor.writeStartArray(null, message.announcements() == null ? MESSAGE_FIELDS : MESSAGE_FIELDS + 1);
            cbor.writeNumber(fleetHash);
            cbor.writeNumber(message.kind().ordinal());
            encode(cbor, message.sender());
            cbor.writeNumber(message.sequence());
            if (message.target() == null) {
                cbor.writeNull();
            } else {
                cbor.writeString(message.target().text());
            }
            if (message.subject() == null) {
                cbor.writeNull();
            } else {
                encode(cbor, message.subject());
            }
            cbor.writeStartArray(null, message.updates().size());
            for (MemberEntry entry : message.updates()) {
                encode(cbor, entry);
            }
            cbor.writeEndArray();
            cbor.writeBoolean(message.isReply());
            if (message.digests() == null) {
                cbor.writeNull();
            } else {
                ByteBuffer bytes = ByteBuffer.allocate(Integer.BYTES * message.digests().length);
                bytes.asIntBuffer().put(message.digests());
                cbor.writeBinary(bytes.array());
            }
            if (message.leaseMessage() == null) {
                cbor.writeNull();
            } else {
                encode(cbor, message.leaseMessage());
            }
            if (message.announcements() != null) { // older versions drop messages with this field, and read all others
                cbor.writeStartArray(null, message.announcements().size());
                for (Announcement announcement : message.announcements()) {
                    encode(cbor, announcement);
                }
                cbor.writeEndArray();
            }
            cbor.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        byte[] bytes = out.toByteArray();
        ByteBuffer.wrap(bytes).put(MAGIC).put(VERSION).putInt(checksum(bytes, bytes.length));
        return bytes;
    }

    private static void encode(CBORGenerator cbor, LeaseMessage leaseMessage) throws IOException {
        cbor.writeStartArray(null, LEASE_MESSAGE_FIELDS);
        cbor.writeNumber(leaseMessage.op().ordinal());
        cbor.writeNumber(leaseMessage.configFingerprint());
        cbor.writeString(leaseMessage.lease().text());
        encode(cbor, leaseMessage.ballot());
        encode(cbor, leaseMessage.otherToken());
        cbor.writeString(leaseMessage.holder() == null ? "" : leaseMessage.holder().text());
        cbor.writeNumber(Math.round(leaseMessage.remainingMs()));
        cbor.writeNumber(leaseMessage.number());
        cbor.writeNumber(leaseMessage.previousStart());
        cbor.writeNumber(leaseMessage.reason().ordinal());
        cbor.writeEndArray();
    }

    private static void encode(CBORGenerator cbor, Token token) throws IOException {
        cbor.writeNumber(token.round());
        cbor.writeNumber(token.nonce());
    }

    private static LeaseMessage decodeLeaseMessage(JsonParser cbor) throws IOException {
        require(cbor.currentToken() == JsonToken.START_ARRAY);
        LeaseMessage.Op op = OPS[(int) decodeInteger(cbor, 0, OPS.length - 1)];
        int configFingerprint = (int) decodeInteger(cbor, Integer.MIN_VALUE, Integer.MAX_VALUE);
        require(cbor.nextToken() == JsonToken.VALUE_STRING);
        LeaseName lease = new LeaseName(cbor.getText());
        Token ballot = decodeToken(cbor);
        Token otherToken = decodeToken(cbor);
        require(cbor.nextToken() == JsonToken.VALUE_STRING);
        MemberName holder = cbor.getText().isEmpty() ? null : new MemberName(cbor.getText());
        long remainingMs = decodeInteger(cbor, 0, MAX_DURATION_MS);
        long number = decodeInteger(cbor, 0, Long.MAX_VALUE);
        long previousStart = decodeInteger(cbor, -1, Long.MAX_VALUE);
        VoterMessages.Refusal reason = REFUSALS[(int) decodeInteger(cbor, 0, REFUSALS.length - 1)];
        require(cbor.nextToken() == JsonToken.END_ARRAY);
        return new LeaseMessage(op, configFingerprint, lease, ballot, otherToken, holder, remainingMs, number, previousStart, reason);
    }

    private static void encode(CBORGenerator cbor, Announcement announcement) throws IOException {
        cbor.writeStartArray(null, ANNOUNCEMENT_FIELDS + OBSERVATION_FIELDS * announcement.observations().size());
        cbor.writeString(announcement.member().text());
        cbor.writeNumber(announcement.generation().start());
        cbor.writeNumber(announcement.generation().nonce());
        cbor.writeNumber(announcement.number());
        cbor.writeNumber(announcement.location());
        cbor.writeNumber(announcement.traffic().previous());
        cbor.writeNumber(announcement.traffic().current());
        cbor.writeNumber(Math.min(announcement.traffic().ageMs(), MAX_DURATION_MS));
        for (NodeObservation observation : announcement.observations()) {
            cbor.writeNumber(observation.node().value());
            cbor.writeNumber(observation.startedAtMs());
            cbor.writeBoolean(observation.failing());
            cbor.writeNumber(Math.min(observation.ageMs(), MAX_DURATION_MS));
        }
        cbor.writeEndArray();
    }

    /** Decodes an announcement whose start of array was consumed. */
    private static Announcement decodeAnnouncement(JsonParser cbor) throws IOException {
        require(cbor.nextToken() == JsonToken.VALUE_STRING);
        MemberName member = new MemberName(cbor.getText());
        Generation generation = new Generation(decodeInteger(cbor, 0, Generation.MAX_START), decodeInteger(cbor, Long.MIN_VALUE, Long.MAX_VALUE));
        long number = decodeInteger(cbor, 0, Long.MAX_VALUE);
        int location = (int) decodeInteger(cbor, Announcement.NO_LOCATION, Announcement.MAX_LOCATION);
        AnnouncedTraffic traffic = new AnnouncedTraffic((int) decodeInteger(cbor, 0, AnnouncedTraffic.MAX_PER_S), (int) decodeInteger(cbor, 0, AnnouncedTraffic.MAX_PER_S), decodeInteger(cbor, 0, MAX_DURATION_MS));
        List<NodeObservation> observations = new ArrayList<>();
        while (cbor.nextToken() == JsonToken.VALUE_NUMBER_INT) {
            require(observations.size() < Announcement.MAX_OBSERVATIONS);
            NodeId node = new NodeId(cbor.getLongValue());
            long startedAt = decodeInteger(cbor, 0, NodeObservation.MAX_START);
            boolean failing = cbor.nextToken() == JsonToken.VALUE_TRUE;
            require(failing || cbor.currentToken() == JsonToken.VALUE_FALSE);
            observations.add(new NodeObservation(node, startedAt, failing, decodeInteger(cbor, 0, MAX_DURATION_MS)));
        }
        require(cbor.currentToken() == JsonToken.END_ARRAY);
        return new Announcement(member, generation, number, location, traffic, observations);
    }

    private static List<Announcement> decodeAnnouncements(JsonParser cbor) throws IOException {
        List<Announcement> announcements = new ArrayList<>();
        require(cbor.nextToken() == JsonToken.START_ARRAY);
        while (cbor.nextToken() == JsonToken.START_ARRAY) {
            require(announcements.size() < MAX_ANNOUNCEMENTS);
            announcements.add(decodeAnnouncement(cbor));
        }
        require(cbor.currentToken() == JsonToken.END_ARRAY);
        return announcements;
    }

    private static Token decodeToken(JsonParser cbor) throws IOException {
        return new Token(decodeInteger(cbor, 0, Token.MAX_ROUND), decodeInteger(cbor, Long.MIN_VALUE, Long.MAX_VALUE));
    }

    private static void encode(CBORGenerator cbor, MemberEntry entry) throws IOException {
        cbor.writeStartArray(null, 7);
        cbor.writeString(entry.name().text());
        byte[] address = ByteBuffer.allocate(ADDRESS_BYTES).put(entry.address().getAddress().getAddress())
                .putShort((short) entry.address().getPort()).array();
        cbor.writeBinary(address);
        cbor.writeNumber(entry.generation().start());
        cbor.writeNumber(entry.generation().nonce());
        cbor.writeNumber(entry.incarnation());
        cbor.writeNumber(entry.state().ordinal());
        cbor.writeNumber(entry.accuser());
        cbor.writeEndArray();
    }

    private int checksum(byte[] bytes, int length) {
        crc.reset();
        crc.update(bytes, HEADER_BYTES, length - HEADER_BYTES);
        return (int) crc.getValue();
    }

    /** Decodes a datagram; rejects everything that is not exactly what a proxy sends. */
    public FleetMessage decode(byte[] bytes, int length) throws InvalidDatagramException {
        if (length <= HEADER_BYTES || length > MAX_BYTES) {
            throw new InvalidDatagramException(Reason.SIZE);
        }
        if (bytes[0] != MAGIC || bytes[1] != VERSION) {
            throw new InvalidDatagramException(Reason.VERSION);
        }
        if (ByteBuffer.wrap(bytes, 2, Integer.BYTES).getInt() != checksum(bytes, length)) {
            throw new InvalidDatagramException(Reason.DAMAGED);
        }
        try (JsonParser cbor = format.createParser(bytes, HEADER_BYTES, length - HEADER_BYTES)) {
            require(cbor.nextToken() == JsonToken.START_ARRAY);
            if (decodeInteger(cbor, Integer.MIN_VALUE, Integer.MAX_VALUE) != fleetHash) {
                throw new InvalidDatagramException(Reason.FOREIGN);
            }
            Kind kind = KINDS[(int) decodeInteger(cbor, 0, KINDS.length - 1)];
            require(cbor.nextToken() == JsonToken.START_ARRAY);
            MemberEntry sender = decodeEntry(cbor);
            long sequence = decodeInteger(cbor, Long.MIN_VALUE, Long.MAX_VALUE);
            MemberName target = cbor.nextToken() == JsonToken.VALUE_NULL ? null : decodeName(cbor);
            MemberEntry subject = cbor.nextToken() == JsonToken.VALUE_NULL ? null : decodeEntry(cbor);
            List<MemberEntry> updates = new ArrayList<>();
            require(cbor.nextToken() == JsonToken.START_ARRAY);
            while (cbor.nextToken() == JsonToken.START_ARRAY) {
                require(updates.size() < MAX_UPDATES);
                updates.add(decodeEntry(cbor));
            }
            require(cbor.currentToken() == JsonToken.END_ARRAY);
            boolean isReply = cbor.nextToken() == JsonToken.VALUE_TRUE;
            require(isReply || cbor.currentToken() == JsonToken.VALUE_FALSE);
            int[] digests = cbor.nextToken() == JsonToken.VALUE_NULL ? null : decodeDigests(cbor);
            LeaseMessage leaseMessage = cbor.nextToken() == JsonToken.VALUE_NULL ? null : decodeLeaseMessage(cbor);
            List<Announcement> announcements = kind == Kind.BULLETINS ? decodeAnnouncements(cbor) : null;
            require(cbor.nextToken() == JsonToken.END_ARRAY && cbor.nextToken() == null);
            require((kind == Kind.BALLOT) == (leaseMessage != null) && (kind == Kind.SUMS) == (digests != null) && (kind != Kind.ASK || subject != null));
            return new FleetMessage(kind, sender, sequence, target, subject, updates, isReply, digests, leaseMessage, announcements);
        } catch (InvalidDatagramException e) {
            throw e;
        } catch (IOException | RuntimeException e) { // any failure of the parser on malformed input
            throw new InvalidDatagramException(Reason.MALFORMED);
        }
    }

    private static void require(boolean isValid) throws InvalidDatagramException {
        if (!isValid) {
            throw new InvalidDatagramException(Reason.MALFORMED);
        }
    }

    /** Decodes an integer within a range, both ends included. */
    private static long decodeInteger(JsonParser cbor, long lowest, long highest) throws IOException {
        require(cbor.nextToken() == JsonToken.VALUE_NUMBER_INT);
        long number = cbor.getLongValue();
        require(number >= lowest && number <= highest);
        return number;
    }

    private static MemberName decodeName(JsonParser cbor) throws IOException {
        require(cbor.currentToken() == JsonToken.VALUE_STRING);
        return new MemberName(cbor.getText());
    }

    private static int[] decodeDigests(JsonParser cbor) throws IOException {
        require(cbor.currentToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
        byte[] bytes = cbor.getBinaryValue();
        require(bytes.length == Integer.BYTES * Membership.DIGEST_BUCKETS);
        int[] digests = new int[Membership.DIGEST_BUCKETS];
        ByteBuffer.wrap(bytes).asIntBuffer().get(digests);
        return digests;
    }

    /** Decodes a member entry whose start of array was consumed. */
    private static MemberEntry decodeEntry(JsonParser cbor) throws IOException {
        require(cbor.currentToken() == JsonToken.START_ARRAY);
        cbor.nextToken();
        MemberName name = decodeName(cbor);
        require(cbor.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
        byte[] address = cbor.getBinaryValue();
        require(address.length == ADDRESS_BYTES);
        ByteBuffer parts = ByteBuffer.wrap(address);
        byte[] host = new byte[ADDRESS_BYTES - Short.BYTES];
        parts.get(host);
        InetSocketAddress at = new InetSocketAddress(InetAddress.getByAddress(host), Short.toUnsignedInt(parts.getShort()));
        Generation generation = new Generation(decodeInteger(cbor, 0, Generation.MAX_START), decodeInteger(cbor, Long.MIN_VALUE, Long.MAX_VALUE));
        int incarnation = (int) decodeInteger(cbor, 0, MemberEntry.MAX_INCARNATION);
        MemberEntry.State state = STATES[(int) decodeInteger(cbor, 0, STATES.length - 1)];
        int accuser = (int) decodeInteger(cbor, Integer.MIN_VALUE, Integer.MAX_VALUE);
        require(cbor.nextToken() == JsonToken.END_ARRAY);
        return new MemberEntry(name, at, generation, incarnation, state, accuser);
    }
}
