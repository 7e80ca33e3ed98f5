// Holding and streaming of one answer.
#include "request/answer_buffer.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamaracklatch {

void answer_buffer::Begin(std::uint16_t status, std::string headers) {
  assert(status != 0);
  status_ = status;
  headers_ = std::move(headers);
}

bool answer_buffer::Hold(const std::string& bytes) {
  assert(!streamed_);
  held_ += bytes;
  return held_.size() <= window_;
}

std::string answer_buffer::TakeHeld() {
  streamed_ = true;
  return std::exchange(held_, std::string());
}

void answer_buffer::OnSent(std::size_t bytes) {
  unsent_ -= std::min(unsent_, bytes);
}

}  // namespace tamaracklatch
