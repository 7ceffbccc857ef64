package io.cherryspool.lifecycle;

/** A long-lived component of a node, which is started and stopped on the event loop. */
public interface Lifecycle {

  /** Starts the component. */
  void start();

  /** Stops the component and cancels all its timers. */
  void stop();
}
