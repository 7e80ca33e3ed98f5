// The input files of the commands over time lines and logs.
#pragma once

#include <cstdint>
#include <functional>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace tamaracklatch {

// Gives each file to `read`. On the first that can't be read says so and
// returns false.
bool ReadInputFiles(const std::vector<std::string>& files,
                    const std::function<void(std::istream&)>& read,
                    std::ostream& errors);

// Says how many lines were skipped, if any.
void SayMalformed(std::uint64_t lines, std::ostream& errors);

}  // namespace tamaracklatch
