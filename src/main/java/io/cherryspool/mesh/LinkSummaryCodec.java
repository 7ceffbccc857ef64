package io.cherryspool.mesh;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads and writes a {@link LinkSummary} as MessagePack. Later versions add fields only at the end;
 * this version skips them.
 */
final class LinkSummaryCodec {
  private static final int FIELDS = 9;
  private static final int PEER_FIELDS = 3;
  private static final int ZONE_FIELDS = 5;

  /**
   * The maximum number of zones that are sent, so that a heartbeat fits into a frame; further zones
   * are omitted.
   */
  private static final int MAX_ZONES = 40;

  private LinkSummaryCodec() {}

  /** Appends the summary to the message. */
  static void pack(MessagePacker packer, LinkSummary summary) throws IOException {
    packer.packArrayHeader(FIELDS);
    packer.packBoolean(summary.isLeading());
    packer.packString(summary.address());
    packer.packInt(summary.stateStore().ordinal());
    packer.packInt(summary.cloud().ordinal());
    packer.packBoolean(summary.wasStalled());
    packer.packInt(summary.leadershipPenalty());
    packer.packString(summary.verdict());
    packer.packArrayHeader(summary.peers().size());
    for (LinkSummary.PeerLink peer : summary.peers()) {
      packer.packArrayHeader(PEER_FIELDS);
      packer.packString(peer.node());
      packer.packInt(peer.state().ordinal());
      packer.packInt(peer.heartbeatAgeMillis());
    }
    int zones = Math.min(MAX_ZONES, summary.zones().size());
    packer.packArrayHeader(zones);
    for (LinkSummary.ZoneLink zone : summary.zones().subList(0, zones)) {
      packer.packArrayHeader(ZONE_FIELDS);
      packer.packString(zone.zone());
      packer.packInt(zone.state().ordinal());
      packer.packInt(zone.knownMachines());
      packer.packInt(zone.missingMachines());
      packer.packInt(zone.redirectedWorkers());
    }
  }

  /**
   * Reads a summary from a message.
   *
   * @throws IOException if the summary has too few fields or a field has the wrong type
   */
  static LinkSummary unpack(MessageUnpacker unpacker) throws IOException {
    int fields = unpackFieldCount(unpacker, FIELDS);
    LinkSummary summary =
        new LinkSummary(
            unpacker.unpackBoolean(),
            unpacker.unpackString(),
            unpackState(unpacker),
            unpackState(unpacker),
            unpacker.unpackBoolean(),
            unpacker.unpackInt(),
            unpacker.unpackString(),
            unpackPeers(unpacker),
            unpackZones(unpacker));
    unpacker.skipValue(fields - FIELDS);
    return summary;
  }

  private static List<LinkSummary.PeerLink> unpackPeers(MessageUnpacker unpacker)
      throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<LinkSummary.PeerLink> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int fields = unpackFieldCount(unpacker, PEER_FIELDS);
      result.add(
          new LinkSummary.PeerLink(
              unpacker.unpackString(), unpackState(unpacker), unpacker.unpackInt()));
      unpacker.skipValue(fields - PEER_FIELDS);
    }
    return result;
  }

  private static List<LinkSummary.ZoneLink> unpackZones(MessageUnpacker unpacker)
      throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<LinkSummary.ZoneLink> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int fields = unpackFieldCount(unpacker, ZONE_FIELDS);
      result.add(
          new LinkSummary.ZoneLink(
              unpacker.unpackString(),
              unpackState(unpacker),
              unpacker.unpackInt(),
              unpacker.unpackInt(),
              unpacker.unpackInt()));
      unpacker.skipValue(fields - ZONE_FIELDS);
    }
    return result;
  }

  private static int unpackFieldCount(MessageUnpacker unpacker, int minFields) throws IOException {
    int fields = unpacker.unpackArrayHeader();
    if (fields < minFields) {
      throw new IOException(
          "link summary has too few fields: expected at least " + minFields + ", found " + fields);
    }
    return fields;
  }

  private static LinkState unpackState(MessageUnpacker unpacker) throws IOException {
    int ordinal = unpacker.unpackInt();
    LinkState[] states = LinkState.values();
    if (ordinal < 0 || ordinal >= states.length) {
      throw new IOException(
          "the link summary contains an unknown ordinal of a link state: " + ordinal);
    }
    return states[ordinal];
  }
}
