// Keeps the deltas between the document sets that a hub has held.
#include "roster/set_history.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>
#include <vector>

#include "tamaracklatch/control/document_set.h"
#include "tamaracklatch/control/set_delta.h"
#include "tamaracklatch/core/hash.h"

namespace tamaracklatch {
namespace {

constexpr std::size_t kMaxSteps = 256;  // deltas

}  // namespace

void set_history::Add(std::uint64_t version, std::string bytes, bool is_next) {
  assert(version > head_.version && bytes.size() <= kMaxSetBytes);
  const auto base =
      head_.version == 0 ? std::nullopt : DecodeDocumentSet(bytes_);
  const auto next = base ? DecodeDocumentSet(bytes) : std::nullopt;
  if (base && next) {
    steps_.push_back(
        {head_.version, head_.hash, is_next, EncodeSetDelta(*base, *next)});
    step_bytes_ += steps_.back().delta.size();
  } else {
    steps_.clear();
    step_bytes_ = 0;
  }
  previous_ = is_next ? head_.version : 0;
  head_ = {version, bytes.size(), HashBytes(bytes.data(), bytes.size())};
  bytes_ = std::move(bytes);
  while (step_bytes_ > bytes_.size() || steps_.size() > kMaxSteps) {
    step_bytes_ -= steps_.front().delta.size();
    steps_.pop_front();
  }
}

std::string set_history::DeltaFrom(std::uint64_t version,
                                   std::uint64_t hash) const {
  auto from = std::find_if(steps_.begin(), steps_.end(), [&](const step& each) {
    return each.version == version;
  });
  if (from == steps_.end() || from->hash != hash) return {};
  std::vector<std::string_view> deltas;
  for (; from != steps_.end(); ++from) deltas.emplace_back(from->delta);
  std::string joined = JoinSetDeltas(deltas);
  return joined.size() < bytes_.size() ? joined : std::string();
}

std::uint64_t set_history::CompleteSince(std::uint64_t base) const {
  if (base == 0) return previous_;
  const auto from =
      std::find_if(steps_.begin(), steps_.end(),
                   [&](const step& each) { return each.version == base; });
  const bool is_complete =
      from != steps_.end() &&
      std::all_of(from, steps_.end(),
                  [](const step& each) { return each.is_next; });
  return is_complete ? base : 0;
}

}  // namespace tamaracklatch
