package io.cherryspool.controller;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.Order;
import io.cherryspool.model.Report;
import io.cherryspool.model.TaskId;
import io.cherryspool.reachability.Contact;
import io.cherryspool.scheduler.ClusterView;
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

  /** What {@link #heard} was when the machine was last asked for its state, null before that. */
  Duration probed;

  /** It has not answered when asked, and nothing was heard of it since. */
  boolean mute;

  /**
   * When this leader first heard of the present session. A session lives for a lease from its start
   * even if none of its reports is answered, and it began before it was heard of.
   */
  private Duration sessionSince;

  /** When this leader last answered one of its reports, null if never. */
  Duration answered;

  /** The newest report answered, so that a late copy of it is known as one. */
  private long answeredSession;

  private long answeredSequence;

  /** The token of the last answer to a report; a worker that took it in reports no lower one. */
  private long toldToken;

  /** How many answers in a row the worker has shown no sign of. */
  int unheeded;

  /** Since when answers have gone unheeded, null while they are heeded. */
  Duration deafSince;

  /** Orders given in answers to reports, with the time; the worker is given time to carry out. */
  final Map<Order, Duration> told = new HashMap<>();

  /** What planning sees of the machine, null when something has changed since. */
  ClusterView.MachineView view;

  /** The highest token of a direct command that has no answer, so that it may still run. */
  long unanswered;

  /** The token of the direct command under way, 0 if none is. */
  long underWay;

  Duration sendAgainAt = Duration.ZERO;

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

  /** The fleet does without it: it gets only work that finds no room elsewhere. */
  boolean closing;

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
    if (latest == null || report.session() > latest.session()) {
      sessionSince = now;
    }
    latest = report;
    heard = now;
    mute = false;
    if (report.token() >= toldToken) {
      unheeded = 0;
      deafSince = null;
    }
    return true;
  }

  /**
   * Notes that this report is answered under the token; false if it was answered before, so that it
   * is a late copy: nobody waits for the answer, and it keeps nothing alive.
   *
   * <p>A worker has one report in flight, so the next one shows whether the answer before it came
   * through. A worker whose answers are lost goes on reporting and looks alive; it is known by the
   * token that it lacks.
   */
  boolean answer(Report report, long token, Duration now) {
    boolean copy =
        report.session() < answeredSession
            || report.session() == answeredSession && report.sequence() <= answeredSequence;
    if (copy) {
      return false;
    }
    if (report.token() < toldToken) {
      unheeded++;
      deafSince = deafSince == null ? now : deafSince;
    }
    answeredSession = report.session();
    answeredSequence = report.sequence();
    answered = now;
    toldToken = token;
    return true;
  }

  /**
   * Since when nothing that this leader knows of has kept the session alive; null if unheard of.
   */
  Duration keptAlive() {
    return answered == null || sessionSince != null && sessionSince.compareTo(answered) > 0
        ? sessionSince
        : answered;
  }

  /**
   * How the leader stands with the machine.
   *
   * @param lateSince what was last heard before this is late
   * @param started when the leader's term began, which answered nothing before
   */
  Contact contact(Duration lateSince, Duration started) {
    if (latest == null) {
      return firstSeen.compareTo(lateSince) < 0 ? Contact.NEVER_HEARD : Contact.NEW;
    }
    if (unheeded > 1) {
      return Contact.DEAF;
    }
    if (heard.compareTo(lateSince) < 0) {
      return Contact.SILENT;
    }
    Duration kept = answered == null ? started : answered;
    return kept.compareTo(lateSince) < 0 ? Contact.LATE : Contact.REPORTING;
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
