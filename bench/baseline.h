// The baseline that figures which depend on the machine's speed are divided by,
// and straight lines fitted to measurements.
#pragma once

#include <vector>

namespace tamaracklatch::bench {

// Time of one XXH3 hash of 64 bytes, each fed by the one before, in seconds:
// the smallest of several runs, measured once a process.
double BaselineSeconds();

// One measurement at one size.
struct sample {
  double size = 0.0;
  double value = 0.0;
};

// Least-squares slope of value over size. Needs two samples of different size.
double Slope(const std::vector<sample>& samples);

}  // namespace tamaracklatch::bench
