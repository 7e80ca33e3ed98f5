// Properties inside Criterion tests: a failed property prints its
// counter-example and fails the test.
#pragma once

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace tamaracklatch::test {

// Checks `property` with the seed and number of cases that RC_PARAMS gives.
template <typename Property>
void CheckProperty(const std::string& name, Property property) {
  cr_assert(rc::check(name, std::move(property)), "property \"%s\" failed",
            name.c_str());
}

}  // namespace tamaracklatch::test
