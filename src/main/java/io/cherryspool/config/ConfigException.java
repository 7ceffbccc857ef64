package io.cherryspool.config;

import java.util.Optional;

/**
 * A mistake in the settings. The message is one line that names the file, the setting where one is
 * at fault, and what is wrong with it.
 */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The setting's name; null where the file as a whole is at fault. */
  private final String setting;

  private ConfigException(String origin, String setting, String problem) {
    super(origin + ": " + problem);
    this.setting = setting;
  }

  /** A file that can't be read, or is not in the form of settings. */
  static ConfigException ofFile(Object file, String problem) {
    return new ConfigException(file.toString(), null, problem);
  }

  /**
   * A setting that is missing, or has a value that a node can't run with.
   *
   * @param setting the dotted path of a JSON field, or the name of an XML element
   * @param problem the sentence that names the setting
   */
  static ConfigException ofSetting(Object file, String setting, String problem) {
    return new ConfigException(file.toString(), setting, problem);
  }

  /**
   * The setting at fault: the dotted path of a JSON field ({@code facts.workers.lease_s}), or the
   * name of an XML element ({@code round-max}); empty where the file as a whole is.
   */
  public Optional<String> setting() {
    return Optional.ofNullable(setting);
  }
}
