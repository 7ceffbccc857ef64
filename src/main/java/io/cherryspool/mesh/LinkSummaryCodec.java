package io.cherryspool.mesh;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** A link report as MessagePack. A field that a later version adds comes last, and is ignored. */
final class LinkSummaryCodec {
  private static final int FIELDS = 9;
  private static final int PEER_FIELDS = 3;
  private static final int ZONE_FIELDS = 5;

  /** So that a heartbeat stays within a frame; a node names the first so many of its zones. */
  private static final int MOST_ZONES = 40;

  private LinkSummaryCodec() {}

  static void pack(MessagePacker packer, LinkSummary report) throws IOException {
    packer.packArrayHeader(FIELDS);
    packer.packBoolean(report.isLeading());
    packer.packString(report.address());
    packer.packInt(report.stateStore().ordinal());
    packer.packInt(report.cloud().ordinal());
    packer.packBoolean(report.wasStalled());
    packer.packInt(report.leadershipPenalty());
    packer.packString(report.verdict());
    packer.packArrayHeader(report.peers().size());
    for (LinkSummary.PeerLink peer : report.peers()) {
      packer.packArrayHeader(PEER_FIELDS);
      packer.packString(peer.node());
      packer.packInt(peer.state().ordinal());
      packer.packInt(peer.heartbeatAgeMillis());
    }
    int zones = Math.min(MOST_ZONES, report.zones().size());
    packer.packArrayHeader(zones);
    for (LinkSummary.ZoneLink zone : report.zones().subList(0, zones)) {
      packer.packArrayHeader(ZONE_FIELDS);
      packer.packString(zone.zone());
      packer.packInt(zone.state().ordinal());
      packer.packInt(zone.knownMachines());
      packer.packInt(zone.missingMachines());
      packer.packInt(zone.redirectedWorkers());
    }
  }

  static LinkSummary unpack(MessageUnpacker unpacker) throws IOException {
    int fields = header(unpacker, FIELDS);
    LinkSummary report =
        new LinkSummary(
            unpacker.unpackBoolean(),
            unpacker.unpackString(),
            state(unpacker),
            state(unpacker),
            unpacker.unpackBoolean(),
            unpacker.unpackInt(),
            unpacker.unpackString(),
            peers(unpacker),
            zones(unpacker));
    unpacker.skipValue(fields - FIELDS);
    return report;
  }

  private static List<LinkSummary.PeerLink> peers(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<LinkSummary.PeerLink> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int fields = header(unpacker, PEER_FIELDS);
      result.add(
          new LinkSummary.PeerLink(unpacker.unpackString(), state(unpacker), unpacker.unpackInt()));
      unpacker.skipValue(fields - PEER_FIELDS);
    }
    return result;
  }

  private static List<LinkSummary.ZoneLink> zones(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<LinkSummary.ZoneLink> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int fields = header(unpacker, ZONE_FIELDS);
      result.add(
          new LinkSummary.ZoneLink(
              unpacker.unpackString(),
              state(unpacker),
              unpacker.unpackInt(),
              unpacker.unpackInt(),
              unpacker.unpackInt()));
      unpacker.skipValue(fields - ZONE_FIELDS);
    }
    return result;
  }

  private static int header(MessageUnpacker unpacker, int least) throws IOException {
    int fields = unpacker.unpackArrayHeader();
    if (fields < least) {
      throw new IOException("a link report that is too short");
    }
    return fields;
  }

  private static LinkState state(MessageUnpacker unpacker) throws IOException {
    int number = unpacker.unpackInt();
    LinkState[] all = LinkState.values();
    if (number < 0 || number >= all.length) {
      throw new IOException("no state of a link: " + number);
    }
    return all[number];
  }
}
