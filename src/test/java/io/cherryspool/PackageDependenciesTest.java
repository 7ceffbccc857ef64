package io.cherryspool;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** That packages depend on one another only in the order that docs/design.md gives. */
class PackageDependenciesTest {
  private static final String ROOT = "io.cherryspool";

  /** From the top: each rank may use all ranks below it, and its members not one another. */
  private static final List<List<String>> ORDER =
      List.of(
          List.of("cli"),
          List.of("config"),
          List.of("controller"),
          List.of("recovery"),
          List.of("reachability"),
          List.of("scheduler", "store", "cloud", "worker", "mesh"),
          List.of("http"),
          List.of("wire"),
          List.of("model"),
          List.of("lifecycle"));

  /** The same for the packages below {@code controller}, whose own class is above them all. */
  private static final List<List<String>> CONTROLLER_ORDER =
      List.of(
          List.of("api"),
          List.of("recovery"),
          List.of("election", "leader"),
          List.of("provisioning"),
          List.of("rounds"),
          List.of("release"),
          List.of("fleet"),
          List.of("ownership"),
          List.of("metrics", "timing"));

  /** The single dependencies against the order; each reason is in docs/design.md. */
  private static final List<AllowedEdge> ALLOWED_EDGES =
      List.of(
          new AllowedEdge("controller.Controller", "config.Settings"),
          new AllowedEdge("controller.Controller", "config.OperatorSettings"),
          new AllowedEdge("controller.ControllerModule", "config.Settings"),
          new AllowedEdge("controller.ControllerModule", "config.Settings$StateStoreLimits"),
          new AllowedEdge("controller.ControllerModule", "config.OperatorSettings"),
          new AllowedEdge("controller.ControllerModule", "config.RecoverySettings"),
          new AllowedEdge("controller.ControllerModule", "config.PartitionSettings"),
          new AllowedEdge("controller.ServiceClients", "config.Settings"),
          new AllowedEdge("controller.ServiceClients", "config.Settings$StateStoreLimits"),
          new AllowedEdge("controller.ServiceClients", "config.PartitionSettings"),
          new AllowedEdge("controller.timing.Timings", "config.Settings"),
          new AllowedEdge("controller.timing.Timings", "config.OperatorSettings"),
          new AllowedEdge("wire.CloudProtocol", "http.Request"),
          new AllowedEdge("wire.StateStoreProtocol", "http.Request"));

  private final JavaClasses classes =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages(ROOT);

  /** A class that uses another against the order. */
  private record AllowedEdge(String origin, String target) {
    String originName() {
      return ROOT + "." + origin;
    }

    String targetName() {
      return ROOT + "." + target;
    }
  }

  @Test
  void packagesDependOnlyOnThoseBelowThem() {
    LayeredArchitecture layers =
        ranked(
            layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .ensureAllClassesAreContainedInArchitecture(),
            ROOT,
            ORDER,
            List.of());
    for (AllowedEdge edge : ALLOWED_EDGES) {
      layers = layers.ignoreDependency(edge.originName(), edge.targetName());
    }
    layers.check(classes);
  }

  @Test
  void packagesOfTheControllerDependOnlyOnThoseBelowThem() {
    String root = ROOT + ".controller";
    LayeredArchitecture layers =
        layeredArchitecture().consideringOnlyDependenciesInLayers().layer("node").definedBy(root);
    ranked(layers, root, CONTROLLER_ORDER, List.of("node"))
        .whereLayer("node")
        .mayNotBeAccessedByAnyLayer()
        .check(classes);
  }

  @Test
  void eachPackageOfTheControllerHasARank() {
    Set<String> ranked = new TreeSet<>();
    CONTROLLER_ORDER.forEach(ranked::addAll);
    Set<String> present = new TreeSet<>();
    String prefix = ROOT + ".controller.";
    for (JavaClass type : classes) {
      if (type.getPackageName().startsWith(prefix)) {
        present.add(type.getPackageName().substring(prefix.length()));
      }
    }
    assertEquals(ranked, present);
  }

  /** Adds the ranks as layers, each open to the given ones and to the ranks above it only. */
  private static LayeredArchitecture ranked(
      LayeredArchitecture start, String root, List<List<String>> order, List<String> top) {
    LayeredArchitecture layers = start;
    List<String> above = new ArrayList<>(top);
    for (List<String> rank : order) {
      for (String name : rank) {
        layers = layers.layer(name).definedBy(root + "." + name + "..");
        layers =
            above.isEmpty()
                ? layers.whereLayer(name).mayNotBeAccessedByAnyLayer()
                : layers.whereLayer(name).mayOnlyBeAccessedByLayers(above.toArray(String[]::new));
      }
      above.addAll(rank);
    }
    return layers;
  }

  @Test
  void packagesFormNoCycle() {
    slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(classes);
  }

  @Test
  void eachAllowedEdgeIsStillNeeded() {
    for (AllowedEdge edge : ALLOWED_EDGES) {
      boolean used =
          classes.get(edge.originName()).getDirectDependenciesFromSelf().stream()
              .anyMatch(found -> found.getTargetClass().getName().equals(edge.targetName()));
      assertTrue(used, edge + " is listed and not used");
    }
  }
}
