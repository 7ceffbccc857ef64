package io.cherryspool.mesh;

import static io.cherryspool.compatibility.RecordedBytes.assertRecorded;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.compatibility.RecordedBytes;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that controllers of version 0.1.0 and of this version read each other's heartbeats. */
class HeartbeatFormatTest {
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
          List.of(
              new LinkSummary.ZoneLink("a", LinkState.DOWN, 900, 870, 12),
              new LinkSummary.ZoneLink("b", LinkState.SUSPECT, 70_000, 1, 0)));

  private static final Mesh.PeerHeartbeat FULL =
      new Mesh.PeerHeartbeat(
          "node-1",
          1L << 40,
          true,
          40,
          1650,
          237,
          new Mesh.RetainedRecordsSummary(2, 3, "9f3a", 1L << 50, true, 4),
          LINKS);

  private static final Mesh.PeerHeartbeat PLAIN =
      new Mesh.PeerHeartbeat(
          "node-2", 7, false, 99_000, 0, 0, Mesh.RetainedRecordsSummary.NONE, LinkSummary.NONE);

  @Test
  void recordedHeartbeatsAreDecodedAndEncodedUnchanged() throws IOException {
    check("heartbeat-full.msgpack", FULL);
    check("heartbeat-plain.msgpack", PLAIN);
  }

  private static void check(String name, Mesh.PeerHeartbeat expected) throws IOException {
    assertRecorded(name, PeerHeartbeatCodec.encode(expected));
    Mesh.PeerHeartbeat read = PeerHeartbeatCodec.decode(RecordedBytes.read(name));
    assertEquals(expected, read);
    assertRecorded(name, PeerHeartbeatCodec.encode(read));
  }
}
