package io.cherryspool.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigTest {
  private static final String GOOD =
      "{'host_name':'n0','site':'a','client_listen':'127.0.0.1:8080','mesh_addr':'127.0.0.1:8081',"
          + "'known':[{'host_name':'n1','site':'b','endpoint':'127.0.0.2:8081'}],"
          + "'services':{'cloud':'127.0.0.3:8443','state':'127.0.0.3:2379'},'later':{},"
          + "'facts':{'teams':[{'name':'red','cpus':4.0,'cpus_max':8.0}],"
          + "'workers':{'report_s':2.5,'lease_s':16.0,'cancel_s':36.0},"
          + "'state':{'rps':150.0,'write_rps':60.0,'value_kb':16.0,'txn_ops':48},"
          + "'cloud':{'rps':6.0,'list_lag_s':6.0},'resources':{'fd_limit':1800}}}";

  private static ObjectNode good() throws Exception {
    return (ObjectNode) new ObjectMapper().readTree(GOOD.replace('\'', '"'));
  }

  @Test
  void readsSettingsAndIgnoresWhatIsNew() throws Exception {
    Settings settings = Settings.parse(good(), "test");
    assertEquals(Duration.ofMillis(2500), settings.heartbeatInterval());
    assertEquals(16 * 1024, settings.stateStoreLimits().maxValueBytes());
    assertEquals("n1", settings.peers().get(0).name());
  }

  @ParameterizedTest
  @CsvSource({
    "host_name",
    "client_listen",
    "mesh_addr",
    "known",
    "services",
    "services/state",
    "facts",
    "facts/teams",
    "facts/workers/lease_s",
    "facts/workers/cancel_s",
    "facts/state/rps",
    "facts/state/txn_ops",
    "facts/cloud/rps",
    "facts/resources/fd_limit"
  })
  void namesTheFieldThatIsMissing(String path) throws Exception {
    ObjectNode root = good();
    int slash = path.lastIndexOf('/');
    ObjectNode parent = slash < 0 ? root : (ObjectNode) root.at("/" + path.substring(0, slash));
    parent.remove(path.substring(slash + 1));
    ConfigException e =
        assertThrows(ConfigException.class, () -> Settings.parse(root, "file.json"));
    assertTrue(e.getMessage().contains(path.replace('/', '.')), e.getMessage());
    assertTrue(e.getMessage().startsWith("file.json"), e.getMessage());
  }

  @ParameterizedTest
  @CsvSource({
    "facts/workers,lease_s,4.9",
    "facts/workers,cancel_s,16.0",
    "facts/workers,cancel_s,21.1",
    "facts/resources,fd_limit,63",
    "facts/state,rps,0",
    "facts/state,write_rps,-1"
  })
  void namesTheFieldThatIsTooSmallToRunWith(String parent, String field, double value)
      throws Exception {
    ObjectNode root = good();
    ((ObjectNode) root.at("/" + parent)).put(field, value);
    ConfigException e =
        assertThrows(ConfigException.class, () -> Settings.parse(root, "file.json"));
    assertTrue(e.getMessage().contains(parent.replace('/', '.') + "." + field), e.getMessage());
  }

  /**
   * The limit on cancels is what a leader's authority is made from, so that it can't be given up.
   */
  @ParameterizedTest
  @CsvSource({"16.0,21.2", "16.0,36.0", "22.0,42.0", "24.0,54.0", "30.0,37.0"})
  void authorityAndWorkerLeaseStayWithinTheCancelLimit(double lease, double cancel)
      throws Exception {
    ObjectNode root = good();
    ((ObjectNode) root.at("/facts/workers")).put("lease_s", lease).put("cancel_s", cancel);
    Settings settings = Settings.parse(root, "test");
    Duration margins = settings.cancelLimit().dividedBy(10).plusSeconds(2);
    assertEquals(
        settings.cancelLimit(), settings.authority().plus(settings.workerLease()).plus(margins));
    assertTrue(settings.authority().compareTo(Duration.ofSeconds(1)) >= 0);
  }

  @Test
  void operatorsSettingsAreCheckedAndOptional(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("cherryspool.xml");
    assertEquals(OperatorSettings.DEFAULTS, OperatorSettings.load(file));
    Files.writeString(file, "<cherryspool><failure-cap>7</failure-cap></cherryspool>");
    assertEquals(7, OperatorSettings.load(file).failureCap());
    for (String wrong :
        new String[] {
          "<cherryspool><failure-cap>none</failure-cap></cherryspool>",
          "<cherryspool><failure-cap>0</failure-cap></cherryspool>",
          "<cherryspool><failure-cap>3</failure-cap><failure-cap>4</failure-cap></cherryspool>",
          "<cherryspool><failurecap>3</failurecap></cherryspool>",
          "<spool/>",
          "<cherryspool>",
          "<!DOCTYPE x [<!ENTITY e SYSTEM 'file:///etc/hostname'>]><cherryspool/>"
        }) {
      Files.writeString(file, wrong);
      ConfigException e =
          assertThrows(ConfigException.class, () -> OperatorSettings.load(file), wrong);
      assertTrue(!e.getMessage().contains("\n"), e.getMessage());
    }
  }

  private static String refusal(Path file, String text) throws Exception {
    Files.writeString(file, "<cherryspool>" + text + "</cherryspool>");
    String message =
        assertThrows(ConfigException.class, () -> OperatorSettings.load(file)).getMessage();
    assertTrue(message.contains(file.toString()), message);
    return message;
  }

  @Test
  void recoveryIsOffUnlessItIsAskedForAndItsSettingsAreChecked(@TempDir Path folder)
      throws Exception {
    Path file = folder.resolve("operators.xml");
    Files.writeString(file, "<cherryspool><recovery>off</recovery></cherryspool>");
    assertTrue(OperatorSettings.load(file).recovery().isEmpty());
    assertTrue(OperatorSettings.DEFAULTS.recovery().isEmpty());
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
    assertTrue(refusal(file, "<recovery>maybe</recovery>").contains("<recovery>"));
    assertTrue(refusal(file, "<recovery-hold>x</recovery-hold>").contains("<recovery-hold>"));
    String on = "<recovery>on</recovery>";
    assertTrue(
        refusal(file, on + "<recovery-gather>0</recovery-gather>").contains("<recovery-gather>"));
    assertTrue(
        refusal(file, on + "<snapshot-interval>3</snapshot-interval>")
            .contains("<snapshot-directory>"));
    assertTrue(
        refusal(file, on + "<snapshot-directory> </snapshot-directory>")
            .contains("<snapshot-directory>"));
  }

  /** The file that operators are told to take. */
  @Test
  void theShippedSettingsSwitchRecoveryOn() throws Exception {
    assertTrue(OperatorSettings.load(Path.of("deploy/recovery.xml")).recovery().isPresent());
  }

  @Test
  void settingsForLinksThatFailAreChecked(@TempDir Path folder) throws Exception {
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
      assertTrue(refusal(file, text).contains("<" + name + ">"));
    }
    assertTrue(refusal(file, "<flap-half-life>1</flap-half-life>").contains("<flap-half-life>"));
    String off = "<flap-damping>off</flap-damping><flap-half-life>30</flap-half-life>";
    assertTrue(refusal(file, off).contains("<flap-damping>on</flap-damping>"));
  }

  /** The file shows what is so by default. */
  @Test
  void theShippedSettingsForLinksAreTheDefaults() throws Exception {
    assertEquals(
        OperatorSettings.DEFAULTS, OperatorSettings.load(Path.of("deploy/partitions.xml")));
  }

  @Test
  void aFileThatIsNotThereIsSaidSo(@TempDir Path folder) {
    Path file = folder.resolve("none.json");
    String message = assertThrows(ConfigException.class, () -> Settings.load(file)).getMessage();
    assertEquals(file + ": there is no such file", message);
  }
}
