// The one kind of random source that decisions take. It is always passed in,
// seeded by the caller.
#pragma once

#include <random>

namespace tamaracklatch {

using random_source = std::mt19937_64;

}  // namespace tamaracklatch
