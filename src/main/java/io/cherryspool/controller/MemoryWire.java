package io.cherryspool.controller;

import io.cherryspool.mesh.Mesh;
import io.cherryspool.recovery.NodeMemory;
import io.cherryspool.store.Incarnation;

/** A node's memory as heartbeats carry it. */
final class MemoryWire {
  private MemoryWire() {}

  static Mesh.Memory encode(NodeMemory memory) {
    return new Mesh.Memory(
        memory.phase().ordinal(),
        memory.origin().incarnationNumber(),
        memory.nonce(),
        memory.origin().revision(),
        memory.led(),
        memory.contributed());
  }

  /** A phase that this version does not know is one in which the node does not serve. */
  static NodeMemory decode(Mesh.Memory memory) {
    NodeMemory.Phase[] phases = NodeMemory.Phase.values();
    boolean known = memory.phase() >= 0 && memory.phase() < phases.length;
    return new NodeMemory(
        known ? phases[memory.phase()] : NodeMemory.Phase.HOLDING,
        memory.nonce(),
        new Incarnation.HistoryPosition(memory.incarnation(), memory.revision()),
        memory.led(),
        memory.contributed());
  }
}
