package io.cherryspool.lifecycle;

/**
 * A long-lived activity of a node. Both calls come on the event loop; stop leaves no timer behind.
 */
public interface Lifecycle {

  void start();

  void stop();
}
