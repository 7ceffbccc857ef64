package io.cherryspool.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that the platform's settings are read, and that errors name the file and the field. */
class SettingsTest {
  private static final String VALID_SETTINGS =
      "{'host_name':'n0','site':'a','client_listen':'127.0.0.1:8080','mesh_addr':'127.0.0.1:8081',"
          + "'known':[{'host_name':'n1','site':'b','endpoint':'127.0.0.2:8081'}],"
          + "'services':{'cloud':'127.0.0.3:8443','state':'127.0.0.3:2379'},'later':{},"
          + "'facts':{'teams':[{'name':'red','cpus':4.0,'cpus_max':8.0}],"
          + "'workers':{'report_s':2.5,'lease_s':16.0,'cancel_s':36.0},"
          + "'state':{'rps':150.0,'write_rps':60.0,'value_kb':16.0,'txn_ops':48},"
          + "'cloud':{'rps':6.0,'list_lag_s':6.0},'resources':{'fd_limit':1800}}}";

  private static ObjectNode validSettings() throws Exception {
    return (ObjectNode) new ObjectMapper().readTree(VALID_SETTINGS.replace('\'', '"'));
  }

  @Test
  void readsSettingsAndIgnoresUnknownFields() throws Exception {
    Settings settings = Settings.parse(validSettings(), "test");
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
  void errorNamesAMissingField(String path) throws Exception {
    ObjectNode root = validSettings();
    int slash = path.lastIndexOf('/');
    ObjectNode parent = slash < 0 ? root : (ObjectNode) root.at("/" + path.substring(0, slash));
    parent.remove(path.substring(slash + 1));
    ConfigException e =
        assertThrows(ConfigException.class, () -> Settings.parse(root, "file.json"));
    assertTrue(e.getMessage().contains(path.replace('/', '.')), e.getMessage());
    assertTrue(e.getMessage().startsWith("file.json"), e.getMessage());
    assertEquals(Optional.of(path.replace('/', '.')), e.setting());
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
  void errorNamesAFieldThatIsTooSmall(String parent, String field, double value) throws Exception {
    ObjectNode root = validSettings();
    ((ObjectNode) root.at("/" + parent)).put(field, value);
    ConfigException e =
        assertThrows(ConfigException.class, () -> Settings.parse(root, "file.json"));
    String setting = parent.replace('/', '.') + "." + field;
    assertTrue(e.getMessage().contains(setting), e.getMessage());
    assertEquals(Optional.of(setting), e.setting());
  }

  /**
   * A leader's authority is derived from the maximum cancellation time, so this limit must always
   * hold.
   */
  @ParameterizedTest
  @CsvSource({"16.0,21.2", "16.0,36.0", "22.0,42.0", "24.0,54.0", "30.0,37.0"})
  void authorityAndWorkerLeaseFitIntoTheMaxCancellationTime(double lease, double cancel)
      throws Exception {
    ObjectNode root = validSettings();
    ((ObjectNode) root.at("/facts/workers")).put("lease_s", lease).put("cancel_s", cancel);
    Settings settings = Settings.parse(root, "test");
    Duration margins = settings.maxCancellationTime().dividedBy(10).plusSeconds(2);
    assertEquals(
        settings.maxCancellationTime(),
        settings.maxLeaderAuthority().plus(settings.workerLease()).plus(margins));
    assertTrue(settings.maxLeaderAuthority().compareTo(Duration.ofSeconds(1)) >= 0);
  }

  @Test
  void reportsAMissingFile(@TempDir Path folder) {
    Path file = folder.resolve("none.json");
    ConfigException e = assertThrows(ConfigException.class, () -> Settings.load(file));
    assertEquals(file + ": there is no such file", e.getMessage());
    assertEquals(Optional.empty(), e.setting());
  }
}
