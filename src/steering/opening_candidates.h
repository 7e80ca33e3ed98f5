// Selects the candidates of an opening from the accepting targets of a service:
// the first two of the flow's order in the own zone and the first two of all
// zones. At least three if there are as many, so that the three copies of an
// opening can go to different targets.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace tamaracklatch {

class opening_candidates {
 public:
  // Adds a target; the one with the highest weight is the first of the order,
  // and among equal ones the one added first.
  void Add(std::uint64_t weight, std::uint32_t target, bool own_zone) {
    all_zones_.Add({weight, target});
    if (own_zone) own_zone_.Add({weight, target});
  }

  // Sets `out` to the candidates in the flow's order. The first two are the
  // same in all zones.
  void List(std::vector<std::uint32_t>* out) const {
    out->clear();
    for (std::size_t at = 0; at < std::min<std::size_t>(all_zones_.count, 2);
         ++at)
      out->push_back(all_zones_.first[at].target);
    for (std::size_t at = 0; at < own_zone_.count; ++at) {
      const std::uint32_t target = own_zone_.first[at].target;
      if (std::find(out->begin(), out->end(), target) == out->end())
        out->push_back(target);
    }
    if (out->size() == 2 && all_zones_.count > 2)
      out->push_back(all_zones_.first[2].target);
  }

 private:
  struct ranked {
    std::uint64_t weight = 0;
    std::uint32_t target = 0;
  };
  // The first `Most` of the order, among the targets added.
  template <std::size_t Most>
  struct head {
    std::array<ranked, Most> first;
    std::size_t count = 0;

    void Add(ranked added) {
      if (count == Most) {
        if (added.weight <= first[Most - 1].weight) return;
      } else {
        ++count;
      }
      std::size_t at = count - 1;
      for (; at > 0 && first[at - 1].weight < added.weight; --at)
        first[at] = first[at - 1];
      first[at] = added;
    }
  };

  head<3> all_zones_;
  head<2> own_zone_;
};

}  // namespace tamaracklatch
