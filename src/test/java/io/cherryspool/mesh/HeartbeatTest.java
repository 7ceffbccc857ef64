package io.cherryspool.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class HeartbeatTest {
  @Test
  void readsWhatItWritesAndRefusesTheRest() throws IOException {
    Mesh.Memory memory = new Mesh.Memory(2, 3, "9f", 1L << 50, true, 4);
    Mesh.Heartbeat heartbeat = new Mesh.Heartbeat("node-1", 1L << 40, true, 40, 1650, 237, memory);
    assertEquals(heartbeat, NettyMesh.decode(NettyMesh.encode(heartbeat)));
    assertThrows(IOException.class, () -> NettyMesh.decode(new byte[] {(byte) 0x91, 1}));
  }

  /** Nodes are replaced one at a time, so that both forms are about. */
  @Test
  void readsHeartbeatsOfNodesThatTellNoMemory() throws IOException {
    Mesh.Heartbeat expected = new Mesh.Heartbeat("n", 7, true, 1, 2, 3, Mesh.Memory.NONE);
    byte[] old = {(byte) 0x96, (byte) 0xa1, 'n', 7, (byte) 0xc3, 1, 2, 3};
    assertEquals(expected, NettyMesh.decode(old));
  }
}
