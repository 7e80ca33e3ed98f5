// Spreading revisions down a tree of relays and summing acknowledgments up.
#include "tamaracklatch/distribution/relay_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "tamaracklatch/control/view_codec.h"
#include "tamaracklatch/distribution/progress_sum.h"

namespace tamaracklatch {
namespace {

// Tries of one delta; after these the child has to pull.
constexpr std::uint32_t kMaxDeltaTries = 10;
// Pulls at the short interval; later ones wait longer.
constexpr std::uint32_t kQuickTries = 4;
constexpr std::uint32_t kSlowTryFactor = 3;
// Steps down the tree before the search starts at the top again.
constexpr std::uint32_t kMaxRedirects = 16;
constexpr duration kLongestBackoff = std::chrono::seconds(30);
constexpr std::uint32_t kMaxBackoffSteps = 8;
// Graceful stops told in one pull.
constexpr std::size_t kMaxLeft = 64;
// What a node without any news calls its age.
constexpr duration kNoNews = std::chrono::hours(24 * 365);

// The service that a change concerns. Removed targets are looked up in the view
// before the change is applied.
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
  if (now - settings_.child_silence > time_point() &&
      children_.RemoveSilent(now - settings_.child_silence)) {
    RefreshNames(now);
    SchedulePull(now + settings_.acknowledge_delay);
  }
  ServeChildren(now);
  WatchParent(now);
  if (!settings_.is_source && !may_serve_) {
    for (const auto& question : start_.OnTick(now))
      Send(question.to.name, question.to.where, question.request);
    CheckStart();
  }
  return TakeActions();
}

time_point relay_node::next_wake() const {
  time_point wake = time_point::max();
  for (const auto& [name, child] : children_.all()) {
    wake = std::min(wake, DueAt(child));
    wake = std::min(wake,
                    child.last_heard + settings_.child_silence + duration(1));
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
                                               const relay_contact* who,
                                               time_point now) {
  if (who != nullptr) start_.AddPeer(*who);
  SeekRevision(seen, who, now);
  return TakeActions();
}

void relay_node::SeekRevision(revision seen, const relay_contact* who,
                              time_point now) {
  if (seen <= known_ || settings_.is_source) return;
  const bool has_news = Age(now) < settings_.max_age / 2;
  const bool may_switch = who != nullptr && who->where.port != 0 &&
                          (!parent_ || who->name != parent_->name);
  if (!has_news && may_switch) AttachTo(*who, now);
  PullForNews(now);
}

relay_node::actions relay_node::OnLinkDown(const std::string& peer,
                                           time_point now) {
  // A child keeps its place until it is silent for long: links are remade.
  if (parent_ && parent_->name == peer && !awaits_answer_)
    SchedulePull(now + Jittered(settings_.retry_interval));
  return TakeActions();
}

relay_node::actions relay_node::Leave(time_point now) {
  leaving_ = true;
  if (parent_) {
    SendPull(now);
    // The children need not wait until they find out.
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

void relay_node::Report(event_id id, const std::string& peer,
                        const std::string& detail) {
  event what;
  what.id = id;
  what.at = known_;
  what.peer = peer;
  what.detail = detail;
  actions_.push_back(relay_event{std::move(what)});
}

// --- Towards the children ---

void relay_node::Handle(const std::string& peer, const pull& message,
                        time_point now) {
  if (message.leaving || message.moved) {
    if (message.leaving) RememberLeft(message.node.name, now);
    children_.Remove(message.node.name);
    RefreshNames(now);
    SchedulePull(now + settings_.acknowledge_delay);
    return;
  }
  child_state* child = children_.Find(message.node.name);
  if (child != nullptr && !(child->node == message.node)) {
    children_.Remove(message.node.name);  // it has restarted
    child = nullptr;
  }
  if (child == nullptr) {
    child = children_.Admit(message);
    if (child != nullptr) RefreshNames(now);
  }
  if (child == nullptr) {
    // Without its contact the child is asked for it by an empty delta.
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
  child->last_heard = now;
  if (message.number < child->last_pull) return;  // it was overtaken
  child->last_pull = message.number;
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
  for (const std::string& name : message.left) RememberLeft(name, now);
  if (!(child->below == message.below)) {
    child->below = message.below;
    SchedulePull(now + settings_.acknowledge_delay);
  }
  if (message.known > known_) PullForNews(now);
}

// Looked up once: an id is never used for another service.
std::optional<service_id> relay_node::FilterOf(child_state* child) const {
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
      view_, log_, FilterOf(child),
      child->snapshot.value_or(snapshot_position{}), settings_.part_bytes);
  part.answers = child->last_pull;
  part.age = Age(now);
  child->last_sent = now;
  child->sent_to.reset();
  Send(child->node.name, child->contact.where, std::move(part));
}

void relay_node::SendDelta(child_state* child, time_point now) {
  delta message;
  message.answers = child->last_pull;
  message.from = child->known;
  message.to = child->known;
  message.newest = known_;
  message.known_names = child->names.sum();
  message.age = Age(now);
  if (!child->only_reports && child->known < known_) {
    auto slice = log_.Read(child->known, FilterOf(child), settings_.part_bytes);
    message.revisions = std::move(slice.revisions);
    message.to = slice.to;
  }
  child->sent_to = message.to;
  child->last_sent = now;
  child->concerned = false;
  Send(child->node.name, child->contact.where, std::move(message));
}

// When the child gets something without asking; never for one that needs a
// snapshot: it pulls each part.
time_point relay_node::DueAt(const child_state& child) const {
  const bool up_to_date = child.only_reports || child.known >= known_;
  if (up_to_date || child.known < log_.floor()) return time_point::max();
  const bool wanted = child.service.empty() || child.concerned;
  const time_point fresh_due =
      child.last_sent +
      (wanted ? settings_.batch_interval : settings_.unconcerned_interval);
  if (!child.AwaitsAcknowledgment()) return fresh_due;
  const time_point retry_due = child.tries < kMaxDeltaTries
                                   ? child.last_sent + settings_.retry_interval
                                   : time_point::max();
  // Newer changes do not wait for the acknowledgment of earlier ones.
  return *child.sent_to < known_ ? std::min(fresh_due, retry_due) : retry_due;
}

void relay_node::ServeChildren(time_point now) {
  for (auto& [name, child] : children_.all()) {
    if (DueAt(child) > now) continue;
    const bool is_retry =
        child.AwaitsAcknowledgment() && *child.sent_to >= known_;
    child.tries = is_retry ? child.tries + 1 : 0;
    SendDelta(&child, now);
  }
}

void relay_node::NoteChanges(const encoded_revision& entry) {
  for (auto& [name, child] : children_.all()) {
    if (child.service.empty()) continue;
    const service_id wanted = FilterOf(&child).value_or(service_id{});
    for (const encoded_change& change : entry.changes) {
      if (change.service == wanted) child.concerned = true;
    }
  }
}

void relay_node::RememberLeft(const std::string& name, time_point now) {
  left_.erase(
      std::remove_if(left_.begin(), left_.end(),
                     [&](const left_node& node) { return node.until <= now; }),
      left_.end());
  const bool is_known =
      std::any_of(left_.begin(), left_.end(),
                  [&](const left_node& node) { return node.name == name; });
  if (is_known || left_.size() >= kMaxLeft) return;
  left_.push_back({name, now + settings_.left_retention});
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

std::vector<std::string> relay_node::Left() const {
  std::vector<std::string> names;
  for (const left_node& node : left_) names.push_back(node.name);
  return names;
}

// --- Towards the parent ---

duration relay_node::Jittered(duration nominal) {
  // Between three and five quarters.
  const auto quarter = nominal.count() / 4;
  const auto range = static_cast<std::uint64_t>(2 * quarter + 1);
  return duration(3 * quarter + static_cast<std::int64_t>(random_() % range));
}

duration relay_node::Age(time_point now) const {
  return fresh_ ? std::min(now - *fresh_, kNoNews) : kNoNews;
}

void relay_node::SchedulePull(time_point at) {
  if (!parent_) return;
  next_pull_ = next_pull_ ? std::min(*next_pull_, at) : at;
}

// Something newer exists. Asks for it at most once a batch interval.
void relay_node::PullForNews(time_point now) {
  if (settings_.is_source || awaits_answer_) return;
  SchedulePull(std::max(now, last_news_pull_ + settings_.batch_interval));
  last_news_pull_ = now;
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
  for (const left_node& node : left_) {
    if (node.until > now) message.left.push_back(node.name);
  }
  if (parent_names_ == 0)
    message.contact =
        relay_contact{settings_.self.name, settings_.zone, settings_.where, 0};
  message.names = names_.Part(parent_names_, settings_.names_settle, now);

  const bool quick = tries_ < kQuickTries;
  awaits_answer_ = true;
  answer_due_ =
      now + Jittered(settings_.retry_interval * (quick ? 1 : kSlowTryFactor));
  next_pull_.reset();
  Send(parent_->name, parent_->where, std::move(message));
}

void relay_node::WatchParent(time_point now) {
  if (!parent_) return;
  // One that has not answered yet is judged by its tries alone.
  const bool parent_is_old = parent_answered_ && Age(now) > settings_.max_age &&
                             now - parent_since_ > settings_.max_age;
  if (!settings_.is_source && parent_is_old) {
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

// Starts at a control VM again. Each failure in a row waits longer.
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
    pull farewell;
    farewell.node = settings_.self;
    farewell.moved = true;
    Send(parent_->name, parent_->where, farewell);
  }
  parent_ = parent;
  parent_since_ = now;
  parent_answered_ = false;
  parent_names_ = 0;
  names_.Restart();
  awaits_answer_ = false;
  tries_ = 0;
  next_pull_ = now;
  Report(event_id::kParentChanged, parent.name, "");
}

void relay_node::OnParentAnswered(std::uint64_t answers, duration age,
                                  time_point now) {
  // What the last pull reports is only known to be received by its own answer.
  if (answers == pull_number_) awaits_answer_ = false;
  parent_answered_ = true;
  tries_ = 0;
  failed_parents_ = 0;
  const time_point told = now - std::max(age, duration(0));
  if (age < kNoNews && (!fresh_ || told > *fresh_)) fresh_ = told;
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
  // The smaller of two at random: many nodes that search at once spread.
  const relay_contact& first =
      message.relays[random_() % message.relays.size()];
  const relay_contact& second =
      message.relays[random_() % message.relays.size()];
  AttachTo(first.nodes <= second.nodes ? first : second, now);
}

// --- The view ---

void relay_node::Handle(const std::string& peer, const delta& message,
                        time_point now) {
  const bool is_news = message.from <= known_ && message.to > known_;
  if (is_news && !settings_.is_source &&
      ApplyRevisions(message.revisions, message.to)) {
    snapshot_.reset();
    CheckStart();
    const duration delay =
        children_.all().empty() ? duration(0) : settings_.acknowledge_delay;
    SchedulePull(now + delay);
  }
  if (!parent_ || parent_->name != peer) return;
  const bool had_part = message.known_names != names_.sum();
  parent_names_ = message.known_names;
  names_.OnAnswered(message.known_names);
  OnParentAnswered(message.answers, message.age, now);
  if (settings_.is_source || message.newest <= known_) {
    if (had_part) SchedulePull(now + settings_.names_settle);
    return;
  }
  SchedulePull(now);
}

bool relay_node::ApplyRevisions(const std::vector<encoded_revision>& revisions,
                                revision to) {
  // Everything is read before anything is applied.
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
    NoteChanges(revisions[i]);
    actions_.push_back(changes_applied{std::move(steps[i])});
  }
  known_ = to;
  view_.at = to;
  log_.Advance(to);
  Report(event_id::kRevisionApplied, "", "");
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
  Report(event_id::kSnapshotApplied, peer, "");
  CheckStart();
}

// --- The start rule ---

void relay_node::Handle(const std::string& peer, const confirm_request& message,
                        time_point) {
  if (settings_.is_source) {
    actions_.push_back(quorum_check{peer, message.number});
    return;
  }
  // One that is not sure itself says nothing.
  if (may_serve_) Send(peer, {}, confirm_answer{message.number, known_, false});
}

void relay_node::Handle(const std::string& peer, const confirm_answer& message,
                        time_point now) {
  if (settings_.is_source || may_serve_) return;
  start_.OnAnswer(peer, message);
  SeekRevision(message.at, start_.FindPeer(peer), now);
  CheckStart();
}

void relay_node::CheckStart() {
  if (settings_.is_source || may_serve_) return;
  const auto required = start_.required();
  if (!required || known_ < *required) return;
  may_serve_ = true;
  actions_.push_back(serving_allowed{known_});
  Report(event_id::kStartConfirmed, "",
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
    // One by one, so that a removed target is still found when it is its turn.
    view_.at = known_;
    view_.Apply({changes.at, {change}});
  }
  known_ = changes.at;
  log_.Append(entry);
  NoteChanges(entry);
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

void relay_node::OnQuorumHeard(time_point now) { fresh_ = now; }

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
