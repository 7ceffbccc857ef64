package io.cherryspool.mesh;

import io.cherryspool.mesh.Mesh.PeerHeartbeat;
import io.cherryspool.mesh.Mesh.RetainedRecordsSummary;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads and writes heartbeats between nodes as MessagePack arrays. Nodes are upgraded one at a
 * time, so that nodes of different versions exchange heartbeats: fields that earlier versions do
 * not send have defaults; later versions add fields only at the end, and this version ignores them.
 */
final class PeerHeartbeatCodec {
  private static final int MIN_FIELDS = 6;
  private static final int FIELDS_WITH_RETAINED_RECORDS = 12;
  private static final int ALL_FIELDS = 13;

  private PeerHeartbeatCodec() {}

  /** Encodes a heartbeat as one message. */
  static byte[] encode(PeerHeartbeat heartbeat) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(ALL_FIELDS);
      packer.packString(heartbeat.node());
      packer.packLong(heartbeat.term());
      packer.packBoolean(heartbeat.isStateStoreReachable());
      packer.packInt(heartbeat.stateStoreReadAgeMillis());
      packer.packInt(heartbeat.redirectedWorkers());
      packer.packInt(heartbeat.writeRateTenths());
      packer.packInt(heartbeat.retainedRecords().recoveryPhase());
      packer.packLong(heartbeat.retainedRecords().incarnation());
      packer.packString(heartbeat.retainedRecords().nonce());
      packer.packLong(heartbeat.retainedRecords().revision());
      packer.packBoolean(heartbeat.retainedRecords().wasLeader());
      packer.packLong(heartbeat.retainedRecords().contributedRebuild());
      LinkSummaryCodec.pack(packer, heartbeat.links());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a heartbeat into a memory buffer", e);
    }
  }

  /**
   * Decodes a heartbeat of this version, an earlier one or a later one.
   *
   * @throws IOException if the heartbeat has too few fields or a field has the wrong type
   */
  static PeerHeartbeat decode(byte[] frame) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      int fields = unpacker.unpackArrayHeader();
      if (fields < MIN_FIELDS) {
        throw new IOException(
            "heartbeat has too few fields: expected at least " + MIN_FIELDS + ", found " + fields);
      }
      return new PeerHeartbeat(
          unpacker.unpackString(),
          unpacker.unpackLong(),
          unpacker.unpackBoolean(),
          unpacker.unpackInt(),
          unpacker.unpackInt(),
          unpacker.unpackInt(),
          fields < FIELDS_WITH_RETAINED_RECORDS
              ? RetainedRecordsSummary.NONE
              : decodeRetainedRecords(unpacker),
          fields < ALL_FIELDS ? LinkSummary.NONE : LinkSummaryCodec.unpack(unpacker));
    }
  }

  private static RetainedRecordsSummary decodeRetainedRecords(MessageUnpacker unpacker)
      throws IOException {
    return new RetainedRecordsSummary(
        unpacker.unpackInt(),
        unpacker.unpackLong(),
        unpacker.unpackString(),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong());
  }
}
