package io.cherryspool.controller;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.Order;
import io.cherryspool.model.Report;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** What a leader knows of one machine, in memory only; a new leader learns it again. */
final class MachineState {
  final String name;
  final String type;
  final String zone;
  final boolean spot;
  Endpoint endpoint;

  /** The newest message, or null before the first of this term. */
  Report latest;

  Duration heard;

  /** When this leader last answered one of its reports, null if never. */
  Duration answered;

  /** The highest token of a direct command that has no answer, so that it may still run. */
  long unanswered;

  /** The token of the direct command under way, 0 if none is. */
  long underWay;

  Duration pushAgain = Duration.ZERO;

  /** The highest token under which each start was sent. */
  final Map<Order, Long> started = new HashMap<>();

  /** When a task was first seen running, for estimates of what stopping it loses. */
  final Map<TaskId, Duration> runningSince = new HashMap<>();

  final Set<String> images = new LinkedHashSet<>();

  /** Jobs whose tasks failed here, with the time of the last failure. */
  final Map<String, Duration> failedJobs = new HashMap<>();

  int failuresInARow;
  Duration idleSince;
  Duration firstSeen;
  boolean deleting;

  /** The cloud has confirmed that the machine and everything on it are gone. */
  boolean gone;

  MachineState(String name, String type, String zone, boolean spot, Duration now) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.firstSeen = now;
  }

  /** Keeps the message if it is newer than any before. */
  boolean accept(Report report, Duration now) {
    if (latest != null && !report.newerThan(latest)) {
      return false;
    }
    latest = report;
    heard = now;
    return true;
  }

  /** Whether no direct command sent before may still run on the worker. */
  boolean settled() {
    return latest != null && latest.token() > Math.max(unanswered, underWay);
  }

  /** The task as the newest message has it, or null. */
  Report.TaskReport find(TaskId task, int attempt) {
    for (Report.TaskReport item : latest.tasks()) {
      if (item.attempt() == attempt && item.task().equals(task)) {
        return item;
      }
    }
    return null;
  }
}
