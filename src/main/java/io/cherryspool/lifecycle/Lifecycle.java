package io.cherryspool.lifecycle;

/** A long-lived activity of a node. It is started and stopped on the event loop. */
public interface Lifecycle {

  /** Begins the activity. */
  void start();

  /** Ends the activity; leaves no timer behind. */
  void stop();
}
