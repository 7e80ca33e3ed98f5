// Distributes revisions down the tree of relays and sums acknowledgments on the
// way up.
#include "tamaracklatch/distribution/relay_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "tamaracklatch/control/view_codec.h"
#include "tamaracklatch/distribution/progress_sum.h"

namespace tamaracklatch {
namespace {

// Maximum number of retries of one delta; after these the child has to pull.
constexpr std::uint32_t kMaxDeltaTries = 10;
// Number of unanswered pulls after the short retry interval; later ones wait
// kSlowTryFactor times as long.
constexpr std::uint32_t kQuickTries = 4;
constexpr std::uint32_t kSlowTryFactor = 3;
// Maximum number of successive redirects; after these the search for a parent
// starts at a control VM again.
constexpr std::uint32_t kMaxRedirects = 16;
// Maximum delay before the first pull from a new parent after failures. The
// delay doubles with each failure, at most 8 times.
constexpr duration kLongestBackoff = std::chrono::seconds(30);
constexpr std::uint32_t kMaxBackoffSteps = 8;
// Maximum number of graceful stops that are recorded and reported in one pull.
constexpr std::size_t kMaxStoppedNodes = 64;
// Age of a view that was never confirmed, and the maximum age: one year.
constexpr duration kUnconfirmedAge = std::chrono::hours(24 * 365);

// Returns the service to which a change belongs. A removed target is looked up
// in the view, which must not have the change yet.
class service_of_change {
 public:
  explicit service_of_change(const cluster_view& view) : view_(view) {}

  service_id operator()(const service_put& change) const {
    return change.service.id;
  }
  service_id operator()(const service_removed& change) const {
    return change.service;
  }
  service_id operator()(const target_put& change) const {
    return change.target.service;
  }
  service_id operator()(const target_removed& change) const {
    const auto found = view_.targets.find(change.target);
    return found == view_.targets.end() ? service_id{} : found->second.service;
  }

 private:
  const cluster_view& view_;
};

}  // namespace

relay_node::relay_node(const relay_settings& settings, std::uint64_t seed,
                       time_point now)
    : settings_(settings),
      random_(seed),
      log_(settings.log_bytes),
      children_(settings),
      start_(settings, now) {
  assert(!settings.self.name.empty());
  assert(settings.self.started.value != 0);
  assert(settings.is_source || !settings.control.empty());
  RefreshNames(now);
  if (settings_.is_source) return;
  next_control_ = random_() % settings_.control.size();
  ChooseParent(now);
}

// --- Events ---

relay_node::actions relay_node::OnTick(time_point now) {
  if (now - settings_.child_timeout > time_point() &&
      children_.RemoveUnresponsive(now - settings_.child_timeout)) {
    RefreshNames(now);
    SchedulePull(now + settings_.acknowledge_delay);
  }
  ServeChildren(now);
  CheckParent(now);
  if (!settings_.is_source && !may_serve_) {
    for (const auto& query : start_.OnTick(now))
      Send(query.to.name, query.to.where, query.request);
    CheckStart();
  }
  return TakeActions();
}

time_point relay_node::next_wake() const {
  time_point wake = time_point::max();
  for (const auto& [name, child] : children_.all()) {
    wake = std::min(wake, NextDeltaDue(child));
    wake = std::min(
        wake, child.last_received + settings_.child_timeout + duration(1));
  }
  if (parent_ && awaits_answer_) wake = std::min(wake, answer_due_);
  if (parent_ && next_pull_) wake = std::min(wake, *next_pull_);
  if (!settings_.is_source && !may_serve_ && !start_.required())
    wake = std::min(wake, start_.next_wake());
  return wake;
}

relay_node::actions relay_node::OnMessage(const std::string& peer,
                                          const relay_message& message,
                                          time_point now) {
  std::visit([&](const auto& typed) { Handle(peer, typed, now); }, message);
  return TakeActions();
}

relay_node::actions relay_node::OnRevisionSeen(revision seen,
                                               const relay_contact* holder,
                                               time_point now) {
  if (holder != nullptr) start_.AddPeer(*holder);
  CatchUp(seen, holder, now);
  return TakeActions();
}

void relay_node::CatchUp(revision seen, const relay_contact* holder,
                         time_point now) {
  if (seen <= known_ || settings_.is_source) return;
  const bool is_current = Age(now) < settings_.max_age / 2;
  const bool may_switch = holder != nullptr && holder->where.port != 0 &&
                          (!parent_ || holder->name != parent_->name);
  if (!is_current && may_switch) AttachTo(*holder, now);
  PullNewerRevision(now);
}

relay_node::actions relay_node::OnLinkDown(const std::string& peer,
                                           time_point now) {
  // A child stays in the table until relay_settings::child_timeout has passed:
  // lost links are usually established again.
  if (parent_ && parent_->name == peer && !awaits_answer_)
    SchedulePull(now + Jittered(settings_.retry_interval));
  return TakeActions();
}

relay_node::actions relay_node::Leave(time_point now) {
  leaving_ = true;
  if (parent_) {
    SendPull(now);
    // Redirects the children, so that they don't wait until their pulls time
    // out.
    for (const auto& [name, child] : children_.all())
      Send(name, child.contact.where, redirect{{*parent_}});
  }
  parent_.reset();
  next_pull_.reset();
  return TakeActions();
}

relay_node::actions relay_node::TakeActions() {
  return std::exchange(actions_, {});
}

void relay_node::Send(const std::string& peer, const endpoint& where,
                      relay_message message) {
  actions_.push_back(relay_send{peer, where, std::move(message)});
}

void relay_node::ReportEvent(event_id id, const std::string& peer,
                             const std::string& detail) {
  event reported;
  reported.id = id;
  reported.at = known_;
  reported.peer = peer;
  reported.detail = detail;
  actions_.push_back(relay_event{std::move(reported)});
}

// --- Child side of the tree ---

void relay_node::Handle(const std::string& peer, const pull& message,
                        time_point now) {
  if (message.leaving || message.moved) {
    if (message.leaving) RecordStoppedNode(message.node.name, now);
    children_.Remove(message.node.name);
    RefreshNames(now);
    SchedulePull(now + settings_.acknowledge_delay);
    return;
  }
  child_state* child = children_.Find(message.node.name);
  if (child != nullptr && !(child->node == message.node)) {
    children_.Remove(message.node.name);  // the process has restarted
    child = nullptr;
  }
  if (child == nullptr) {
    child = children_.Admit(message);
    if (child != nullptr) RefreshNames(now);
  }
  if (child == nullptr) {
    // Without its contact the sender can't be admitted. An empty delta, with a
    // name checksum of 0, makes it send the contact in its next pull.
    if (!message.contact) {
      delta unknown;
      unknown.answers = message.number;
      unknown.from = message.known;
      unknown.to = message.known;
      unknown.newest = message.known;
      unknown.age = Age(now);
      Send(peer, {}, std::move(unknown));
      return;
    }
    Send(peer, message.contact->where,
         redirect{
             children_.Alternatives(message.contact->zone, message.node.name)});
    return;
  }
  UpdateChild(message, child, now);
  Answer(child, now);
}

void relay_node::UpdateChild(const pull& message, child_state* child,
                             time_point now) {
  child->last_received = now;
  if (message.number < child->last_pull_number)
    return;  // a newer pull came first
  child->last_pull_number = message.number;
  child->only_reports = message.only_reports;
  if (child->service != message.service) {
    child->service = message.service;
    child->filter = service_id{};
  }
  child->snapshot = message.snapshot;
  if (message.contact) child->contact = *message.contact;
  if (message.known > child->known) {
    child->known = message.known;
    child->tries = 0;
  }
  if (message.names && child->names.OnPart(*message.names)) RefreshNames(now);
  for (const std::string& name : message.stopped_nodes)
    RecordStoppedNode(name, now);
  if (!(child->below == message.below)) {
    child->below = message.below;
    SchedulePull(now + settings_.acknowledge_delay);
  }
  if (message.known > known_) PullNewerRevision(now);
}

// Returns the service whose changes the child receives; nothing for all. The id
// is looked up only once, because it is never reused for another service.
std::optional<service_id> relay_node::FindFilter(child_state* child) const {
  if (child->service.empty()) return std::nullopt;
  if (child->filter.value != 0) return child->filter;
  const service_record* service = view_.FindService(child->service);
  if (service != nullptr) child->filter = service->id;
  return child->filter;
}

void relay_node::Answer(child_state* child, time_point now) {
  const bool behind = child->known < log_.floor();
  if (child->only_reports || !behind) {
    SendDelta(child, now);
    return;
  }
  snapshot_part part = NextSnapshotPart(
      view_, log_, FindFilter(child),
      child->snapshot.value_or(snapshot_position{}), settings_.part_bytes);
  part.answers = child->last_pull_number;
  part.age = Age(now);
  child->last_sent = now;
  child->sent_to.reset();
  Send(child->node.name, child->contact.where, std::move(part));
}

void relay_node::SendDelta(child_state* child, time_point now) {
  delta message;
  message.answers = child->last_pull_number;
  message.from = child->known;
  message.to = child->known;
  message.newest = known_;
  message.known_names = child->names.sum();
  message.age = Age(now);
  if (!child->only_reports && child->known < known_) {
    auto slice =
        log_.Read(child->known, FindFilter(child), settings_.part_bytes);
    message.revisions = std::move(slice.revisions);
    message.to = slice.to;
  }
  child->sent_to = message.to;
  child->last_sent = now;
  child->has_unsent_change = false;
  Send(child->node.name, child->contact.where, std::move(message));
}

// Returns when the next unrequested delta to the child is due; never for one
// that needs a snapshot, as it pulls each part.
time_point relay_node::NextDeltaDue(const child_state& child) const {
  const bool up_to_date = child.only_reports || child.known >= known_;
  if (up_to_date || child.known < log_.floor()) return time_point::max();
  const bool wanted = child.service.empty() || child.has_unsent_change;
  const time_point changes_due =
      child.last_sent +
      (wanted ? settings_.batch_interval : settings_.unaffected_interval);
  if (!child.AwaitsAcknowledgment()) return changes_due;
  const time_point retry_due = child.tries < kMaxDeltaTries
                                   ? child.last_sent + settings_.retry_interval
                                   : time_point::max();
  // Newer changes do not wait for the acknowledgment of earlier ones.
  return *child.sent_to < known_ ? std::min(changes_due, retry_due) : retry_due;
}

void relay_node::ServeChildren(time_point now) {
  for (auto& [name, child] : children_.all()) {
    if (NextDeltaDue(child) > now) continue;
    const bool is_retry =
        child.AwaitsAcknowledgment() && *child.sent_to >= known_;
    child.tries = is_retry ? child.tries + 1 : 0;
    SendDelta(&child, now);
  }
}

void relay_node::MarkAffectedChildren(const encoded_revision& entry) {
  for (auto& [name, child] : children_.all()) {
    if (child.service.empty()) continue;
    const service_id wanted = FindFilter(&child).value_or(service_id{});
    for (const encoded_change& change : entry.changes) {
      if (change.service == wanted) child.has_unsent_change = true;
    }
  }
}

void relay_node::RecordStoppedNode(const std::string& name, time_point now) {
  stopped_nodes_.erase(
      std::remove_if(
          stopped_nodes_.begin(), stopped_nodes_.end(),
          [&](const stopped_node& node) { return node.until <= now; }),
      stopped_nodes_.end());
  const bool is_known =
      std::any_of(stopped_nodes_.begin(), stopped_nodes_.end(),
                  [&](const stopped_node& node) { return node.name == name; });
  if (is_known || stopped_nodes_.size() >= kMaxStoppedNodes) return;
  stopped_nodes_.push_back({name, now + settings_.stopped_node_retention});
}

void relay_node::RefreshNames(time_point now) { names_.Set(Names(), now); }

std::vector<progress> relay_node::Progress() const {
  std::vector<progress> sum = children_.Progress();
  if (!settings_.is_source)
    AddProgress({{known_, 1, HashIdentity(settings_.self)}}, &sum);
  BoundProgress(&sum);
  return sum;
}

std::vector<node_identity> relay_node::Names() const {
  std::vector<node_identity> names = children_.Names();
  if (!settings_.is_source) names.push_back(settings_.self);
  return names;
}

std::vector<std::string> relay_node::StoppedNodes() const {
  std::vector<std::string> names;
  for (const stopped_node& node : stopped_nodes_) names.push_back(node.name);
  return names;
}

// --- Parent side of the tree ---

duration relay_node::Jittered(duration nominal) {
  // Between 3/4 and 5/4 of `nominal`.
  const auto quarter = nominal.count() / 4;
  const auto range = static_cast<std::uint64_t>(2 * quarter + 1);
  return duration(3 * quarter + static_cast<std::int64_t>(random_() % range));
}

duration relay_node::Age(time_point now) const {
  return confirmed_at_ ? std::min(now - *confirmed_at_, kUnconfirmedAge)
                       : kUnconfirmedAge;
}

void relay_node::SchedulePull(time_point at) {
  if (!parent_) return;
  next_pull_ = next_pull_ ? std::min(*next_pull_, at) : at;
}

// Called when a newer revision is known to exist. Pulls at most once per
// batch_interval.
void relay_node::PullNewerRevision(time_point now) {
  if (settings_.is_source || awaits_answer_) return;
  SchedulePull(std::max(now, last_newer_pull_ + settings_.batch_interval));
  last_newer_pull_ = now;
}

void relay_node::SendPull(time_point now) {
  pull message;
  message.number = ++pull_number_;
  message.node = settings_.self;
  message.service = settings_.service;
  message.known = known_;
  message.only_reports = settings_.is_source;
  message.leaving = leaving_;
  message.below = Progress();
  if (snapshot_) message.snapshot = snapshot_->position();
  for (const stopped_node& node : stopped_nodes_) {
    if (node.until > now) message.stopped_nodes.push_back(node.name);
  }
  if (parent_names_sum_ == 0)
    message.contact =
        relay_contact{settings_.self.name, settings_.zone, settings_.where, 0};
  message.names = names_.Part(parent_names_sum_, settings_.names_settle, now);

  const bool quick = tries_ < kQuickTries;
  awaits_answer_ = true;
  answer_due_ =
      now + Jittered(settings_.retry_interval * (quick ? 1 : kSlowTryFactor));
  next_pull_.reset();
  Send(parent_->name, parent_->where, std::move(message));
}

void relay_node::CheckParent(time_point now) {
  if (!parent_) return;
  // For a parent that has not answered yet, only unanswered pulls count.
  const bool parent_is_stale = parent_answered_ &&
                               Age(now) > settings_.max_age &&
                               now - parent_since_ > settings_.max_age;
  if (!settings_.is_source && parent_is_stale) {
    ChooseParent(now);
    return;
  }
  if (awaits_answer_ && now >= answer_due_) {
    ++tries_;
    if (tries_ >= settings_.max_tries && !settings_.is_source) {
      ChooseParent(now);
      return;
    }
    SendPull(now);
    return;
  }
  if (next_pull_ && now >= *next_pull_) SendPull(now);
}

// Starts the search for a parent at the next control VM. Each successive
// failure doubles the delay before the first pull.
void relay_node::ChooseParent(time_point now) {
  const bool had_parent = parent_.has_value();
  const relay_contact next = settings_.control[next_control_];
  next_control_ = (next_control_ + 1) % settings_.control.size();
  redirects_ = 0;
  AttachTo(next, now);
  if (!had_parent) return;
  const std::uint32_t step = std::min(failed_parents_, kMaxBackoffSteps);
  ++failed_parents_;
  const duration backoff =
      std::min(settings_.retry_interval * (1U << step), kLongestBackoff);
  next_pull_ = now + Jittered(backoff);
}

void relay_node::AttachTo(const relay_contact& parent, time_point now) {
  if (parent_ && parent_->name != parent.name) {
    pull moved_notice;
    moved_notice.node = settings_.self;
    moved_notice.moved = true;
    Send(parent_->name, parent_->where, moved_notice);
  }
  parent_ = parent;
  parent_since_ = now;
  parent_answered_ = false;
  parent_names_sum_ = 0;
  names_.Restart();
  awaits_answer_ = false;
  tries_ = 0;
  next_pull_ = now;
  ReportEvent(event_id::kParentChanged, parent.name, "");
}

void relay_node::OnParentAnswered(std::uint64_t answers, duration age,
                                  time_point now) {
  // Only the answer to the last pull shows that its reports were received.
  if (answers == pull_number_) awaits_answer_ = false;
  parent_answered_ = true;
  tries_ = 0;
  failed_parents_ = 0;
  const time_point confirmed_at = now - std::max(age, duration(0));
  if (age < kUnconfirmedAge &&
      (!confirmed_at_ || confirmed_at > *confirmed_at_))
    confirmed_at_ = confirmed_at;
  SchedulePull(now + Jittered(settings_.idle_interval));
}

void relay_node::Handle(const std::string& peer, const redirect& message,
                        time_point now) {
  if (!parent_ || parent_->name != peer || settings_.is_source) return;
  for (const relay_contact& relay : message.relays) start_.AddPeer(relay);
  ++redirects_;
  if (message.relays.empty() || redirects_ > kMaxRedirects) {
    ChooseParent(now);
    return;
  }
  // Picks the smaller of two random relays, which spreads the load when many
  // nodes search at once.
  const relay_contact& first =
      message.relays[random_() % message.relays.size()];
  const relay_contact& second =
      message.relays[random_() % message.relays.size()];
  AttachTo(first.nodes <= second.nodes ? first : second, now);
}

// --- The view ---

void relay_node::Handle(const std::string& peer, const delta& message,
                        time_point now) {
  const bool is_newer = message.from <= known_ && message.to > known_;
  if (is_newer && !settings_.is_source &&
      ApplyRevisions(message.revisions, message.to)) {
    snapshot_.reset();
    CheckStart();
    const duration delay =
        children_.all().empty() ? duration(0) : settings_.acknowledge_delay;
    SchedulePull(now + delay);
  }
  if (!parent_ || parent_->name != peer) return;
  const bool names_differed = message.known_names != names_.sum();
  parent_names_sum_ = message.known_names;
  names_.OnAnswered(message.known_names);
  OnParentAnswered(message.answers, message.age, now);
  if (settings_.is_source || message.newest <= known_) {
    if (names_differed) SchedulePull(now + settings_.names_settle);
    return;
  }
  SchedulePull(now);
}

bool relay_node::ApplyRevisions(const std::vector<encoded_revision>& revisions,
                                revision to) {
  // All changes are decoded before any is applied, so that a malformed delta
  // changes nothing.
  std::vector<revision_changes> steps;
  for (const encoded_revision& entry : revisions) {
    revision_changes step;
    step.at = entry.at;
    for (const encoded_change& change : entry.changes) {
      auto decoded = DecodeChange(change.bytes);
      if (!decoded) return false;
      step.changes.push_back(std::move(*decoded));
    }
    steps.push_back(std::move(step));
  }
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (steps[i].at <= known_ || steps[i].at > to) continue;
    known_ = steps[i].at;
    view_.Apply(steps[i]);
    if (settings_.where.port != 0) log_.Append(revisions[i]);
    MarkAffectedChildren(revisions[i]);
    actions_.push_back(changes_applied{std::move(steps[i])});
  }
  known_ = to;
  view_.at = to;
  log_.Advance(to);
  ReportEvent(event_id::kRevisionApplied, "", "");
  return true;
}

void relay_node::Handle(const std::string& peer, const snapshot_part& message,
                        time_point now) {
  if (settings_.is_source || !parent_ || parent_->name != peer) return;
  OnParentAnswered(message.answers, message.age, now);
  if (!snapshot_) snapshot_.emplace();
  snapshot_->OnPart(message);
  SchedulePull(now);
  if (!snapshot_->done()) return;
  cluster_view view = snapshot_->TakeView();
  snapshot_.reset();
  if (view.at <= known_) return;
  view_ = std::move(view);
  known_ = view_.at;
  log_.Reset(known_);
  actions_.push_back(view_replaced{known_});
  ReportEvent(event_id::kSnapshotApplied, peer, "");
  CheckStart();
}

// --- The start rule ---

void relay_node::Handle(const std::string& peer, const confirm_request& message,
                        time_point) {
  if (settings_.is_source) {
    actions_.push_back(quorum_check{peer, message.number});
    return;
  }
  // A node whose own revision is not confirmed doesn't answer.
  if (may_serve_) Send(peer, {}, confirm_answer{message.number, known_, false});
}

void relay_node::Handle(const std::string& peer, const confirm_answer& message,
                        time_point now) {
  if (settings_.is_source || may_serve_) return;
  start_.OnAnswer(peer, message);
  CatchUp(message.at, start_.FindPeer(peer), now);
  CheckStart();
}

void relay_node::CheckStart() {
  if (settings_.is_source || may_serve_) return;
  const auto required = start_.required();
  if (!required || known_ < *required) return;
  may_serve_ = true;
  actions_.push_back(serving_allowed{known_});
  ReportEvent(event_id::kStartConfirmed, "",
              start_.by_quorum() ? "by control" : "by peers");
}

// --- At a source ---

relay_node::actions relay_node::Publish(const revision_changes& changes,
                                        time_point now) {
  assert(settings_.is_source);
  assert(changes.at > known_);
  if (changes.changes.empty()) return {};
  encoded_revision entry;
  entry.at = changes.at;
  for (const view_change& change : changes.changes) {
    entry.changes.push_back(
        {std::visit(service_of_change(view_), change), EncodeChange(change)});
    // Applied one by one: the next change may remove a target that this one
    // adds, and service_of_change looks it up in the view.
    view_.at = known_;
    view_.Apply({changes.at, {change}});
  }
  known_ = changes.at;
  log_.Append(entry);
  MarkAffectedChildren(entry);
  ServeChildren(now);
  return TakeActions();
}

relay_node::actions relay_node::Reset(const cluster_view& view,
                                      time_point now) {
  assert(settings_.is_source);
  assert(view.at >= known_);
  view_ = view;
  known_ = view.at;
  log_.Reset(known_);
  ServeChildren(now);
  return TakeActions();
}

void relay_node::OnQuorumReached(time_point now) { confirmed_at_ = now; }

relay_node::actions relay_node::SetLeader(
    const std::optional<relay_contact>& leader, time_point now) {
  assert(settings_.is_source);
  const bool is_same = leader.has_value() == parent_.has_value() &&
                       (!leader || leader->name == parent_->name);
  if (is_same) return {};
  if (leader) {
    AttachTo(*leader, now);
  } else {
    parent_.reset();
    next_pull_.reset();
  }
  return TakeActions();
}

relay_node::actions relay_node::OnQuorumChecked(const std::string& peer,
                                                std::uint64_t number,
                                                revision newest) {
  Send(peer, {}, confirm_answer{number, newest, true});
  return TakeActions();
}

}  // namespace tamaracklatch
