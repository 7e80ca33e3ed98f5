// The bytes of one answer between the target and the caller: held until it is
// whole or too long to be held, then passed on within a window.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace tamaracklatch {

// Invariants: an answer that is not streamed is held whole, at most `window`
// bytes; one that is streamed holds nothing, and unsent() is what the caller
// has not taken.
class answer_buffer {
 public:
  explicit answer_buffer(std::size_t window) : window_(window) {}

  void Begin(std::uint16_t status, std::string headers);

  // Adds bytes. Returns false when the answer has become too long to be held:
  // then take what is held with TakeHeld() and stream from now on.
  bool Hold(const std::string& bytes);

  // Gives what is held; the answer is streamed from now on.
  std::string TakeHeld();

  // Bytes went towards the caller, or were taken by it.
  void OnStreamed(std::size_t bytes) { unsent_ += bytes; }
  void OnSent(std::size_t bytes);

  // Nobody takes the bytes any more.
  void OnDiscarded() { unsent_ = 0; }

  // Whether the target's answer should not be read now; kept by SetPaused().
  bool ShouldPause() const { return !paused_ && unsent_ > window_; }
  bool ShouldResume() const { return paused_ && unsent_ <= window_ / 2; }
  void SetPaused(bool paused) { paused_ = paused; }

  bool begun() const { return status_ != 0; }
  bool streamed() const { return streamed_; }
  std::uint16_t status() const { return status_; }
  const std::string& headers() const { return headers_; }
  const std::string& held() const { return held_; }

 private:
  std::size_t window_;
  std::uint16_t status_ = 0;
  std::string headers_;
  std::string held_;
  bool streamed_ = false;
  std::size_t unsent_ = 0;
  bool paused_ = false;
};

}  // namespace tamaracklatch
