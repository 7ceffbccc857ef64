package io.cherryspool.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class HeartbeatTest {
  @Test
  void readsWhatItWritesAndRefusesTheRest() throws IOException {
    Mesh.Heartbeat heartbeat = new Mesh.Heartbeat("node-1", 1L << 40, true, 40, 1650, 237);
    assertEquals(heartbeat, NettyMesh.decode(NettyMesh.encode(heartbeat)));
    assertThrows(IOException.class, () -> NettyMesh.decode(new byte[] {(byte) 0x91, 1}));
  }
}
