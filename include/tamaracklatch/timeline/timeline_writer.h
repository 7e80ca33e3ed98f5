// Takes the events of one process, stamps them and has a thread of its own
// write them. The caller never waits: what does not fit is dropped, counted and
// said in the time line itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "tamaracklatch/core/event.h"
#include "tamaracklatch/core/time.h"
#include "tamaracklatch/timeline/hybrid_clock.h"
#include "tamaracklatch/timeline/timeline_entry.h"
#include "tamaracklatch/timeline/timeline_file.h"

namespace tamaracklatch {

struct timeline_writer_settings {
  timeline_source source;
  timeline_file_settings file;
  std::size_t queue_entries = 8192;  // that may wait for the file
  std::chrono::milliseconds write_interval{200};
};

// Construct it before the event loop runs; all calls but the constructor's come
// from the loop's thread. The destructor writes what waits.
class timeline_writer : public event_listener {
 public:
  // `clock` is the process's clock, shared with its links, and must outlive the
  // writer; `now` reads the wall clock.
  timeline_writer(const timeline_writer_settings& settings, hybrid_clock* clock,
                  std::function<wall_time()> now);
  ~timeline_writer() override;

  void OnEvent(const event& what) override;

  // Events dropped because the queue was full.
  std::uint64_t dropped() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tamaracklatch
