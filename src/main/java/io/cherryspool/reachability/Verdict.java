package io.cherryspool.reachability;

import java.time.Duration;
import java.util.Set;

/**
 * What a node does about the state of its links. No verdict can violate the cluster's safety rules,
 * see docs/partitions.md. Names and descriptions reach operators through metrics, heartbeats and
 * {@code /links}, so they must not change.
 */
public sealed interface Verdict {
  /** The reason for this verdict. */
  Reason reason();

  /** The short name of this kind of verdict, for metrics and operators. */
  String name();

  /** Returns the name, followed by the zones or the node that the verdict applies to, if any. */
  default String describe() {
    return name();
  }

  /** The node works normally. */
  record Serve() implements Verdict {
    @Override
    public Reason reason() {
      return Reason.ALL_UP;
    }

    @Override
    public String name() {
      return "serve";
    }
  }

  /** A node that does not lead forwards users' requests to other nodes that can serve them. */
  record ForwardRequests(Reason reason) implements Verdict {
    @Override
    public String name() {
      return "pass-on";
    }
  }

  /**
   * A leader plans and commits no placements, and does not call the cloud, until the state store
   * answers it again or its term ends.
   */
  record SuspendPlacement(Reason reason) implements Verdict {
    @Override
    public String name() {
      return "hold-placing";
    }
  }

  /**
   * The machines of these zones are probably unreachable, not dead. None of them is deleted for
   * being silent before the time of two task leases has passed. Each keeps its tasks until their
   * lease has expired or the machine's deletion is confirmed.
   */
  record SuspendZoneEviction(Set<String> zones, Reason reason) implements Verdict {
    @Override
    public String name() {
      return "hold-zones";
    }

    @Override
    public String describe() {
      return name() + " " + String.join(" ", zones);
    }
  }

  /**
   * Machines of several zones are unreachable, probably because of this leader's own link.
   * Evictions are suspended as by {@link SuspendZoneEviction}, but in all zones, and the fleet is
   * scaled neither out nor in meanwhile.
   */
  record SuspendFleetChanges(Reason reason) implements Verdict {
    @Override
    public String name() {
      return "hold-fleet";
    }
  }

  /**
   * A leader ends its term in favour of another node. Until the term has ended, it places no tasks,
   * and suspends evictions as by {@link SuspendZoneEviction} in all zones: machines are silent
   * probably because of this leader's own link.
   *
   * @param successor the name of the node that should lead next, or {@link #ANY_NODE} if the leader
   *     can't tell which node that should be
   */
  record HandOverLeadership(String successor, Reason reason) implements Verdict {
    /** The successor's name if any other node may lead next. */
    public static final String ANY_NODE = "";

    @Override
    public String name() {
      return "make-way";
    }

    @Override
    public String describe() {
      return name() + " for " + (successor.isEmpty() ? "any other node" : successor);
    }
  }

  /**
   * A candidate waits for this delay before it runs for election, so that other nodes run first.
   */
  record DelayCandidacy(Duration delay, Reason reason) implements Verdict {
    @Override
    public String name() {
      return "stand-later";
    }
  }
}
