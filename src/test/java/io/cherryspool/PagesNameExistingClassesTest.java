package io.cherryspool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the documentation of the code names only classes and members that exist. */
class PagesNameExistingClassesTest {
  /**
   * A type in back quotes, optionally with a member; a trailing {@code ...} means that the name of
   * the member is abbreviated.
   */
  private static final Pattern NAME =
      Pattern.compile("`([A-Z][a-z]\\w*)(?:\\.([a-zA-Z]\\w*)(\\.\\.\\.)?)?`");

  /** Names in back quotes that look like types of this project but are not. */
  private static final List<String> IGNORED_NAMES = List.of("ObjectMapper");

  private static final Map<String, String> SOURCES = new HashMap<>();

  @BeforeAll
  static void readSources() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("src"))) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        String name = file.getFileName().toString().replace(".java", "");
        SOURCES.put(name, Files.readString(file));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "docs/architecture.md",
        "docs/design.md",
        "docs/partitions.md",
        "docs/recovery.md",
        "DEVELOPERS.md"
      })
  void eachClassAndMemberThatAPageNamesExists(String page) throws IOException {
    List<String> missing = new ArrayList<>();
    int found = 0;
    Matcher names = NAME.matcher(Files.readString(Path.of(page)));
    while (names.find()) {
      if (IGNORED_NAMES.contains(names.group(1))) {
        continue;
      }
      found++;
      if (!exists(names.group(1), names.group(2), names.group(3) != null)) {
        missing.add(names.group());
      }
    }
    assertEquals(List.of(), missing, page);
    assertFalse(found == 0, page + " names no class of this project");
  }

  private static boolean exists(String type, String member, boolean isAbbreviated) {
    String source = SOURCES.get(type);
    if (source == null || member == null) {
      return source != null;
    }
    String word = "\\b" + Pattern.quote(member) + (isAbbreviated ? "" : "\\b");
    return Pattern.compile(word).matcher(source).find();
  }
}
