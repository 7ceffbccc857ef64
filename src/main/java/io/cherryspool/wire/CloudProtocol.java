package io.cherryspool.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Request;
import io.cherryspool.model.Instance;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The cloud's requests and answers. */
public final class CloudProtocol {
  private CloudProtocol() {}

  /** One page of the machine list. */
  public record InstancePage(List<Instance> instances, boolean hasMore) {}

  public static Request catalogRequest() {
    return Request.get("/catalog");
  }

  public static List<MachineType> parseCatalog(JsonNode node) throws MalformedMessageException {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode build : node.path("builds")) {
      types.add(
          new MachineType(
              Json.text(build, "name"),
              new Resources(
                  Json.amount(build, "vcpus"),
                  Json.amount(build, "gpus"),
                  Json.amount(build, "mem_gb")),
              Json.amount(build, "local_gb"),
              Json.amount(build, "fetch_gb_per_s"),
              Json.amount(build, "rate"),
              Json.amount(build, "market_price"),
              Json.seconds(build, "startup_s"),
              List.copyOf(Json.texts(build, "yards"))));
    }
    if (types.isEmpty()) {
      throw new MalformedMessageException("the catalog is empty");
    }
    return List.copyOf(types);
  }

  public static ObjectNode encodeCatalog(List<MachineType> types) {
    ObjectNode node = Json.object();
    ArrayNode builds = node.putArray("builds");
    for (MachineType type : types) {
      ObjectNode build = builds.addObject();
      build.put("name", type.name());
      build.put("vcpus", type.capacity().cpus());
      build.put("gpus", type.capacity().gpus());
      build.put("mem_gb", type.capacity().memoryGb());
      build.put("local_gb", type.imageCacheGb());
      build.put("fetch_gb_per_s", type.fetchGbPerSecond());
      build.put("rate", type.hourlyPrice());
      build.put("market_price", type.spotPrice());
      build.put("startup_s", Json.toSeconds(type.bootTime()));
      ArrayNode zones = build.putArray("yards");
      type.zones().forEach(zones::add);
    }
    return node;
  }

  public static Request instanceRequest(
      String name, String type, String zone, boolean spot, int count) {
    ObjectNode node = Json.object().put("hire", name).put("build", type).put("yard", zone);
    node.put("loaners", spot).put("how_many", count);
    return Request.post("/machines", Json.toBytes(node));
  }

  /** Tells a sold-out type from an outage, which has the same status. */
  public static boolean isNoCapacity(byte[] body) {
    try {
      return "no capacity".equals(Json.parseObject(body).path("error").asText());
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  public static List<String> parseInstanceNames(JsonNode node) throws MalformedMessageException {
    return Json.texts(node, "spindles");
  }

  public static Request deleteRequest(List<String> machines) {
    ObjectNode node = Json.object();
    ArrayNode names = node.putArray("spindles");
    machines.forEach(names::add);
    return Request.post("/machines/delete", Json.toBytes(node));
  }

  public static Request listRequest(String after, int limit) {
    String from =
        after == null ? "" : "from=" + URLEncoder.encode(after, StandardCharsets.UTF_8) + "&";
    return Request.get("/machines?" + from + "limit=" + limit);
  }

  public static InstancePage parsePage(JsonNode node) throws MalformedMessageException {
    List<Instance> machines = new ArrayList<>();
    for (JsonNode item : node.path("spindles")) {
      machines.add(
          new Instance(
              Json.text(item, "ref"),
              Json.textOrNull(item, "endpoint"),
              Json.text(item, "build"),
              Json.text(item, "yard"),
              Json.flag(item, "loaners"),
              status(Json.text(item, "status")),
              Json.seconds(item, "held_s")));
    }
    return new InstancePage(machines, node.path("has_next").asBoolean(false));
  }

  private static Instance.Status status(String word) throws MalformedMessageException {
    return switch (word) {
      case "booting" -> Instance.Status.BOOTING;
      case "running" -> Instance.Status.RUNNING;
      case "failed" -> Instance.Status.FAILED;
      default -> throw new MalformedMessageException("status is unknown: " + word);
    };
  }
}
