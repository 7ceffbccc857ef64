package io.cherryspool.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Parses the operators' XML file into {@link OperatorSettings}. */
final class OperatorSettingsParser {
  private static final List<String> RECOVERY_ELEMENTS =
      List.of("recovery-gather", "recovery-hold", "snapshot-directory", "snapshot-interval");

  private static final int SECONDS_PER_DAY = 86_400;

  private final XmlSettingsReader reader;

  private OperatorSettingsParser(XmlSettingsReader reader) {
    this.reader = reader;
  }

  /** Parses and validates a file; see {@link OperatorSettings#load}. */
  static OperatorSettings parse(Path file) throws ConfigException {
    XmlSettingsReader reader = XmlSettingsReader.read(file, "cherryspool");
    OperatorSettings settings = new OperatorSettingsParser(reader).settings();
    reader.rejectUnreadElements();
    return settings;
  }

  private OperatorSettings settings() throws ConfigException {
    OperatorSettings defaults = OperatorSettings.DEFAULTS;
    return new OperatorSettings(
        reader.takeDuration("round-max", defaults.maxRoundInterval(), 0.05, 10),
        reader.takeDuration("state-lease", defaults.stateStoreLease(), 1, 60),
        (int) reader.takeNumber("failure-cap", defaults.failureCap(), 1, 1_000_000),
        reader.takeDuration("idle-keep", defaults.idleTimeout(), 0, SECONDS_PER_DAY),
        reader.takeDuration("begin-within", defaults.maxStartDelay(), 1, SECONDS_PER_DAY),
        recovery(),
        partitions());
  }

  private Optional<RecoverySettings> recovery() throws ConfigException {
    if (!reader.takeSwitch("recovery", false)) {
      for (String name : RECOVERY_ELEMENTS) {
        if (reader.has(name)) {
          throw reader.invalid(name, "needs <recovery>on</recovery>");
        }
      }
      return Optional.empty();
    }
    RecoverySettings defaults = RecoverySettings.DEFAULTS;
    Duration gatherDuration =
        reader.takeDuration("recovery-gather", defaults.gatherDuration(), 0.5, 60);
    boolean hasInterval = reader.has("snapshot-interval");
    Duration snapshotInterval =
        reader.takeDuration("snapshot-interval", defaults.snapshotInterval(), 1, SECONDS_PER_DAY);
    Optional<String> directory = reader.takeText("snapshot-directory");
    if (directory.isEmpty() && hasInterval) {
      throw reader.invalid("snapshot-interval", "needs <snapshot-directory>");
    }
    if (directory.isPresent() && directory.get().isEmpty()) {
      throw reader.invalid("snapshot-directory", "must name a directory");
    }
    return Optional.of(
        new RecoverySettings(
            gatherDuration, directory.map(Path::of), snapshotInterval, heldJobClasses()));
  }

  private Set<String> heldJobClasses() {
    String names = reader.takeText("recovery-hold").orElse("");
    return names.isEmpty() ? Set.of() : Set.of(names.split("\\s+"));
  }

  private PartitionSettings partitions() throws ConfigException {
    PartitionSettings defaults = PartitionSettings.DEFAULTS;
    boolean dampsFlapping = reader.takeSwitch("flap-damping", defaults.dampsFlapping());
    if (!dampsFlapping && reader.has("flap-half-life")) {
      throw reader.invalid("flap-half-life", "needs <flap-damping>on</flap-damping>");
    }
    return new PartitionSettings(
        dampsFlapping,
        reader.takeDuration("flap-half-life", defaults.flapHalfLife(), 5, 3600),
        reader.takeSwitch("request-forwarding", defaults.forwardsRequests()));
  }
}
