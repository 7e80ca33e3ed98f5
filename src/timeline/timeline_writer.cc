// Stamping on the event loop's thread, writing on another.
#include "tamaracklatch/timeline/timeline_writer.h"

#include <fmt/format.h>

#include <cassert>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "tamaracklatch/timeline/timeline_queue.h"

namespace tamaracklatch {

// Invariant: `unsaid` events were dropped since the last event that said so.
struct timeline_writer::state {
  state(const timeline_writer_settings& given, hybrid_clock* shared_clock,
        std::function<wall_time()> read_clock)
      : settings(given),
        clock(shared_clock),
        now(std::move(read_clock)),
        queue(given.queue_entries),
        file(given.file) {}

  bool Push(const event& what);
  bool SayDropped();
  void Run();
  void WriteWaiting(std::vector<timeline_entry>* batch);

  const timeline_writer_settings settings;
  hybrid_clock* const clock;
  const std::function<wall_time()> now;
  timeline_queue queue;
  std::uint64_t dropped = 0;
  std::uint64_t unsaid = 0;

  timeline_file file;  // the writing thread's own

  std::mutex mutex;
  std::condition_variable wake;
  bool stopping = false;  // under `mutex`
  std::thread thread;
};

bool timeline_writer::state::Push(const event& what) {
  return queue.Push({clock->Tick(now()), settings.source, what});
}

bool timeline_writer::state::SayDropped() {
  event said;
  said.id = event_id::kTimelineDropped;
  said.detail = fmt::format("{} events dropped", unsaid);
  if (!Push(said)) return false;
  unsaid = 0;
  return true;
}

void timeline_writer::state::WriteWaiting(std::vector<timeline_entry>* batch) {
  queue.TakeAll(batch);
  file.Append(*batch);
  batch->clear();
}

void timeline_writer::state::Run() {
  std::vector<timeline_entry> batch;
  std::unique_lock<std::mutex> lock(mutex);
  while (!stopping) {
    wake.wait_for(lock, settings.write_interval);
    lock.unlock();
    WriteWaiting(&batch);
    lock.lock();
  }
}

timeline_writer::timeline_writer(const timeline_writer_settings& settings,
                                 hybrid_clock* clock,
                                 std::function<wall_time()> now)
    : state_(std::make_unique<state>(settings, clock, std::move(now))) {
  assert(clock != nullptr);
  state_->thread = std::thread([this] { state_->Run(); });
}

timeline_writer::~timeline_writer() {
  {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    state_->stopping = true;
  }
  state_->wake.notify_one();
  state_->thread.join();
  // The thread has ended, so its file may be used here.
  std::vector<timeline_entry> batch;
  state_->WriteWaiting(&batch);
  if (state_->unsaid > 0 && state_->SayDropped()) state_->WriteWaiting(&batch);
}

void timeline_writer::OnEvent(const event& what) {
  const bool caught_up = state_->unsaid == 0 || state_->SayDropped();
  if (caught_up && state_->Push(what)) return;
  ++state_->dropped;
  ++state_->unsaid;
}

std::uint64_t timeline_writer::dropped() const { return state_->dropped; }

}  // namespace tamaracklatch
