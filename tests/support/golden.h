// Golden files: the recorded text of a whole session. With
// TAMARACKLATCH_WRITE_GOLDEN set, the file is written anew; read the difference
// before it is committed.
#pragma once

#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace tamaracklatch::test {

// Compares `actual` with the file at `path`, relative to the folder tests/.
inline void CheckGolden(const std::string& path, const std::string& actual) {
  if (std::getenv("TAMARACKLATCH_WRITE_GOLDEN") != nullptr) {
    std::ofstream(path) << actual;
    return;
  }
  std::ifstream file(path);
  cr_assert(file.good(), "golden file %s is missing", path.c_str());
  std::stringstream expected;
  expected << file.rdbuf();
  cr_assert(expected.str() == actual, "%s differs; now:\n%s", path.c_str(),
            actual.c_str());
}

}  // namespace tamaracklatch::test
