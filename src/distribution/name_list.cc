// Both sides of the transfer of a list of names in parts.
#include "tamaracklatch/distribution/name_list.h"

#include <algorithm>
#include <utility>

namespace tamaracklatch {
namespace {

// Maximum number of names in one part: about 1 KB.
constexpr std::size_t kNamesPerPart = 48;
// Maximum number of names below one relay: 131,000 daemons, with headroom.
constexpr std::size_t kMaxNames = 1U << 18U;

}  // namespace

std::uint64_t SumOfNames(const std::vector<node_identity>& names) {
  std::uint64_t sum = 0;
  for (const node_identity& name : names) sum += HashIdentity(name);
  return sum;
}

bool name_list_reader::OnPart(const name_list_part& part) {
  if (part.part == 0) {
    partial_.clear();
    partial_list_ = part.list;
    next_part_ = 0;
  }
  if (part.list != partial_list_ || part.part != next_part_) return false;
  if (partial_.size() + part.names.size() > kMaxNames) return false;
  partial_.insert(partial_.end(), part.names.begin(), part.names.end());
  ++next_part_;
  if (!part.is_last) return false;
  const std::uint64_t sum = SumOfNames(partial_);
  if (sum != part.list) return false;
  names_ = std::move(partial_);
  sum_ = sum;
  partial_.clear();
  next_part_ = 0;
  partial_list_ = 0;
  return true;
}

void name_list_writer::Set(std::vector<node_identity> names, time_point now) {
  const std::uint64_t sum = SumOfNames(names);
  if (sum == sum_ && names.size() == names_.size()) return;
  names_ = std::move(names);
  sum_ = sum;
  changed_ = now;
  next_part_ = 0;
}

std::optional<name_list_part> name_list_writer::Part(std::uint64_t known,
                                                     duration settle,
                                                     time_point now) const {
  if (known == sum_ || now - changed_ < settle) return std::nullopt;
  name_list_part part;
  part.list = sum_;
  part.part = next_part_;
  const std::size_t first = next_part_ * kNamesPerPart;
  const std::size_t last = std::min(first + kNamesPerPart, names_.size());
  part.names.assign(names_.begin() + static_cast<std::ptrdiff_t>(first),
                    names_.begin() + static_cast<std::ptrdiff_t>(last));
  part.is_last = last == names_.size();
  return part;
}

void name_list_writer::OnAnswered(std::uint64_t known) {
  if (known == sum_) {
    next_part_ = 0;
    return;
  }
  ++next_part_;
  if (next_part_ * kNamesPerPart >= names_.size()) next_part_ = 0;
}

}  // namespace tamaracklatch
