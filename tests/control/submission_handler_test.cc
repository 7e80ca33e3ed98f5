// A golden session of submissions, from the text that is sent until the
// revision is in force everywhere: refused documents, a resend after a lost
// leadership, a conflicting document and a lost quorum.
#include "tamaracklatch/control/submission_handler.h"

#include <fmt/format.h>

#include <string>

#include "support/golden.h"
#include "tamaracklatch/control/in_force_tracker.h"

namespace tamaracklatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kDocument = R"({
  // the booking desk
  "service": "booking-desk", "version": 1,
  "addresses": ["127.0.0.1:7001/udp"]
})";
constexpr const char* kSpacedDocument =
    R"({"addresses":["127.0.0.1:7001/udp"],"version":1,"service":"booking-desk"})";
constexpr const char* kConflictingDocument =
    R"({"service":"booking-desk","version":1,"addresses":["127.0.0.1:7002/udp"]})";

// A leader whose log commits only when Accept is called.
class session : public control_listener {
 public:
  session()
      : tokens_({{"desk-team", "secret-1", {"booking-desk"}},
                 {"card-team", "secret-2", {"card-archive"}}}),
        handler_({}, &tokens_, 7),
        state_(this),
        tracker_({}) {}

  void OnApplied(const command_outcome& outcome,
                 const revision_changes& changes) override {
    if (!changes.changes.empty()) tracker_.OnAccepted(changes.at);
    Write(handler_.OnApplied(outcome));
  }

  void Submit(const char* label, const char* service, const char* text,
              const char* token) {
    out_ += fmt::format("{}\n", label);
    const auto actions =
        handler_.Submit(++requests_, service, text, token, now_);
    for (const submission_action& action : actions) {
      if (const auto* proposal = std::get_if<propose_command>(&action))
        log_.push_back(proposal->command);
    }
    Write(actions);
  }

  void Accept() {
    for (const std::string& command : log_)
      state_.Apply(revision{++entries_}, command);
    log_.clear();
  }

  void LoseLeadership() {
    out_ += "leadership lost\n";
    Write(handler_.OnLeadershipLost());
  }

  void Wait(duration length) {
    now_ += length;
    Write(handler_.OnTick(now_));
  }

  void Acknowledge(std::uint32_t applied_nodes, std::uint32_t reported,
                   revision at) {
    std::vector<node_identity> names;
    for (std::uint32_t i = 0; i < reported; ++i)
      names.push_back({fmt::format("node-{}", i), incarnation{1}});
    progress applied{at, 0, 0};
    for (std::uint32_t i = 0; i < applied_nodes; ++i) {
      ++applied.nodes;
      applied.identities += HashIdentity(names[i]);
    }
    tracker_.Update({applied}, names, {}, now_);
    const in_force_status status = tracker_.Status(at);
    out_ += fmt::format("in force on {} of {}{}", status.applied, status.nodes,
                        status.everywhere_since ? ", everywhere" : "");
    for (const std::string& name : status.unreported)
      out_ += fmt::format(", not reported: {}", name);
    out_ += '\n';
  }

  const std::string& out() const { return out_; }

 private:
  void Write(const submission_handler::actions& actions) {
    for (const submission_action& action : actions) {
      const auto* answer = std::get_if<submission_answer>(&action);
      if (answer == nullptr) continue;
      out_ += fmt::format("  {}: HTTP {} {} at revision {}\n", answer->request,
                          submission_handler::HttpStatus(answer->code),
                          ToString(answer->code), answer->accepted.value);
      for (const failure& reason : answer->failures)
        out_ += fmt::format("    {}\n", ToString(reason));
    }
  }

  access_tokens tokens_;
  submission_handler handler_;
  control_state state_;
  in_force_tracker tracker_;
  time_point now_;
  std::uint64_t requests_ = 0;
  std::uint64_t entries_ = 0;
  std::vector<std::string> log_;
  std::string out_;
};

Test(control, golden_session_of_a_submission) {
  session leader;
  leader.Submit("wrong token", "booking-desk", kDocument, "secret-2");
  leader.Submit("invalid document", "booking-desk",
                R"({"service":"booking-desk","version":0})", "secret-1");
  leader.Submit(
      "another service's path", "booking-desk",
      R"({"service":"x","version":1,"addresses":["127.0.0.1:1/udp"]})",
      "secret-1");
  leader.Submit("first", "booking-desk", kDocument, "secret-1");
  leader.LoseLeadership();
  leader.Accept();
  leader.Submit("resent with other formatting", "booking-desk", kSpacedDocument,
                "secret-1");
  leader.Accept();
  leader.Submit("other content with the same version", "booking-desk",
                kConflictingDocument, "secret-1");
  leader.Accept();
  leader.Submit("the quorum is gone", "booking-desk", kDocument, "secret-1");
  leader.Wait(seconds(5));
  leader.Acknowledge(1, 3, revision{1});
  leader.Acknowledge(2, 3, revision{1});
  leader.Acknowledge(2, 2, revision{1});
  leader.Acknowledge(3, 3, revision{1});
  test::CheckGolden("control/golden/submission.txt", leader.out());
}

}  // namespace
}  // namespace tamaracklatch
