// The writing thread: a disk that hangs holds up nobody but itself.
#include "daemon/storage_thread.h"

#include <criterion/criterion.h>

#include <array>
#include <future>

namespace tamaracklatch::test {
namespace {

// A disk that answers when it is told to.
class held_storage final : public log_storage {
 public:
  std::optional<stored_state> Load(failure* /*last_failure*/) override {
    return stored_state{};
  }
  bool Persist(const storage_batch& batch, failure* last_failure) override {
    released.at(batches++).get_future().wait();
    entries += batch.entries.size();
    SetFailure(last_failure, result_code::kDiskFull, "no room");
    return batch.entries.size() > 1;
  }

  std::array<std::promise<void>, 3> released;  // one a batch
  std::size_t batches = 0;
  std::size_t entries = 0;
};

Test(storage_thread, tells_what_became_of_each_batch) {
  held_storage storage;
  std::promise<std::optional<failure>> told;
  storage_thread thread(&storage, [&](const std::optional<failure>& refused) {
    told.set_value(refused);
  });
  std::size_t number = 0;
  for (const std::size_t size : {1U, 2U, 1U}) {
    storage_batch batch;
    batch.entries.resize(size);
    told = {};
    auto answer = told.get_future();
    const std::size_t before = storage.entries;
    // Comes back though the disk hangs.
    thread.Write(batch);
    cr_assert_eq(storage.entries, before);
    storage.released.at(number++).set_value();
    const std::optional<failure> refused = answer.get();
    cr_assert_eq(refused.has_value(), size == 1);
    if (refused) cr_assert(refused->code == result_code::kDiskFull);
    cr_assert_eq(storage.entries, before + size);
  }
}

}  // namespace
}  // namespace tamaracklatch::test
