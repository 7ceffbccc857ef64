package io.cherryspool.reachability;

import java.time.Duration;
import java.util.Set;

/**
 * What a node does about its links. None of these can break a rule, see docs/partitions.md. Names
 * and descriptions reach operators through metrics, heartbeats and {@code /links}, and may not
 * change.
 */
public sealed interface Verdict {
  /** Why. */
  Reason reason();

  /** A short name, for metrics and operators. */
  String name();

  /** The name, with what it applies to. */
  default String describe() {
    return name();
  }

  /** Everything goes on as usual. */
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

  /** A node that does not lead forwards users' requests to nodes that can serve them. */
  record ForwardRequests(Reason reason) implements Verdict {
    @Override
    public String name() {
      return "pass-on";
    }
  }

  /**
   * A leader plans and records nothing, and does not call the cloud, until the state store answers
   * it again or its term ends.
   */
  record SuspendPlacement(Reason reason) implements Verdict {
    @Override
    public String name() {
      return "hold-placing";
    }
  }

  /**
   * The machines of these zones are unreachable, not dead: none of them is deleted for its silence
   * before two leases have expired, and their tasks stay theirs until a lease or a deletion frees
   * them.
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
   * Machines of several zones are unreachable, which is rather this leader's fault than theirs: as
   * for {@link SuspendZoneEviction}, in all zones, and nothing is scaled out or in meanwhile.
   */
  record SuspendFleetChanges(Reason reason) implements Verdict {
    @Override
    public String name() {
      return "hold-fleet";
    }
  }

  /**
   * A leader ends its term in favour of another node. Until it has ended, nothing is placed, and no
   * machine is taken for dead: its silence is rather this leader's fault.
   *
   * @param successor the name of that node, {@link #ANY_NODE} if it is not known which
   */
  record HandOverLeadership(String successor, Reason reason) implements Verdict {
    /** No node's name. */
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

  /** A candidate stands only after this delay, so that others go first. */
  record DelayCandidacy(Duration delay, Reason reason) implements Verdict {
    @Override
    public String name() {
      return "stand-later";
    }
  }
}
