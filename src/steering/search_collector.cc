// Outcomes of parts until the last one.
#include "steering/search_collector.h"

#include <algorithm>
#include <utility>

namespace tamaracklatch {
namespace {

// A part that has not ended by then has met a dead daemon or was lost. The next
// retransmission of the segment searches again.
constexpr std::chrono::seconds kMaxSearchTime{1};

}  // namespace

bool search_collector::Begin(const collected_search& begun,
                             std::uint64_t missing, time_point now) {
  const auto known = searches_.find(begun.header.flow);
  if (known != searches_.end() && known->second.expires > now) return false;
  if (known == searches_.end() && searches_.size() >= max_searches_)
    return false;
  searches_[begun.header.flow] = {begun, missing, now + kMaxSearchTime};
  return true;
}

std::optional<collected_search> search_collector::Add(
    const steering_header& outcome, time_point now) {
  const auto found = searches_.find(outcome.flow);
  if (found == searches_.end() || found->second.expires <= now)
    return std::nullopt;
  search& known = found->second;
  const std::uint64_t bit = std::uint64_t{1} << outcome.part;
  if ((known.missing & bit) == 0) return std::nullopt;
  known.missing &= ~bit;
  collected_search& collected = known.collected;
  collected.nodes.insert(outcome.visits.begin(),
                         outcome.visits.begin() + outcome.visit_count);
  collected.possible_owners =
      std::max<std::size_t>(collected.possible_owners, outcome.possible_owners);
  collected.uncertain = collected.uncertain || outcome.uncertain;
  if (known.missing != 0) return std::nullopt;
  collected_search ended = std::move(collected);
  searches_.erase(found);
  return ended;
}

void search_collector::Sweep(time_point now) {
  for (auto each = searches_.begin(); each != searches_.end();) {
    each =
        each->second.expires <= now ? searches_.erase(each) : std::next(each);
  }
}

}  // namespace tamaracklatch
