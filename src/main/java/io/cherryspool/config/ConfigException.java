package io.cherryspool.config;

import java.util.Optional;

/**
 * Thrown when the settings contain an error. The message is a single line that names the file, the
 * problem and, unless the problem concerns the file as a whole, the setting.
 */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The name of the invalid setting; null if the problem concerns the file as a whole. */
  private final String setting;

  private ConfigException(String origin, String setting, String problem) {
    super(origin + ": " + problem);
    this.setting = setting;
  }

  /** Returns the exception for a file that cannot be read, or does not have the right format. */
  static ConfigException ofFile(Object file, String problem) {
    return new ConfigException(file.toString(), null, problem);
  }

  /**
   * Returns the exception for a setting that is missing, or has a value that a node cannot run
   * with.
   *
   * @param setting the dotted path of a JSON field, or the name of an XML element
   * @param problem a description of the problem that includes the name of the setting
   */
  static ConfigException ofSetting(Object file, String setting, String problem) {
    return new ConfigException(file.toString(), setting, problem);
  }

  /**
   * Returns the name of the invalid setting: the dotted path of a JSON field ({@code
   * facts.workers.lease_s}), or the name of an XML element ({@code round-max}). Empty if the
   * problem concerns the file as a whole.
   */
  public Optional<String> setting() {
    return Optional.ofNullable(setting);
  }
}
