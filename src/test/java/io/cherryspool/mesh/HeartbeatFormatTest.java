package io.cherryspool.mesh;

import static io.cherryspool.compatibility.RecordedBytes.assertRecorded;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.compatibility.RecordedBytes;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** That controllers of version 0.1.0 and of this one read each other's heartbeats. */
class HeartbeatFormatTest {
  private static final LinkReport LINKS =
      new LinkReport(
          true,
          "10.0.0.1:8080",
          LinkState.SUSPECT,
          LinkState.DOWN,
          true,
          17,
          "hold-zones a: many machines of a zone are not heard at once",
          List.of(
              new LinkReport.PeerLink("node-0", LinkState.UP, 120),
              new LinkReport.PeerLink("node-2", LinkState.DOWN, -1)),
          List.of(
              new LinkReport.ZoneLink("a", LinkState.DOWN, 900, 870, 12),
              new LinkReport.ZoneLink("b", LinkState.SUSPECT, 70_000, 1, 0)));

  private static final Mesh.Heartbeat FULL =
      new Mesh.Heartbeat(
          "node-1",
          1L << 40,
          true,
          40,
          1650,
          237,
          new Mesh.Memory(2, 3, "9f3a", 1L << 50, true, 4),
          LINKS);

  private static final Mesh.Heartbeat PLAIN =
      new Mesh.Heartbeat("node-2", 7, false, 99_000, 0, 0, Mesh.Memory.NONE, LinkReport.NONE);

  @Test
  void heartbeatsAreReadAndWrittenAgainUnchanged() throws IOException {
    check("heartbeat-full.msgpack", FULL);
    check("heartbeat-plain.msgpack", PLAIN);
  }

  private static void check(String name, Mesh.Heartbeat expected) throws IOException {
    assertRecorded(name, NettyMesh.encode(expected));
    Mesh.Heartbeat read = NettyMesh.decode(RecordedBytes.read(name));
    assertEquals(expected, read);
    assertRecorded(name, NettyMesh.encode(read));
  }
}
