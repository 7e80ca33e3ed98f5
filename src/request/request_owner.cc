// Decisions on idempotency keys.
#include "tamaracklatch/request/request_owner.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <map>
#include <utility>

#include "request/bucket_fences.h"
#include "request/closed_keys.h"

namespace tamaracklatch {
namespace {

// What this process knows about one key.
enum class key_phase : std::uint8_t {
  kAsking,     // earlier owners are asked
  kClaimed,    // handed to admission, not dispatched
  kRunning,    // dispatched
  kAnswered,   // ended; its answer is kept
  kForgotten,  // ended; its answer is not kept
  kUnknown,    // ended; nobody knows how
  kDenied,     // another owner was told that it never runs here
};

struct key_entry {
  key_phase phase = key_phase::kClaimed;
  std::uint64_t content = 0;
  std::vector<request_id> listeners;  // kAsking to kRunning; the run's first
  std::vector<target_id> to_ask;      // kAsking; the one asked now is last
  bool perhaps = false;               // kAsking; an earlier owner can't know
  answer_pointer answer;              // kAnswered
};

bool IsOpen(key_phase phase) {
  return phase == key_phase::kAsking || phase == key_phase::kClaimed ||
         phase == key_phase::kRunning;
}

std::size_t SizeOf(const stored_answer& answer) {
  return sizeof(stored_answer) + answer.headers.size() + answer.body.size();
}

}  // namespace

struct request_owner::state {
  explicit state(request_owner_settings chosen)
      : settings(chosen),
        fences(settings.future_margin + settings.clock_skew),
        closed(settings.max_refused) {}

  // A key minted up to then may have run before this process started.
  wall_time StartFence() const {
    return settings.started + settings.future_margin + settings.clock_skew;
  }

  key_decision Unknown(std::string reason) {
    ++counts.outcomes_unknown;
    return key_refusal{result_code::kOutcomeUnknown, false, std::move(reason)};
  }

  // What a key that is in the table means for one more request.
  key_decision Join(key_entry* entry, const keyed_request& request) {
    if (entry->phase != key_phase::kDenied &&
        entry->content != request.content) {
      return key_refusal{result_code::kKeyReused, false,
                         "the key came before with another request"};
    }
    switch (entry->phase) {
      case key_phase::kAsking:
      case key_phase::kClaimed:
      case key_phase::kRunning:
        if (entry->listeners.size() >= settings.max_listeners) {
          return key_refusal{result_code::kTooManyResends, false,
                             "too many requests wait for this key"};
        }
        entry->listeners.push_back(request.id);
        return key_wait{};
      case key_phase::kAnswered:
        ++counts.answers_given_again;
        return key_answer{entry->answer};
      case key_phase::kForgotten:
        return key_refusal{result_code::kAnswerForgotten, false,
                           "the key ran; its answer is not kept"};
      case key_phase::kUnknown:
        return Unknown("the run was lost");
      case key_phase::kDenied:
        break;
    }
    return Unknown("another owner was told that the key is not known here");
  }

  // What is sure about a key that is not in the table, apart from its bucket.
  std::optional<key_decision> CheckTimes(const keyed_request& request,
                                         time_point now, wall_time wall) {
    const wall_time minted = request.key.Minted();
    if (now >= lease_end) {
      return key_refusal{result_code::kKeyMoving, false,
                         "the lease of this daemon has run out"};
    }
    if (minted > wall + settings.future_margin) {
      return key_refusal{result_code::kKeyFromFuture, false,
                         "the key's minting time is ahead of this clock"};
    }
    if (minted <= StartFence()) {
      return Unknown("the key is not newer than this daemon's start");
    }
    if (forgotten_until && minted <= *forgotten_until) {
      return Unknown("the key is not newer than those forgotten");
    }
    return std::nullopt;
  }

  key_decision Claim(const keyed_request& request) {
    key_entry entry;
    entry.content = request.content;
    entry.listeners.push_back(request.id);
    entries.emplace(request.key, std::move(entry));
    ++counts.runs;
    return key_run{};
  }

  key_decision BeginAsking(const keyed_request& request,
                           const fence_ask& owners) {
    assert(!owners.owners.empty());
    key_entry entry;
    entry.phase = key_phase::kAsking;
    entry.content = request.content;
    entry.listeners.push_back(request.id);
    entry.to_ask = owners.owners;
    entries.emplace(request.key, std::move(entry));
    return key_ask{owners.owners.back()};
  }

  key_decision Arrive(const keyed_request& request, time_point now,
                      wall_time wall) {
    const fence_verdict verdict =
        fences.Check(request.bucket, request.key.Minted());
    const bool elsewhere = std::holds_alternative<fence_elsewhere>(verdict);
    const auto found = entries.find(request.key);
    if (found != entries.end() &&
        !(elsewhere && found->second.phase == key_phase::kDenied)) {
      return Join(&found->second, request);
    }
    if (const auto code = closed.Find(request.key);
        code && *code != result_code::kKeyClosed) {
      return key_refusal{*code, true, "the key was refused before"};
    }
    if (elsewhere) return key_elsewhere{};
    if (const auto decided = CheckTimes(request, now, wall)) return *decided;
    if (const auto* pass = std::get_if<fence_pass>(&verdict)) {
      return key_pass{pass->owner};
    }
    if (std::holds_alternative<fence_unknown>(verdict)) {
      return Unknown("the key is not newer than the move of its bucket");
    }
    if (const auto* ask = std::get_if<fence_ask>(&verdict)) {
      return BeginAsking(request, *ask);
    }
    if (closed.Find(request.key)) {
      return key_refusal{result_code::kKeyClosed, true,
                         "the key is older than the refusals kept"};
    }
    return Claim(request);
  }

  // Ends the asking with the same decision for all that wait.
  std::vector<listener_decision> EndAsking(const idempotency_key& key,
                                           const key_decision& decision) {
    std::vector<listener_decision> all;
    for (const request_id id : entries.at(key).listeners) {
      all.push_back({id, decision});
    }
    entries.erase(key);
    return all;
  }

  std::vector<listener_decision> RunAsked(const idempotency_key& key) {
    if (closed.Find(key)) {
      return EndAsking(key,
                       key_refusal{result_code::kKeyClosed, true,
                                   "the key is older than the refusals kept"});
    }
    key_entry& entry = entries.at(key);
    entry.phase = key_phase::kClaimed;
    ++counts.runs;
    std::vector<listener_decision> all;
    for (const request_id id : entry.listeners) {
      const bool first = all.empty();
      all.push_back({id, first ? key_decision(key_run{}) : key_wait{}});
    }
    return all;
  }

  // The run ended; what is left is remembered, in order of the ends.
  std::vector<request_id> End(const idempotency_key& key, key_phase phase,
                              answer_pointer answer, time_point now) {
    key_entry& entry = entries.at(key);
    assert(IsOpen(entry.phase));
    std::vector<request_id> listeners = std::move(entry.listeners);
    entry.listeners.clear();
    entry.phase = phase;
    entry.answer = std::move(answer);
    ended.push_back(key);
    if (entry.answer) {
      bytes += SizeOf(*entry.answer);
      answered.push_back({key, now});
    }
    Trim(now);
    return listeners;
  }

  void DropOldestAnswer() {
    const auto found = entries.find(answered.front().key);
    answered.pop_front();
    // The key itself may have been forgotten before its answer.
    if (found == entries.end() || !found->second.answer) return;
    bytes -= SizeOf(*found->second.answer);
    found->second.answer.reset();
    found->second.phase = key_phase::kForgotten;
    ++counts.answers_forgotten;
  }

  void DropOldestKey() {
    const idempotency_key key = ended.front();
    ended.pop_front();
    const auto found = entries.find(key);
    assert(found != entries.end() && !IsOpen(found->second.phase));
    if (found->second.answer) bytes -= SizeOf(*found->second.answer);
    entries.erase(found);
    forgotten_until =
        std::max(forgotten_until.value_or(key.Minted()), key.Minted());
    ++counts.keys_forgotten;
  }

  void Trim(time_point now) {
    while (!answered.empty() &&
           (bytes > settings.answer_bytes ||
            answered.front().ended + settings.answer_time <= now)) {
      DropOldestAnswer();
    }
    while (ended.size() > settings.max_keys) DropOldestKey();
  }

  key_knowledge Ask(const idempotency_key& key, std::uint32_t bucket,
                    time_point now) {
    const auto found = entries.find(key);
    if (found != entries.end()) {
      return found->second.phase == key_phase::kDenied ? key_knowledge::kNever
                                                       : key_knowledge::kKnown;
    }
    const wall_time minted = key.Minted();
    const auto code = closed.Find(key);
    if (code && *code != result_code::kKeyClosed) return key_knowledge::kKnown;
    if (minted <= StartFence() || fences.MayPrecede(bucket, minted) ||
        (forgotten_until && minted <= *forgotten_until)) {
      return key_knowledge::kPerhaps;
    }
    if (code) return key_knowledge::kPerhaps;
    key_entry entry;
    entry.phase = key_phase::kDenied;
    entries.emplace(key, std::move(entry));
    ended.push_back(key);
    Trim(now);
    return key_knowledge::kNever;
  }

  // An answer that is kept, in order of age.
  struct kept_answer {
    idempotency_key key;
    time_point ended;
  };

  request_owner_settings settings;
  bucket_fences fences;
  closed_keys closed;
  std::map<idempotency_key, key_entry> entries;
  std::deque<idempotency_key> ended;  // all entries that are not open
  std::deque<kept_answer> answered;
  std::size_t bytes = 0;  // of all answers in `entries`
  std::optional<wall_time> forgotten_until;
  time_point lease_end{};
  request_owner_counts counts;
};

request_owner::request_owner(request_owner_settings settings)
    : state_(std::make_unique<state>(settings)) {}
request_owner::~request_owner() = default;
request_owner::request_owner(request_owner&&) noexcept = default;
request_owner& request_owner::operator=(request_owner&&) noexcept = default;

void request_owner::Own(std::uint32_t bucket, revision at,
                        std::vector<target_id> earlier, wall_time now) {
  state_->fences.Own(bucket, at, std::move(earlier), now);
}

void request_owner::Disown(std::uint32_t bucket) {
  state_->fences.Disown(bucket);
}

void request_owner::OwnerAcknowledged(target_id owner, revision at,
                                      wall_time now) {
  state_->fences.Acknowledged(owner, at, now);
}

void request_owner::OwnerGone(target_id owner, wall_time now) {
  state_->fences.Gone(owner, now);
}

void request_owner::Renew(time_point lease_end) {
  state_->lease_end = std::max(state_->lease_end, lease_end);
}

wall_time request_owner::ready_at() const { return state_->StartFence(); }

key_decision request_owner::Arrive(const keyed_request& request, time_point now,
                                   wall_time wall) {
  state_->Trim(now);
  return state_->Arrive(request, now, wall);
}

std::vector<listener_decision> request_owner::OnReply(
    const idempotency_key& key, target_id owner,
    std::optional<key_knowledge> reply) {
  const auto found = state_->entries.find(key);
  // A late reply, or one of an owner that is not asked now, says nothing.
  if (found == state_->entries.end()) return {};
  key_entry& entry = found->second;
  if (entry.phase != key_phase::kAsking || entry.to_ask.back() != owner) {
    return {};
  }
  if (!reply) {
    return state_->EndAsking(
        key, key_refusal{result_code::kKeyMoving, false,
                         "an earlier owner of the key could not be asked"});
  }
  if (*reply == key_knowledge::kKnown) {
    return state_->EndAsking(key, key_pass{owner});
  }
  if (*reply == key_knowledge::kPerhaps) entry.perhaps = true;
  // One of the others may still know it.
  entry.to_ask.pop_back();
  if (!entry.to_ask.empty()) {
    return {{entry.listeners.front(), key_ask{entry.to_ask.back()}}};
  }
  if (entry.perhaps) {
    return state_->EndAsking(
        key, state_->Unknown("an earlier owner may have run the key"));
  }
  return state_->RunAsked(key);
}

bool request_owner::MayDispatch(const idempotency_key& key, time_point now) {
  if (now >= state_->lease_end) return false;
  key_entry& entry = state_->entries.at(key);
  assert(entry.phase == key_phase::kClaimed);
  entry.phase = key_phase::kRunning;
  return true;
}

std::vector<request_id> request_owner::Withdraw(const idempotency_key& key) {
  const auto found = state_->entries.find(key);
  assert(found != state_->entries.end());
  assert(found->second.phase == key_phase::kClaimed);
  std::vector<request_id> listeners = std::move(found->second.listeners);
  state_->entries.erase(found);
  return listeners;
}

void request_owner::TryAgain(const idempotency_key& key) {
  key_entry& entry = state_->entries.at(key);
  assert(entry.phase == key_phase::kRunning);
  entry.phase = key_phase::kClaimed;
}

std::vector<request_id> request_owner::Answered(const idempotency_key& key,
                                                answer_pointer answer,
                                                time_point now) {
  if (answer && SizeOf(*answer) > state_->settings.longest_answer) {
    answer.reset();
  }
  const key_phase phase = answer ? key_phase::kAnswered : key_phase::kForgotten;
  return state_->End(key, phase, std::move(answer), now);
}

std::vector<request_id> request_owner::Refused(const idempotency_key& key,
                                               result_code code,
                                               time_point now) {
  const auto found = state_->entries.find(key);
  assert(found != state_->entries.end() && IsOpen(found->second.phase));
  std::vector<request_id> listeners = std::move(found->second.listeners);
  state_->entries.erase(found);
  state_->closed.Close(key, code);
  state_->Trim(now);
  return listeners;
}

std::vector<request_id> request_owner::Lost(const idempotency_key& key,
                                            time_point now) {
  ++state_->counts.outcomes_unknown;
  return state_->End(key, key_phase::kUnknown, nullptr, now);
}

bool request_owner::Leave(const idempotency_key& key, request_id id) {
  const auto found = state_->entries.find(key);
  if (found == state_->entries.end()) return false;
  auto& listeners = found->second.listeners;
  const auto at = std::find(listeners.begin(), listeners.end(), id);
  if (at == listeners.end()) return false;
  listeners.erase(at);
  if (!listeners.empty() || found->second.phase == key_phase::kRunning) {
    return false;
  }
  state_->entries.erase(found);
  return true;
}

key_knowledge request_owner::Ask(const idempotency_key& key,
                                 std::uint32_t bucket, time_point now) {
  return state_->Ask(key, bucket, now);
}

void request_owner::Tick(time_point now) { state_->Trim(now); }

std::size_t request_owner::remembered_keys() const {
  return state_->entries.size();
}
std::size_t request_owner::remembered_bytes() const { return state_->bytes; }
const request_owner_counts& request_owner::counts() const {
  return state_->counts;
}

}  // namespace tamaracklatch
