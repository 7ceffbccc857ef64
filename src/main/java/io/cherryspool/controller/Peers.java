package io.cherryspool.controller;

import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the other nodes said last, and when. Nothing here is proof of anything. */
final class Peers {
  private final Map<String, Said> words = new HashMap<>();

  private record Said(Mesh.Word word, Duration at) {}

  void heard(Mesh.Word word, Duration now) {
    words.put(word.node(), new Said(word, now));
  }

  /** Whether any node was ever heard. */
  boolean known() {
    return !words.isEmpty();
  }

  /** When the latest reading of the state was sent by any of them, as far as they said lately. */
  Duration lastReading(Duration limit, Duration now) {
    Duration last = null;
    for (Said said : words.values()) {
      Duration at = said.at.minusMillis(said.word.silence());
      boolean fresh = now.minus(said.at).compareTo(limit) < 0 && said.word.state();
      last = fresh && (last == null || at.compareTo(last) > 0) ? at : last;
    }
    return last;
  }

  /** What was said no longer ago than this. */
  List<Mesh.Word> since(Duration limit, Duration now) {
    List<Mesh.Word> result = new ArrayList<>();
    for (Said said : words.values()) {
      if (now.minus(said.at).compareTo(limit) < 0) {
        result.add(said.word);
      }
    }
    return result;
  }
}
