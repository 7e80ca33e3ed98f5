// Compares ways to choose a target in virtual time, with targets of unequal
// speed and callers with long flows, and tests service times that are unknown,
// wrong or old.
#include <array>
#include <cmath>
#include <cstring>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "steering/expected_load.h"
#include "steering/owned_flows.h"
#include "steering/segments.h"
#include "support/property.h"

namespace tamaracklatch {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::DaemonAt;
using test::FlowOf;
using test::kStart;
using test::TargetAt;

enum class way { kLoadPerSlot, kWaitOf3, kWaitOf4, kIdleQueue, kHashing };

constexpr std::size_t kTargets = 24;
constexpr std::size_t kZones = 3;
constexpr std::size_t kSlots = 4;
constexpr double kServiceTime = 0.02;  // seconds, at speed 1
constexpr double kUsed = 0.55;         // of the capacity, on average
constexpr double kSwing = 0.55;        // of the arrivals, around their mean
constexpr double kPeriod = 60.0;       // seconds of the swing
constexpr double kFlowAge = 20.0;      // mean, seconds
constexpr double kFlowRate = 1.2;      // mean requests per second of a flow
constexpr double kWarmUp = 60.0;       // seconds, not measured
constexpr double kEnd = 180.0;         // seconds

double SpeedOf(std::size_t target) { return target % 4 == 0 ? 0.55 : 1.2; }

struct outcome {
  double busiest;   // utilization of the busiest target, relative to the mean
  double p99_wait;  // seconds
  double least;     // as busiest, of the least utilized target
  double flows_of_first;  // flows at the first target, relative to the mean
  double in_zone;         // share of the flows at targets of the caller's zone
};

// How the service time that a target reports differs from its estimate.
enum class report_fault { kNone, kUnknown, kTooLow, kTooHigh, kOld };

// A target with slots and a queue, and its daemon's flow table.
struct model_target {
  owned_flows flows{1U << 16U, kStart};
  std::queue<std::function<void()>> waiting;
  std::size_t running = 0;
  double busy = 0.0;  // seconds of slots
};

struct model_flow {
  std::size_t target;
  flow_key key;
  std::uint64_t hash;
  std::uint32_t sequence = 1;
  bool is_open = true;
};

class model {
 public:
  // `fault`: of every second target. `answers`: the first target answers.
  // `report`: seconds between reports of a target. `blends`: by their age.
  explicit model(way chosen, report_fault fault = report_fault::kNone,
                 bool answers = true, double report = 0.5, bool blends = true,
                 std::uint64_t seed = 20261206)
      : way_(chosen),
        fault_(fault),
        answers_(answers),
        report_(report),
        blends_(blends),
        random_(seed),
        targets_(kTargets) {
    for (std::size_t zone = 0; zone < kZones; ++zone)
      views_.emplace_back(std::string(1, static_cast<char>('a' + zone)),
                          seconds(60));
    sent_.assign(kZones, std::vector<std::pair<double, double>>(kTargets));
  }

  outcome Run() {
    double capacity = 0.0;
    for (std::size_t at = 0; at < kTargets; ++at) {
      capacity += SpeedOf(at) * kSlots / kServiceTime;
      targets_[at].flows.SetCapacity(kSlots, {});
      Report(at);
    }
    rate_ = kUsed * capacity;
    const double flows = rate_ / kFlowRate;
    for (std::size_t at = 0; at < static_cast<std::size_t>(flows); ++at)
      At(Uniform() * 2.0, [this] { Open(); });
    At(2.0, [this] { Arrive(); });
    while (!events_.empty() && events_.top().at < kEnd) {
      timed next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
    double sum = 0.0;
    double most = 0.0;
    double least = targets_[0].busy;
    std::size_t open = 0;
    for (std::size_t at = 0; at < kTargets; ++at) {
      sum += targets_[at].busy;
      most = std::max(most, targets_[at].busy);
      least = std::min(least, targets_[at].busy);
      open += targets_[at].flows.open_flows();
    }
    std::sort(waits_.begin(), waits_.end());
    return {most * kTargets / sum, waits_[waits_.size() * 99 / 100],
            least * kTargets / sum,
            static_cast<double>(targets_[0].flows.open_flows() * kTargets) /
                static_cast<double>(open),
            opened_in_zone_ / opened_};
  }

 private:
  struct timed {
    double at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const timed& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  void At(double when, std::function<void()> action) {
    events_.push({when, ++number_, std::move(action)});
  }
  time_point Now() const {
    return kStart + microseconds(static_cast<std::int64_t>(now_ * 1e6));
  }

  void Report(std::size_t at) {
    owned_flows& flows = targets_[at].flows;
    flows.UpdateLoad(Now());
    const std::uint32_t known =
        way_ == way::kLoadPerSlot
            ? 0
            : Distort(at, flows.service_time().reported());
    flows.SetRelativeServiceTime(
        views_[0].RelativeTo(DigestService("web"), known));
    roster_entry entry =
        TargetAt(static_cast<std::uint32_t>(at), "web", flows.load());
    entry.record.zone = std::string(1, static_cast<char>('a' + at % kZones));
    entry.record.service_time = known;
    for (target_directory& view : views_) view.Update(entry, Now());
    At(now_ + report_ * (0.5 + Uniform()), [this, at] { Report(at); });
  }

  std::uint32_t Distort(std::size_t at, std::uint32_t estimate) const {
    if (at % 2 != 0 || fault_ == report_fault::kNone) return estimate;
    if (fault_ == report_fault::kTooLow) return estimate / 4;
    if (fault_ == report_fault::kTooHigh) return estimate * 4;
    // An old estimate is that of a time when the target was of the other speed.
    return fault_ == report_fault::kOld ? (at % 4 == 0 ? 260 : 568) : 0;
  }

  // As segment_router::EffectiveLoad.
  double LoadOf(std::size_t zone, std::size_t target) {
    const directory_target& at = views_[zone].At(target);
    const auto& [count, since] = sent_[zone][target];
    const double sent = count * std::exp(since - now_);
    const double reported =
        blends_ ? ReportedLoad(at, views_[zone].MeanLoad(at.service), Now())
                : at.load;
    return ExpectedLoad(at, reported, {sent * 256.0, 64.0}) +
           (at.own_zone ? 0.0 : 24.0);
  }

  std::size_t Choose(std::size_t zone, std::uint64_t hash) {
    target_directory& view = views_[zone];
    const service_digest web = DigestService("web");
    std::vector<target_index> ranked;
    const auto any = [](const directory_target&) { return true; };
    if (way_ == way::kIdleQueue) {
      view.Rank(hash, web, kTargets, any, &ranked);
      for (const target_index each : ranked)
        if (view.At(each).load < kSlots * 256 &&
            sent_[zone][each].first *
                    std::exp(sent_[zone][each].second - now_) <
                1.0)
          return each;
      return ranked[0];
    }
    if (way_ == way::kHashing) {
      view.Rank(hash, web, kTargets, any, &ranked);
      double weights = 0.0;
      std::size_t flows = 1;
      for (std::size_t at = 0; at < kTargets; ++at) {
        weights += 1.0 / view.At(at).relative_service_time;
        flows += targets_[at].flows.open_flows();
      }
      // -weight / log(hash) orders the targets by weight.
      std::sort(ranked.begin(), ranked.end(), [&](auto left, auto right) {
        return Score(view, hash, left) > Score(view, hash, right);
      });
      for (const target_index each : ranked)
        if (targets_[each].flows.open_flows() <
            1.1 * flows / weights / view.At(each).relative_service_time)
          return each;
      return ranked[0];
    }
    if (way_ == way::kWaitOf4) {
      view.RankByZone(hash, web, any, &ranked);
    } else {
      view.Rank(hash, web, 3, any, &ranked);
    }
    return *std::min_element(ranked.begin(), ranked.end(),
                             [&](auto left, auto right) {
                               return LoadOf(zone, left) < LoadOf(zone, right);
                             });
  }

  static double Score(const target_directory& view, std::uint64_t hash,
                      target_index index) {
    const directory_target& at = view.At(index);
    const double part =
        (static_cast<double>(HashPair(hash, at.hash) >> 11U) + 0.5) /
        (1ULL << 53U);
    return -1.0 / at.relative_service_time / std::log(part);
  }

  void Open() {
    auto flow = std::make_shared<model_flow>();
    flow->key = FlowOf(++opened_);
    flow->hash = HashFlow(flow->key);
    const std::size_t zone = opened_ % kZones;
    flow->target = Choose(zone, flow->hash);
    opened_in_zone_ += views_[zone].At(flow->target).own_zone ? 1.0 : 0.0;
    auto& [count, since] = sent_[zone][flow->target];
    count = count * std::exp(since - now_) + 1.0;
    since = now_;
    owned_flows& flows = targets_[flow->target].flows;
    flows.UpdateLoad(Now());
    flows.Add(flow->key, flow->hash, Now());
    open_.push_back(flow);
    At(now_ + Exponential(kFlowAge), [this, flow] { Close(flow); });
  }

  void Close(const std::shared_ptr<model_flow>& flow) {
    flow->is_open = false;
    owned_flows& flows = targets_[flow->target].flows;
    flows.UpdateLoad(Now());
    flows.Erase(flow->hash);
    open_.erase(std::find(open_.begin(), open_.end(), flow));
    Open();
  }

  void Arrive() {
    constexpr double kTurn = 6.283185307179586;
    const double rate =
        rate_ * (1.0 + kSwing * std::sin(kTurn * now_ / kPeriod));
    At(now_ + Exponential(1.0 / rate), [this] { Arrive(); });
    std::shared_ptr<model_flow> flow;
    owned_flow* owned = nullptr;
    do {  // a flow without a request
      flow = open_[static_cast<std::size_t>(Uniform() * open_.size())];
      owned = targets_[flow->target].flows.Find(flow->key, flow->hash);
    } while (owned->awaits_answer);
    model_target& target = targets_[flow->target];
    target.flows.UpdateLoad(Now());
    target.flows.OnDelivered(owned, DataFrom(flow.get()), Now());
    const auto start = [this, flow, arrived = now_, &target] {
      const double lasts = Exponential(kServiceTime / SpeedOf(flow->target));
      if (now_ > kWarmUp) {
        target.busy += lasts;
        waits_.push_back(now_ - arrived);
      }
      if (flow->target != 0 || answers_)
        At(now_ + lasts, [this, flow, &target] { Answer(flow, &target); });
    };
    if (target.running == kSlots) return target.waiting.push(start);
    ++target.running;
    start();
  }

  void Answer(const std::shared_ptr<model_flow>& flow, model_target* target) {
    target->flows.UpdateLoad(Now());
    if (flow->is_open)
      target->flows.OnSent(target->flows.Find(flow->key, flow->hash),
                           DataFrom(flow.get()), Now());
    if (target->waiting.empty()) {
      --target->running;
      return;
    }
    const std::function<void()> next = std::move(target->waiting.front());
    target->waiting.pop();
    next();
  }

  static tcp_segment DataFrom(model_flow* flow) {
    tcp_segment data;
    data.ack = true;
    data.sequence = ++flow->sequence;
    data.payload_bytes = 1;
    return data;
  }

  way way_;
  report_fault fault_;
  bool answers_;
  double report_;
  bool blends_;
  std::mt19937_64 random_;
  std::priority_queue<timed> events_;
  std::uint64_t number_ = 0;
  double now_ = 0.0;
  double rate_ = 0.0;  // requests per second, mean
  std::vector<model_target> targets_;
  std::vector<target_directory> views_;  // of the balancer of each zone
  // By zone and target: recent openings, and when that was.
  std::vector<std::vector<std::pair<double, double>>> sent_;
  std::vector<std::shared_ptr<model_flow>> open_;
  std::uint16_t opened_ = 0;     // flows; also the last port
  double opened_in_zone_ = 0.0;  // flows at a target of the caller's zone
  std::vector<double> waits_;    // seconds
};

// Guards against long flows at slow targets beyond their capacity.
Test(load_balance, expected_wait_evens_out_targets_of_unequal_speed) {
  struct row {
    way chosen;
    const char* name;
  };
  constexpr row kRows[] = {
      {way::kLoadPerSlot, "load per slot among 3"},
      {way::kWaitOf3, "expected wait among 3"},
      {way::kWaitOf4, "expected wait among 4, two of the own zone"},
      {way::kIdleQueue, "join the idle queue"},
      {way::kHashing, "weighted rendezvous hashing, bounded load"}};
  std::vector<outcome> outcomes;
  for (const row& each : kRows) {
    outcomes.push_back(model(each.chosen).Run());
    std::printf("%-44s busiest/mean %.3f, p99 wait %.1f ms, own zone %.2f\n",
                each.name, outcomes.back().busiest,
                outcomes.back().p99_wait * 1e3, outcomes.back().in_zone);
  }
  for (const std::size_t chosen : {1U, 2U}) {
    cr_expect(outcomes[chosen].busiest < outcomes[0].busiest);
    cr_expect(outcomes[chosen].p99_wait < outcomes[0].p99_wait);
  }
  cr_expect(outcomes[2].in_zone > outcomes[1].in_zone);
}

// Guards against targets without work because of estimates that are unknown or
// wrong, and against more than the factor 4 that a wrong one may cost.
Test(load_balance, wrong_service_times_do_not_keep_work_from_targets) {
  struct row {
    report_fault fault;
    const char* name;
  };
  constexpr row kRows[] = {{report_fault::kUnknown, "unknown"},
                           {report_fault::kTooLow, "a quarter"},
                           {report_fault::kTooHigh, "four times"},
                           {report_fault::kOld, "old"}};
  for (const row& each : kRows) {
    const outcome with = model(way::kWaitOf4, each.fault).Run();
    std::printf("%-11s busiest/mean %.3f, least/mean %.3f, p99 wait %.1f ms\n",
                each.name, with.busiest, with.least, with.p99_wait * 1e3);
    cr_expect(with.least > 0.25 && with.busiest < 2.0, "%s", each.name);
  }
}

// Guards against openings that leave the caller's zone by default, and against
// fewer candidates than copies where the own zone has few targets.
Test(load_balance, candidates_are_the_first_two_of_the_zone_and_of_all) {
  struct row {
    const char* own;  // whether the targets, in the flow's order, are own ones
    std::vector<std::uint32_t> expected;
  };
  const row rows[] = {{"------", {0, 1, 2}},
                      {"++++++", {0, 1, 2}},
                      {"---++-", {0, 1, 3, 4}},
                      {"-+--+-", {0, 1, 4}},
                      {"+-+---", {0, 1, 2}},
                      {"+----+", {0, 1, 5}},
                      {"+-----", {0, 1, 2}},
                      {"---+--", {0, 1, 3}},
                      {"-+", {0, 1}},
                      {"-", {0}},
                      {"", {}}};
  for (const row& each : rows) {
    const std::size_t count = std::strlen(each.own);
    for (std::size_t turn = 0; turn < std::max<std::size_t>(count, 1); ++turn) {
      opening_candidates candidates;
      for (std::size_t step = 0; step < count; ++step) {
        const std::size_t at = (turn + step * 5) % count;
        candidates.Add(100 - at, static_cast<std::uint32_t>(at),
                       each.own[at] == '+');
      }
      std::vector<std::uint32_t> listed;
      candidates.List(&listed);
      cr_expect(listed == each.expected, "%s from %zu", each.own, turn);
    }
  }
}

// Guards against flows that gather at a target that had little load long ago.
Test(load_balance, old_reports_are_blended_with_the_mean) {
  std::array<double, 2> waits{};  // seconds, sums over the seeds
  for (const bool blends : {false, true}) {
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
      waits[blends ? 1 : 0] +=
          model(way::kWaitOf4, report_fault::kNone, true, 12.0, blends, seed)
              .Run()
              .p99_wait;
    }
  }
  std::printf("reports each 12 s: p99 wait %.1f ms, blended %.1f ms\n",
              waits[0] * 250.0, waits[1] * 250.0);
  cr_expect(waits[1] < waits[0]);
}

// Guards against flows that gather at a target that accepts them and answers
// nothing.
Test(load_balance, a_target_that_answers_nothing_does_not_attract_flows) {
  const outcome with = model(way::kWaitOf4, report_fault::kNone, false).Run();
  cr_expect(with.flows_of_first < 0.5, "%f of the mean", with.flows_of_first);
}

// Guards against estimates from requests that waited for a slot, were delivered
// to a cold target, or were run by an earlier start of the target.
Test(load_balance, only_requests_that_run_at_once_count) {
  struct row {
    const char* name;
    std::uint32_t slots;
    milliseconds cold;
    int samples;
    bool restarts;
    std::uint32_t expected;  // in units of 64 us
  };
  constexpr row kRows[] = {{"free slot", 2, milliseconds(0), 16, false, 1000},
                           {"too few", 2, milliseconds(0), 15, false, 0},
                           {"no free slot", 1, milliseconds(0), 16, false, 0},
                           {"cold", 2, milliseconds(9000), 16, false, 0},
                           {"restarted", 2, milliseconds(0), 16, true, 0}};
  for (const row& each : kRows) {
    owned_flows flows(100, kStart);
    flows.SetCapacity(each.slots, kStart + each.cold);
    time_point now = kStart;
    tcp_segment data;
    data.ack = true;
    data.payload_bytes = 1;
    // A request that is never answered occupies a slot.
    flows.OnDelivered(flows.Add(FlowOf(1), 1, now), data, now);
    owned_flow* flow = flows.Add(FlowOf(2), 2, now);
    for (int sample = 0; sample < each.samples; ++sample) {
      ++data.sequence;
      flows.OnDelivered(flow, data, now);
      now += milliseconds(64);
      flows.OnSent(flow, data, now);
    }
    if (each.restarts) flows.MarkAllSuspect();
    cr_expect(flows.service_time().reported() == each.expected, "%s",
              each.name);
  }
}

// Guards against announcements of each small change of the estimate.
Test(load_balance, a_change_by_less_than_an_eighth_is_not_reported) {
  service_time_estimator estimator;
  for (int sample = 0; sample < 64; ++sample) estimator.Add(milliseconds(64));
  for (int sample = 0; sample < 500; ++sample) estimator.Add(milliseconds(71));
  cr_expect(estimator.reported() == 1000 && estimator.estimate() > 1100);
  for (int sample = 0; sample < 500; ++sample) estimator.Add(milliseconds(80));
  cr_expect(estimator.reported() >= 1125);
}

// Guards against a median that counts targets that left or moved to another
// service, and against relative service times beyond the limit.
Test(load_balance, service_times_are_relative_to_the_median_of_the_service) {
  target_directory targets("a", seconds(60));
  const auto update = [&](std::uint32_t number, std::uint32_t time,
                          const std::string& service = "web",
                          node_liveness liveness = node_liveness::kAlive) {
    roster_entry entry = TargetAt(number, service);
    entry.record.service_time = time;
    entry.liveness = liveness;
    targets.Update(entry, kStart);
  };
  const auto relative = [&](std::uint32_t number) {
    return targets.At(targets.Find(DaemonAt(number))).relative_service_time;
  };
  for (std::uint32_t number = 0; number < 3; ++number) update(number, 100);
  update(3, 200);
  update(4, 10000);
  update(5, 1);
  update(6, 0);
  cr_expect(relative(0) == 1.0 && relative(3) == 2.0);
  cr_expect(relative(4) == 4.0 && relative(5) == 0.25 && relative(6) == 1.0);
  for (std::uint32_t number = 0; number < 2; ++number)
    update(number, 100, "web", node_liveness::kGone);
  update(2, 100, "shop");
  update(5, 0);
  cr_expect(relative(3) == 1.0 && relative(2) == 1.0 && relative(5) == 1.0);
  cr_expect(targets.RelativeTo(DigestService("web"), 100) == 0.5);
}

}  // namespace
}  // namespace tamaracklatch
