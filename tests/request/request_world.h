// A few target daemons, their targets and callers in virtual time, with losses,
// late and crossed answers, deaths, drains, moves and skewed clocks. It counts
// what the targets really ran and checks each promise against it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tamaracklatch/request/request_server.h"

namespace tamaracklatch::test {

struct world_settings {
  std::uint64_t seed = 0;
  int requests = 200;  // without their resends
  duration length = std::chrono::seconds(40);
  bool deaths = true;
  bool moves = true;
};

struct world_counts {
  std::uint64_t answers = 0;  // whole ones
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;  // outcome_unknown
  std::uint64_t again = 0;    // whole answers to resends
  std::uint64_t runs = 0;
  std::uint64_t deaths = 0;
  std::uint64_t moves = 0;
};

class request_world {
 public:
  explicit request_world(const world_settings& settings);

  // Runs the whole schedule. Returns the broken promises, none where all hold.
  std::vector<std::string> Run();

  const world_counts& counts() const { return counts_; }

 private:
  // One start of one daemon.
  struct daemon_state {
    target_id id;
    duration clock_error{0};
    std::unique_ptr<request_server> server;  // null once it died
    revision view;
    time_point lease_end{};
    bool isolated = false;  // from the other daemons and the control plane
  };
  // What a caller means to have done at most once, or an unkeyed request.
  struct intent {
    std::optional<idempotency_key> key;
    std::uint64_t content = 0;
    std::uint32_t bucket = 0;
    std::string body;  // of its right answer
    int runs = 0;
    bool told_not_run = false;
  };
  // One send of an intent, at the daemon where it is now.
  struct sent_request {
    std::size_t intent = 0;
    target_id at;
    time_point deadline;
    int hops = 0;
    bool resend = false;
    bool begun = false;
    std::string streamed;
  };
  struct bucket_view {
    revision at;
    std::vector<std::size_t> owners;  // place of the owner by bucket
  };

  void Later(duration delay, std::function<void()> what);
  duration Any(int low_ms, int high_ms);
  bool Chance(int percent);
  void Broken(const std::string& what);

  // Daemons, by place.
  void Start(std::size_t place);
  void Kill(std::size_t place);
  void Isolate(std::size_t place);
  void TellGone(target_id id);
  void Renew(std::size_t place);
  void ApplyView(std::size_t place);
  void Acknowledge(target_id owner, target_id asker, revision at);
  void Move(std::optional<std::size_t> away_from);
  daemon_state* Find(target_id id);
  wall_time Wall(const daemon_state& daemon) const;

  // Requests.
  void Send();
  void SendAgain(std::size_t intent, bool resend);
  void Deliver(const sent_request& request, target_id to);
  void Apply(target_id at, const request_actions& actions);
  void Carry(target_id at, const start_attempt& action);
  void Carry(target_id at, const cancel_attempt& action);
  void Carry(target_id at, const pause_attempt& action);
  void Carry(target_id at, const resume_attempt& action);
  void Carry(target_id at, const pass_request& action);
  void Carry(target_id at, const pass_to_owner& action);
  void Carry(target_id at, const ask_owner& action);
  void Carry(target_id at, const answer_refusal& action);
  void Carry(target_id at, const answer_whole& action);
  void Carry(target_id at, const answer_begin& action);
  void Carry(target_id at, const answer_bytes& action);
  void Carry(target_id at, const answer_end& action);
  void Carry(target_id at, const answer_abort& action);
  void RunAtTarget(target_id at, attempt_id attempt, std::size_t intent);
  void AnswerFromTarget(target_id at, attempt_id attempt,
                        const std::string& body);
  std::optional<sent_request> Take(request_id id);
  void CheckAnswer(const sent_request& request, const std::string& body);
  void Tick();

  world_settings settings_;
  random_source random_;
  time_point now_{};
  std::multimap<time_point, std::function<void()>> schedule_;
  std::vector<daemon_state> daemons_;  // every start, dead ones too
  std::vector<std::size_t> current_;   // the start that lives at each place
  std::vector<bucket_view> views_;
  std::vector<intent> intents_;
  std::map<request_id, sent_request> open_;
  std::map<attempt_id, bool> cancelled_;
  std::uint64_t last_request_ = 0;
  std::vector<std::string> broken_;
  world_counts counts_;
};

}  // namespace tamaracklatch::test
