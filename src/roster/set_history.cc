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

void set_history::Add(std::uint64_t version, std::string bytes) {
  assert(version > head_.version && bytes.size() <= kMaxSetBytes);
  const auto base =
      head_.version == 0 ? std::nullopt : DecodeDocumentSet(bytes_);
  const auto next = base ? DecodeDocumentSet(bytes) : std::nullopt;
  if (base && next) {
    steps_.push_back({head_.version, head_.hash, EncodeSetDelta(*base, *next)});
    step_bytes_ += steps_.back().delta.size();
  } else {
    steps_.clear();
    step_bytes_ = 0;
  }
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

}  // namespace tamaracklatch
