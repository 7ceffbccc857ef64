package io.cherryspool.mesh;

/** Sends word to the other controller nodes; nothing that matters depends on its arrival. */
@FunctionalInterface
public interface Mesh {

  /** What a node tells the others: its name, the term it knows, and if it reaches the state. */
  record Word(String node, long term, boolean state) {}

  void tell(Word word);
}
