package io.cherryspool.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that the operators' settings are read and validated, and that the files in {@code deploy}
 * contain the settings after which they are named.
 */
class OperatorSettingsTest {
  /** Writes the elements to the file and loads it, which must fail; returns the error message. */
  private static String errorFor(Path file, String elements) throws Exception {
    Files.writeString(file, "<cherryspool>" + elements + "</cherryspool>");
    String message =
        assertThrows(ConfigException.class, () -> OperatorSettings.load(file)).getMessage();
    assertTrue(message.contains(file.toString()), message);
    return message;
  }

  @Test
  void usesDefaultsWithoutAFileAndReadsAnElement(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("cherryspool.xml");
    assertEquals(OperatorSettings.DEFAULTS, OperatorSettings.load(file));
    Files.writeString(file, "<cherryspool><failure-cap>7</failure-cap></cherryspool>");
    assertEquals(7, OperatorSettings.load(file).failureCap());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "<cherryspool><failure-cap>none</failure-cap></cherryspool>",
        "<cherryspool><failure-cap>0</failure-cap></cherryspool>",
        "<cherryspool><failure-cap>3</failure-cap><failure-cap>4</failure-cap></cherryspool>",
        "<cherryspool><failurecap>3</failurecap></cherryspool>",
        "<spool/>",
        "<cherryspool>",
        "<!DOCTYPE x [<!ENTITY e SYSTEM 'file:///etc/hostname'>]><cherryspool/>"
      })
  void rejectsAnInvalidFileWithAOneLineMessage(String text, @TempDir Path folder) throws Exception {
    Path file = folder.resolve("cherryspool.xml");
    Files.writeString(file, text);
    ConfigException e = assertThrows(ConfigException.class, () -> OperatorSettings.load(file));
    assertTrue(!e.getMessage().contains("\n"), e.getMessage());
  }

  @Test
  void errorNamesTheInvalidElement(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("cherryspool.xml");
    Files.writeString(file, "<cherryspool><failure-cap>0</failure-cap></cherryspool>");
    ConfigException e = assertThrows(ConfigException.class, () -> OperatorSettings.load(file));
    assertEquals(Optional.of("failure-cap"), e.setting());
    assertEquals(
        file + ": <failure-cap> must be a number from 1.0 to 1000000.0, not 0", e.getMessage());
  }

  @Test
  void recoveryIsOffByDefault(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("operators.xml");
    Files.writeString(file, "<cherryspool><recovery>off</recovery></cherryspool>");
    assertTrue(OperatorSettings.load(file).recovery().isEmpty());
    assertTrue(OperatorSettings.DEFAULTS.recovery().isEmpty());
  }

  @Test
  void readsRecoverySettings(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("operators.xml");
    Files.writeString(
        file,
        "<cherryspool><recovery>on</recovery><recovery-gather>2</recovery-gather>"
            + "<snapshot-directory>kept</snapshot-directory>"
            + "<snapshot-interval>7</snapshot-interval>"
            + "<recovery-hold>one  two</recovery-hold></cherryspool>");
    RecoverySettings recovery = OperatorSettings.load(file).recovery().orElseThrow();
    assertEquals(
        new RecoverySettings(
            Duration.ofSeconds(2),
            Optional.of(Path.of("kept")),
            Duration.ofSeconds(7),
            Set.of("one", "two")),
        recovery);
  }

  @Test
  void rejectsInvalidRecoverySettings(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("operators.xml");
    assertTrue(errorFor(file, "<recovery>maybe</recovery>").contains("<recovery>"));
    assertTrue(errorFor(file, "<recovery-hold>x</recovery-hold>").contains("<recovery-hold>"));
    String on = "<recovery>on</recovery>";
    assertTrue(
        errorFor(file, on + "<recovery-gather>0</recovery-gather>").contains("<recovery-gather>"));
    assertTrue(
        errorFor(file, on + "<snapshot-interval>3</snapshot-interval>")
            .contains("<snapshot-directory>"));
    assertTrue(
        errorFor(file, on + "<snapshot-directory> </snapshot-directory>")
            .contains("<snapshot-directory>"));
  }

  @Test
  void theShippedRecoveryFileEnablesRecovery() throws Exception {
    assertTrue(OperatorSettings.load(Path.of("deploy/recovery.xml")).recovery().isPresent());
  }

  @Test
  void readsPartitionSettingsAndRejectsInvalidOnes(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("operators.xml");
    Files.writeString(
        file,
        "<cherryspool><flap-damping>on</flap-damping><flap-half-life>30</flap-half-life>"
            + "<request-forwarding>off</request-forwarding></cherryspool>");
    assertEquals(
        new PartitionSettings(true, Duration.ofSeconds(30), false),
        OperatorSettings.load(file).partitions());
    for (String name : new String[] {"flap-damping", "request-forwarding", "flap-half-life"}) {
      String text = "<" + name + ">maybe</" + name + ">";
      assertTrue(errorFor(file, text).contains("<" + name + ">"));
    }
    assertTrue(errorFor(file, "<flap-half-life>1</flap-half-life>").contains("<flap-half-life>"));
    String off = "<flap-damping>off</flap-damping><flap-half-life>30</flap-half-life>";
    assertTrue(errorFor(file, off).contains("<flap-damping>on</flap-damping>"));
  }

  @Test
  void theShippedPartitionsFileContainsTheDefaults() throws Exception {
    assertEquals(
        OperatorSettings.DEFAULTS, OperatorSettings.load(Path.of("deploy/partitions.xml")));
  }
}
