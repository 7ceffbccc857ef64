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

/** Checks that packages depend on one another only as docs/design.md specifies. */
class PackageDependenciesTest {
  private static final String ROOT = "io.cherryspool";

  /**
   * The layers of packages from top to bottom. A package may use all packages in lower layers, but
   * no package in its own layer.
   */
  private static final List<List<String>> LAYERS =
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

  /**
   * The layers of the subpackages of {@code controller}. The classes of {@code controller} itself
   * form the layer above them.
   */
  private static final List<List<String>> CONTROLLER_LAYERS =
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

  /** The dependencies that violate the layers; docs/design.md states the reason for each. */
  private static final List<AllowedDependency> ALLOWED_DEPENDENCIES =
      List.of(
          new AllowedDependency("controller.Controller", "config.Settings"),
          new AllowedDependency("controller.Controller", "config.OperatorSettings"),
          new AllowedDependency("controller.ControllerModule", "config.Settings"),
          new AllowedDependency("controller.ControllerModule", "config.Settings$StateStoreLimits"),
          new AllowedDependency("controller.ControllerModule", "config.OperatorSettings"),
          new AllowedDependency("controller.ControllerModule", "config.RecoverySettings"),
          new AllowedDependency("controller.ControllerModule", "config.PartitionSettings"),
          new AllowedDependency("controller.ServiceClients", "config.Settings"),
          new AllowedDependency("controller.ServiceClients", "config.Settings$StateStoreLimits"),
          new AllowedDependency("controller.ServiceClients", "config.PartitionSettings"),
          new AllowedDependency("controller.timing.Timings", "config.Settings"),
          new AllowedDependency("controller.timing.Timings", "config.OperatorSettings"),
          new AllowedDependency("wire.CloudProtocol", "http.Request"),
          new AllowedDependency("wire.StateStoreProtocol", "http.Request"));

  private final JavaClasses classes =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages(ROOT);

  /** A dependency of one class on another that violates the layers. */
  private record AllowedDependency(String origin, String target) {
    String originName() {
      return ROOT + "." + origin;
    }

    String targetName() {
      return ROOT + "." + target;
    }
  }

  @Test
  void packagesDependOnlyOnLowerLayers() {
    LayeredArchitecture layers =
        addLayers(
            layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .ensureAllClassesAreContainedInArchitecture(),
            ROOT,
            LAYERS,
            List.of());
    for (AllowedDependency dependency : ALLOWED_DEPENDENCIES) {
      layers = layers.ignoreDependency(dependency.originName(), dependency.targetName());
    }
    layers.check(classes);
  }

  @Test
  void controllerPackagesDependOnlyOnLowerLayers() {
    String root = ROOT + ".controller";
    LayeredArchitecture layers =
        layeredArchitecture().consideringOnlyDependenciesInLayers().layer("node").definedBy(root);
    addLayers(layers, root, CONTROLLER_LAYERS, List.of("node"))
        .whereLayer("node")
        .mayNotBeAccessedByAnyLayer()
        .check(classes);
  }

  @Test
  void eachControllerPackageBelongsToALayer() {
    Set<String> layered = new TreeSet<>();
    CONTROLLER_LAYERS.forEach(layered::addAll);
    Set<String> present = new TreeSet<>();
    String prefix = ROOT + ".controller.";
    for (JavaClass type : classes) {
      if (type.getPackageName().startsWith(prefix)) {
        present.add(type.getPackageName().substring(prefix.length()));
      }
    }
    assertEquals(layered, present);
  }

  /**
   * Adds a layer for each package. Only the {@code top} layers and the packages in higher layers
   * may access it.
   */
  private static LayeredArchitecture addLayers(
      LayeredArchitecture start, String root, List<List<String>> packageLayers, List<String> top) {
    LayeredArchitecture layers = start;
    List<String> upperLayers = new ArrayList<>(top);
    for (List<String> layer : packageLayers) {
      for (String name : layer) {
        layers = layers.layer(name).definedBy(root + "." + name + "..");
        layers =
            upperLayers.isEmpty()
                ? layers.whereLayer(name).mayNotBeAccessedByAnyLayer()
                : layers
                    .whereLayer(name)
                    .mayOnlyBeAccessedByLayers(upperLayers.toArray(String[]::new));
      }
      upperLayers.addAll(layer);
    }
    return layers;
  }

  @Test
  void packagesHaveNoCyclicDependencies() {
    slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(classes);
  }

  @Test
  void eachAllowedDependencyIsStillUsed() {
    for (AllowedDependency dependency : ALLOWED_DEPENDENCIES) {
      boolean isUsed =
          classes.get(dependency.originName()).getDirectDependenciesFromSelf().stream()
              .anyMatch(found -> found.getTargetClass().getName().equals(dependency.targetName()));
      assertTrue(isUsed, dependency + " is allowed but not used");
    }
  }
}
