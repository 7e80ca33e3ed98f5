// Tests of abbreviated names: their size, that they stay apart, and what must
// not differ between versions.
#include "tamaracklatch/core/abbreviated_name.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace tamaracklatch {
namespace {

std::string Repeated(const std::string& letter, std::size_t count) {
  std::string name;
  for (std::size_t i = 0; i < count; ++i) name += letter;
  return name;
}

// Guards against a split of an installation whose nodes have different
// releases: earlier ones announce short names as they are.
Test(abbreviated_name, results_are_fixed) {
  struct row {
    std::string name;
    std::string abbreviated;
  };
  const std::string digits = "0123456789abcdef0123456789abcdef";
  const std::string forged = std::string(31, 's') + "~" + digits;
  const row rows[] = {
      {"", ""},
      {"desk", "desk"},
      {std::string(128, 's'), std::string(128, 's')},
      {std::string(129, 's'),
       std::string(31, 's') + "~790980b9425714cce0b3b70c1258c1ec"},
      {Repeated("\u00fc", 64), Repeated("\u00fc", 64)},
      // Not cut within a letter.
      {Repeated("\u00fc", 65),
       Repeated("\u00fc", 15) + "~098058aba54ccbf39520bfb737700912"},
      {Repeated("\U0001f98b", 33),
       Repeated("\U0001f98b", 7) + "~422d21836e25962289f35796aefec0e8"},
      // Reads like an abbreviation.
      {forged, std::string(31, 's') + "~ceba4df47b560043c3c3f45596d6dffe"},
      {"s~" + digits, "s~" + digits},
  };
  for (const row& each : rows) {
    const std::string abbreviated = AbbreviateName(each.name);
    cr_expect(abbreviated == each.abbreviated, "%s is %s", each.name.c_str(),
              abbreviated.c_str());
    cr_expect(DigestOfAbbreviated(abbreviated) == DigestName(each.name), "%s",
              each.name.c_str());
  }
}

// Guards against two names that count as one, and against a name that no
// message has room for.
Test(abbreviated_name, different_names_stay_different) {
  std::set<std::string> abbreviated;
  std::size_t count = 0;
  for (const std::size_t size :
       {1U, 63U, 64U, 65U, 127U, 128U, 129U, 256U, 400U, 4000U}) {
    for (const char last : {'a', 'b', '\xff'}) {
      const std::string name = std::string(size - 1, 'n') + last;
      const std::string result = AbbreviateName(name);
      cr_expect(result.size() <= kMaxAbbreviatedName, "%zu bytes of %zu",
                result.size(), size);
      abbreviated.insert(result);
      // A service may be named as another one is abbreviated.
      abbreviated.insert(AbbreviateName(result));
      count += result == name ? 1 : 2;
    }
  }
  cr_expect_eq(abbreviated.size(), count);
}

}  // namespace
}  // namespace tamaracklatch
