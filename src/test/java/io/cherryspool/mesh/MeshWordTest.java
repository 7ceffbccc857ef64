package io.cherryspool.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class MeshWordTest {
  @Test
  void readsWhatItWritesAndRefusesTheRest() throws IOException {
    Mesh.Word word = new Mesh.Word("node-1", 1L << 40, true, 40, 1650, 237);
    assertEquals(word, NettyMesh.decode(NettyMesh.encode(word)));
    assertThrows(IOException.class, () -> NettyMesh.decode(new byte[] {(byte) 0x91, 1}));
  }
}
