// What the three daemon programs have in common: read the settings that the
// flag names, tell every fault, run.
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/core/result_code.h"

namespace tamaracklatch {

// Exit code where the settings are wrong.
inline constexpr int kExitBadSettings = 2;

// `load` reads settings from a path, `run` runs the daemon and returns its exit
// code.
template <typename Settings>
int RunDaemonProgram(const std::string& path,
                     std::optional<Settings> (*load)(const std::string&,
                                                     std::vector<failure>*),
                     int (*run)(const Settings&)) {
  std::vector<failure> failures;
  const std::optional<Settings> settings = load(path, &failures);
  for (const failure& fault : failures)
    fmt::print(stderr, "{}: {}\n", path, ToString(fault));
  return settings ? run(*settings) : kExitBadSettings;
}

}  // namespace tamaracklatch
