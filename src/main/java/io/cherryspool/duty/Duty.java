package io.cherryspool.duty;

/**
 * A long-lived activity of a node. Both calls come on the event loop; stop leaves no timer behind.
 */
public interface Duty {

  void start();

  void stop();
}
