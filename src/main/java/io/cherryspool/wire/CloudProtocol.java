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
  /** The cloud answers 503 with this error when an offering is out of capacity. */
  private static final String NO_CAPACITY = "no capacity";

  private CloudProtocol() {}

  /**
   * One page of the instance list, in the order of the instances' names.
   *
   * @param hasMore whether another page follows, which begins after the last name of this one
   */
  public record InstancePage(List<Instance> instances, boolean hasMore) {}

  /** The request for the machine types and their current prices. */
  public static Request catalogRequest() {
    return Request.get("/catalog");
  }

  /**
   * Decodes the catalog, also in the stored form of {@link #encodeCatalog}.
   *
   * @return the machine types in the cloud's order; immutable and not empty
   * @throws MalformedMessageException if a type lacks a field, or there is no type
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

  /** Encodes the catalog in the cloud's form, in which the state store keeps it. */
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
   * The request for new instances of one offering. It is idempotent by its name.
   *
   * @param name the request's name, which must never have been used for another request
   * @param count how many instances, at most 50; the cloud may grant fewer
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
   * Whether the body of a 503 says that the offering is out of capacity. An outage of the cloud has
   * the same status.
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
   * @return the names of the instances granted, fewer than requested or none
   */
  public static List<String> parseInstanceNames(JsonNode node) throws MalformedMessageException {
    return Json.requiredTexts(node, ProtocolFields.MACHINES);
  }

  /**
   * The request to delete instances. The cloud ignores unknown names.
   *
   * @param machines the instances' names, at most 100
   */
  public static Request deleteRequest(List<String> machines) {
    ObjectNode node = Json.object();
    ArrayNode names = node.putArray(ProtocolFields.MACHINES);
    machines.forEach(names::add);
    return Request.post("/machines/delete", Json.toBytes(node));
  }

  /**
   * The request for one page of the instance list.
   *
   * @param after the last name of the page before, null for the first page
   * @param limit the most instances in the page, at most 500
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

  private static Instance.Status parseStatus(String word) throws MalformedMessageException {
    return switch (word) {
      case "booting" -> Instance.Status.BOOTING;
      case "running" -> Instance.Status.RUNNING;
      case "failed" -> Instance.Status.FAILED;
      default -> throw new MalformedMessageException("status is unknown: " + word);
    };
  }
}
