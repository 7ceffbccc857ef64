package io.cherryspool.sim.network;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Request;
import io.cherryspool.sim.time.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/** Copies of worker heartbeats that arrive again later, or that a test replays. */
final class HeartbeatCopies {
  private static final double DUPLICATE_PROBABILITY = 0.02;
  private static final int MAX_DUPLICATE_DELAY_MS = 70_000;
  private static final int MAX_RECORDED_HEARTBEATS = 200;

  private final VirtualTime time;
  private final RandomGenerator random;
  private final BiConsumer<Endpoint, Request> delivery;
  private final List<Request> recordedHeartbeats = new ArrayList<>();
  private boolean isDuplicating;
  private boolean isRecording;

  /** Creates copies that are delivered by {@code delivery}, without a reply to the sender. */
  HeartbeatCopies(
      VirtualTime time, RandomGenerator random, BiConsumer<Endpoint, Request> delivery) {
    this.time = time;
    this.random = random;
    this.delivery = delivery;
  }

  /** Sets whether some heartbeats arrive again up to 70 s later. */
  void setDuplicating(boolean value) {
    isDuplicating = value;
  }

  /** Starts to record worker heartbeats, up to a limit. */
  void startRecording() {
    isRecording = true;
  }

  /** Delivers the recorded heartbeats to each of the controllers immediately. */
  void replay(Iterable<Endpoint> controllers) {
    for (Endpoint each : controllers) {
      for (Request request : List.copyOf(recordedHeartbeats)) {
        delivery.accept(each, request);
      }
    }
  }

  /** Stops recording and discards the recorded heartbeats. */
  void discardRecorded() {
    recordedHeartbeats.clear();
    isRecording = false;
  }

  /** Records the request or schedules a copy of it, if it is a heartbeat. */
  void recordOrDuplicate(Endpoint to, Request request) {
    boolean isHeartbeat = request.path().equals("/v1/report");
    if (isRecording && isHeartbeat && recordedHeartbeats.size() < MAX_RECORDED_HEARTBEATS) {
      recordedHeartbeats.add(request);
    }
    if (isDuplicating && isHeartbeat && random.nextDouble() < DUPLICATE_PROBABILITY) {
      time.schedule(
          Duration.ofMillis(random.nextInt(MAX_DUPLICATE_DELAY_MS)),
          () -> delivery.accept(to, request));
    }
  }
}
