package io.cherryspool.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that heartbeats are decoded as they were encoded, including those of earlier versions, and
 * fit into a frame.
 */
class PeerHeartbeatCodecTest {
  private static final LinkSummary LINKS =
      new LinkSummary(
          true,
          "10.0.0.1:8080",
          LinkState.SUSPECT,
          LinkState.DOWN,
          true,
          17,
          "hold-zones a: many machines of a zone are not heard at once",
          List.of(
              new LinkSummary.PeerLink("node-0", LinkState.UP, 120),
              new LinkSummary.PeerLink("node-2", LinkState.DOWN, -1)),
          List.of(new LinkSummary.ZoneLink("a", LinkState.DOWN, 900, 870, 12)));

  @Test
  void decodesAnEncodedHeartbeat() throws IOException {
    Mesh.RetainedRecordsSummary retained =
        new Mesh.RetainedRecordsSummary(2, 3, "9f", 1L << 50, true, 4);
    Mesh.PeerHeartbeat heartbeat =
        new Mesh.PeerHeartbeat("node-1", 1L << 40, true, 40, 1650, 237, retained, LINKS);
    assertEquals(heartbeat, PeerHeartbeatCodec.decode(PeerHeartbeatCodec.encode(heartbeat)));
  }

  @Test
  void refusesAHeartbeatWithTooFewFields() {
    assertThrows(IOException.class, () -> PeerHeartbeatCodec.decode(new byte[] {(byte) 0x91, 1}));
  }

  /** Nodes are upgraded one at a time, so that nodes of different versions exchange heartbeats. */
  @Test
  void readsHeartbeatsWithoutRetainedRecords() throws IOException {
    Mesh.PeerHeartbeat expected =
        new Mesh.PeerHeartbeat(
            "n", 7, true, 1, 2, 3, Mesh.RetainedRecordsSummary.NONE, LinkSummary.NONE);
    byte[] old = {(byte) 0x96, (byte) 0xa1, 'n', 7, (byte) 0xc3, 1, 2, 3};
    assertEquals(expected, PeerHeartbeatCodec.decode(old));
  }

  @Test
  void readsHeartbeatsWithoutLinks() throws IOException {
    Mesh.RetainedRecordsSummary retained = new Mesh.RetainedRecordsSummary(1, 2, "9f", 3, false, 4);
    Mesh.PeerHeartbeat expected =
        new Mesh.PeerHeartbeat("n", 7, true, 1, 2, 3, retained, LinkSummary.NONE);
    byte[] old = {
      (byte) 0x9c,
      (byte) 0xa1,
      'n',
      7,
      (byte) 0xc3,
      1,
      2,
      3,
      1,
      2,
      (byte) 0xa2,
      '9',
      'f',
      3,
      (byte) 0xc2,
      4
    };
    assertEquals(expected, PeerHeartbeatCodec.decode(old));
  }

  /** A frame holds at most 4,096 bytes, regardless of the number of machines. */
  @Test
  void aHeartbeatWithManyZonesFitsIntoAFrame() throws IOException {
    List<LinkSummary.ZoneLink> zones = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      zones.add(
          new LinkSummary.ZoneLink("a-zone-with-a-name-" + i, LinkState.UP, 4000, 4000, 4000));
    }
    LinkSummary links =
        new LinkSummary(
            true, "10.0.0.1:8080", LinkState.UP, LinkState.UP, false, 0, "", List.of(), zones);
    Mesh.PeerHeartbeat heartbeat =
        new Mesh.PeerHeartbeat("node-1", 1, true, 0, 0, 0, Mesh.RetainedRecordsSummary.NONE, links);
    byte[] frame = PeerHeartbeatCodec.encode(heartbeat);
    assertTrue(frame.length <= 4096, frame.length + " bytes");
    assertEquals(40, PeerHeartbeatCodec.decode(frame).links().zones().size());
  }
}
