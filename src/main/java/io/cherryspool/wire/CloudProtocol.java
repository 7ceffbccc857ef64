package io.cherryspool.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Request;
import io.cherryspool.model.Instance;
import io.cherryspool.model.MachineType;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Encodes requests to the cloud and decodes its responses. */
public final class CloudProtocol {
  /** The error text of the cloud's 503 response when an offering is out of capacity. */
  private static final String NO_CAPACITY = "no capacity";

  private CloudProtocol() {}

  /**
   * One page of the instance list, ordered by instance name.
   *
   * @param hasMore whether another page follows; it begins after the last name of this page
   */
  public record InstancePage(List<Instance> instances, boolean hasMore) {}

  /** Returns the request for the machine types and their current prices. */
  public static Request catalogRequest() {
    return Request.get("/catalog");
  }

  /**
   * Decodes the catalog, either from the cloud's response or as stored by {@link #encodeCatalog}.
   *
   * @return the machine types in the cloud's order; immutable and not empty
   * @throws MalformedMessageException if the catalog is empty, or a machine type has a missing or
   *     invalid field
   */
  public static List<MachineType> parseCatalog(JsonNode node) throws MalformedMessageException {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode item : node.path(ProtocolFields.MACHINE_TYPES)) {
      types.add(parseType(item));
    }
    if (types.isEmpty()) {
      throw new MalformedMessageException("the catalog is empty");
    }
    return List.copyOf(types);
  }

  private static MachineType parseType(JsonNode node) throws MalformedMessageException {
    return new MachineType(
        Json.requiredText(node, ProtocolFields.NAME),
        Json.requiredResources(node),
        Json.requiredAmount(node, ProtocolFields.IMAGE_CACHE_GB),
        Json.requiredAmount(node, ProtocolFields.FETCH_GB_PER_SECOND),
        Json.requiredAmount(node, ProtocolFields.ON_DEMAND_PRICE),
        Json.requiredAmount(node, ProtocolFields.SPOT_PRICE),
        Json.requiredSeconds(node, ProtocolFields.BOOT_TIME),
        List.copyOf(Json.requiredTexts(node, ProtocolFields.ZONES)));
  }

  /** Encodes the catalog in the cloud's format, which is also its format in the state store. */
  public static ObjectNode encodeCatalog(List<MachineType> types) {
    ObjectNode node = Json.object();
    ArrayNode list = node.putArray(ProtocolFields.MACHINE_TYPES);
    for (MachineType type : types) {
      ObjectNode item = list.addObject();
      item.put(ProtocolFields.NAME, type.name());
      Json.putResources(item, type.capacity());
      item.put(ProtocolFields.IMAGE_CACHE_GB, type.imageCacheGb());
      item.put(ProtocolFields.FETCH_GB_PER_SECOND, type.fetchGbPerSecond());
      item.put(ProtocolFields.ON_DEMAND_PRICE, type.onDemandPrice());
      item.put(ProtocolFields.SPOT_PRICE, type.spotPrice());
      item.put(ProtocolFields.BOOT_TIME, Json.toSeconds(type.bootTime()));
      ArrayNode zones = item.putArray(ProtocolFields.ZONES);
      type.zones().forEach(zones::add);
    }
    return node;
  }

  /**
   * Returns the request for new instances of one offering: a machine type in a zone, spot or on
   * demand. If a request is repeated with the same name, the cloud starts no further instances.
   *
   * @param name the request's name, which must be unique among all requests ever sent
   * @param count the number of instances, at most 50; the cloud may grant fewer
   */
  public static Request instanceRequest(
      String name, String type, String zone, boolean isSpot, int count) {
    ObjectNode node = Json.object();
    node.put(ProtocolFields.REQUEST_NAME, name);
    node.put(ProtocolFields.MACHINE_TYPE, type);
    node.put(ProtocolFields.ZONE, zone);
    node.put(ProtocolFields.SPOT, isSpot);
    node.put(ProtocolFields.COUNT, count);
    return Request.post("/machines", Json.toBytes(node));
  }

  /**
   * Whether the body of a 503 response reports that the offering is out of capacity. The cloud also
   * responds with status 503 during an outage, but with another error.
   */
  public static boolean isNoCapacity(byte[] body) {
    try {
      return NO_CAPACITY.equals(Json.parseObject(body).path(ProtocolFields.ERROR).asText());
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  /**
   * Decodes the response to an instance request.
   *
   * @return the names of the granted instances, which may be fewer than requested, or none
   */
  public static List<String> parseInstanceNames(JsonNode node) throws MalformedMessageException {
    return Json.requiredTexts(node, ProtocolFields.MACHINES);
  }

  /**
   * Returns the request to delete instances. The cloud ignores unknown names.
   *
   * @param machines the names of the instances, at most 100
   */
  public static Request deleteRequest(List<String> machines) {
    ObjectNode node = Json.object();
    ArrayNode names = node.putArray(ProtocolFields.MACHINES);
    machines.forEach(names::add);
    return Request.post("/machines/delete", Json.toBytes(node));
  }

  /**
   * Returns the request for one page of the instance list.
   *
   * @param after the last name of the previous page; null for the first page
   * @param limit the maximum number of instances in the page, at most 500
   */
  public static Request listRequest(String after, int limit) {
    String from =
        after == null ? "" : "from=" + URLEncoder.encode(after, StandardCharsets.UTF_8) + "&";
    return Request.get("/machines?" + from + "limit=" + limit);
  }

  /** Decodes one page of the instance list. */
  public static InstancePage parsePage(JsonNode node) throws MalformedMessageException {
    List<Instance> instances = new ArrayList<>();
    for (JsonNode item : node.path(ProtocolFields.MACHINES)) {
      instances.add(
          new Instance(
              Json.requiredText(item, ProtocolFields.ID),
              Json.textOrNull(item, ProtocolFields.ADDRESS),
              Json.requiredText(item, ProtocolFields.MACHINE_TYPE),
              Json.requiredText(item, ProtocolFields.ZONE),
              Json.requiredBoolean(item, ProtocolFields.SPOT),
              parseStatus(Json.requiredText(item, ProtocolFields.STATUS)),
              Json.requiredSeconds(item, ProtocolFields.AGE)));
    }
    return new InstancePage(instances, node.path(ProtocolFields.HAS_MORE).asBoolean(false));
  }

  private static Instance.Status parseStatus(String name) throws MalformedMessageException {
    return switch (name) {
      case "booting" -> Instance.Status.BOOTING;
      case "running" -> Instance.Status.RUNNING;
      case "failed" -> Instance.Status.FAILED;
      default -> throw new MalformedMessageException("status is unknown: " + name);
    };
  }
}
