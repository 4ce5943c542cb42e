package org.wigeonglade.gateway.job;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;

/**
 * Reads and writes claims as field 14 of a datagram, which hosts of earlier versions
 * ignore. Each claim is a message with the hash of the item as field 1, fixed64, and the
 * number of events as field 2, varint. Stateless.
 */
public final class OutputClaimCodec {

	private static final int FIELD = 14;

	private static final int ITEM_HASH_FIELD = 1;

	private static final int EVENTS_FIELD = 2;

	private OutputClaimCodec() {
	}

	/**
	 * Writes claims.
	 * @param claims the claims, not null
	 * @return the field of the datagram, never null
	 */
	public static UnknownFieldSet write(List<OutputClaims.Claim> claims) {
		if (claims.isEmpty()) {
			return UnknownFieldSet.getDefaultInstance();
		}
		UnknownFieldSet.Field.Builder field = UnknownFieldSet.Field.newBuilder();
		claims.forEach((claim) -> field.addLengthDelimited(write(claim)));
		return UnknownFieldSet.newBuilder().addField(FIELD, field.build()).build();
	}

	/**
	 * Reads claims.
	 * @param fields the fields of the datagram without the generated ones, not null
	 * @return the claims, never null
	 * @throws InvalidProtocolBufferException if a claim cannot be decoded
	 */
	public static List<OutputClaims.Claim> read(UnknownFieldSet fields) throws InvalidProtocolBufferException {
		List<OutputClaims.Claim> claims = new ArrayList<>();
		for (ByteString message : fields.getField(FIELD).getLengthDelimitedList()) {
			UnknownFieldSet claim = UnknownFieldSet.parseFrom(message);
			List<Long> itemHash = claim.getField(ITEM_HASH_FIELD).getFixed64List();
			List<Long> events = claim.getField(EVENTS_FIELD).getVarintList();
			if (itemHash.isEmpty() || events.isEmpty()) {
				throw new InvalidProtocolBufferException("a claim has no item or no events");
			}
			claims.add(new OutputClaims.Claim(itemHash.getLast(), Math.toIntExact(events.getLast())));
		}
		return claims;
	}

	private static ByteString write(OutputClaims.Claim claim) {
		return UnknownFieldSet.newBuilder()
			.addField(ITEM_HASH_FIELD, UnknownFieldSet.Field.newBuilder().addFixed64(claim.itemHash()).build())
			.addField(EVENTS_FIELD, UnknownFieldSet.Field.newBuilder().addVarint(claim.events()).build())
			.build()
			.toByteString();
	}

}
