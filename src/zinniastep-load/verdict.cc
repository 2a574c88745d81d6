#include "zinniastep-load/verdict.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "libzinniastep/base/bounded_json.h"

namespace zinniastep::load {
namespace {

using nlohmann::json;

constexpr std::size_t kMostFindings = 40;

auto ModelOf(const std::string& version) -> std::string {
  return version.substr(0, version.find('@'));
}

// Holds one kind of evidence after the other against the callers' records.
class Examiner {
 public:
  explicit Examiner(const Evidence& evidence) : evidence_(evidence) {
    for (const LoadResult& result : evidence_.results) {
      for (const CallRecord& call : result.calls) {
        calls_[call.digest] = &call;
      }
    }
    for (const json& run : evidence_.account.at("runs")) {
      runs_[run.at("digest")].push_back(&run);
      run_requests_.insert(run.at("request_id").get<std::string>());
    }
  }

  auto Verdict() -> load::Verdict {
    for (const auto& [digest, call] : calls_) {
      JudgeOutcome(*call);
      JudgeRuns(*call);
    }
    JudgeSessions();
    JudgeBills();
    JudgeColdStarts();
    JudgeStates();
    return verdict_;
  }

 private:
  using Runs = std::vector<const json*>;

  auto Find(std::uint64_t& counter, const std::string& finding) -> void {
    ++counter;
    if (verdict_.findings.size() < kMostFindings) {
      verdict_.findings.push_back(finding);
    }
  }

  auto RunsOf(const CallRecord& call) const -> Runs {
    const auto found = runs_.find(call.digest);
    return found == runs_.end() ? Runs() : found->second;
  }

  auto JudgeOutcome(const CallRecord& call) -> void {
    ++verdict_.requests;
    const std::string& outcome = call.outcome;
    if (outcome == outcome::kAnswered) {
      ++verdict_.answered;
    } else if (outcome == outcome::kNotRun) {
      ++verdict_.refused_not_run;
    } else if (outcome == outcome::kUnknown || outcome == outcome::kRan) {
      ++verdict_.unknown;
    } else {
      const TryRecord& last = call.tries.back();
      Find(verdict_.lost,
           absl::StrCat("lost: call ", call.number, " ", call.kind, " ",
                        outcome, " status ", last.status, " ", last.code,
                        " at ", last.entry));
    }
  }

  auto JudgeRuns(const CallRecord& call) -> void {
    const Runs runs = RunsOf(call);
    if (!call.idempotent && runs.size() > 1) {
      Find(verdict_.doubled,
           absl::StrCat("doubled: call ", call.number, " key ", call.key,
                        " ran ", runs.size()));
    }
    const bool keyed_not_run =
        !call.idempotent && call.outcome == outcome::kNotRun && !runs.empty();
    const bool request_ran =
        std::ranges::any_of(call.tries, [&](const TryRecord& attempt) {
          return attempt.outcome == outcome::kNotRun &&
                 !attempt.request_id.empty() &&
                 run_requests_.contains(attempt.request_id);
        });
    if (keyed_not_run || request_ran) {
      Find(verdict_.not_run_but_ran,
           absl::StrCat("not run but ran: call ", call.number));
    }
    for (const json* run : runs) {
      JudgeRun(call, *run);
    }
  }

  auto JudgeRun(const CallRecord& call, const json& run) -> void {
    const std::string version = run.at("version");
    const std::string account = run.at("account");
    const bool other = !account.empty() && account != call.account;
    if (other || !MayUse(call.account, call.service, version)) {
      Find(verdict_.wrong_account,
           absl::StrCat("wrong account: call ", call.number, " of ",
                        call.account, " ran as ", account, " on ", version));
    }
    for (const Withdrawal& withdrawal : evidence_.withdrawals) {
      const std::int64_t late =
          run.at("started_unix_ms").get<std::int64_t>() - withdrawal.unix_ms;
      if (version == withdrawal.version && late > evidence_.grace_ms) {
        Find(verdict_.withdrawn_used,
             absl::StrCat("withdrawn: call ", call.number, " began on ",
                          version, " ", late, " ms after"));
      }
    }
  }

  auto MayUse(const std::string& account,
              const std::string& service,
              const std::string& version) const -> bool {
    if (evidence_.document.is_null()) {
      return true;
    }
    for (const json& rule : evidence_.document.at("accounts")) {
      if (rule.at("id") == account) {
        return Allows(rule.at("allowed"), service.empty() ? version : service);
      }
    }
    return false;
  }

  auto Allows(const json& allowed, const std::string& wanted) const -> bool {
    return std::ranges::any_of(allowed, [&](const json& entry) {
      const auto name = entry.get<std::string>();
      if (name == wanted || name == ModelOf(wanted)) {
        return true;
      }
      for (const json& cascade :
           evidence_.document.value("cascades", json::array())) {
        if (cascade.at("id") == name && Allows(cascade.at("models"), wanted)) {
          return true;
        }
      }
      return false;
    });
  }

  auto Withdrawn(const std::string& version, std::int64_t by) const -> bool {
    return std::ranges::any_of(
        evidence_.withdrawals, [&](const Withdrawal& withdrawal) {
          return withdrawal.version == version && withdrawal.unix_ms <= by;
        });
  }

  // A session may leave a version only after its withdrawal.
  auto JudgeSessions() -> void {
    std::map<std::string, Runs> by_session;
    for (const json& run : evidence_.account.at("runs")) {
      const auto call = calls_.find(run.at("digest"));
      if (call != calls_.end() && !call->second->session.empty() &&
          call->second->service.empty()) {
        by_session[call->second->session + " " + ModelOf(run.at("version"))]
            .push_back(&run);
      }
    }
    for (auto& [name, runs] : by_session) {
      std::string version = runs.front()->at("version");
      for (const json* run : runs) {
        const std::string next = run->at("version");
        if (next != version &&
            !Withdrawn(version, run->at("started_unix_ms"))) {
          Find(verdict_.session_moved,
               absl::StrCat("session moved: ", name, " from ", version, " to ",
                            next));
        }
        version = next;
      }
    }
  }

  // Each answered request is billed once. A request whose answer did not reach
  // its caller whole may be billed as answered or not.
  auto JudgeBills() -> void {
    struct Count {
      std::uint64_t answered = 0;
      std::uint64_t uncertain = 0;
      std::uint64_t billed = 0;
    };
    std::map<std::string, Count> accounts;
    for (const auto& [digest, call] : calls_) {
      // A retry of a finished key replays its answer under the same bill.
      bool key_counted = false;
      for (const TryRecord& attempt : call->tries) {
        Count& count = accounts[call->account];
        if (attempt.outcome == outcome::kAnswered) {
          count.answered += key_counted ? 0 : 1;
          key_counted = !call->key.empty();
        } else if (attempt.outcome != outcome::kNotRun &&
                   attempt.outcome != outcome::kUnreachable) {
          ++count.uncertain;
        }
      }
    }
    for (const json& object : evidence_.bills.value("objects", json::array())) {
      const json ledger =
          JsonOrDiscarded(object.at("value").get<std::string>());
      for (const json& line : Lines(ledger)) {
        const auto requests = line.value("requests", std::uint64_t{0});
        const auto without = line.value("failed", std::uint64_t{0}) +
                             line.value("unknown", std::uint64_t{0});
        verdict_.billed += requests;
        accounts[line.value("account", "")].billed += requests - without;
      }
    }
    for (const auto& [account, count] : accounts) {
      if (count.billed < count.answered) {
        verdict_.unbilled += count.answered - count.billed;
      }
      if (count.billed > count.answered + count.uncertain) {
        verdict_.billed_twice +=
            count.billed - count.answered - count.uncertain;
      }
      if (count.billed < count.answered ||
          count.billed > count.answered + count.uncertain) {
        verdict_.findings.push_back(absl::StrCat(
            "bills: ", account, " billed ", count.billed, " answered ",
            count.answered, " uncertain ", count.uncertain));
      }
    }
  }

  static auto Lines(const json& ledger) -> json {
    const json* totals = &ledger;
    if (ledger.is_object() && ledger.contains("totals")) {
      totals = &ledger["totals"];
    }
    if (totals->is_object() && totals->contains("lines")) {
      totals = &(*totals)["lines"];
    }
    return totals->is_array() ? *totals : json::array();
  }

  auto JudgeColdStarts() -> void {
    for (const auto& [name, server] : evidence_.account.at("servers").items()) {
      const auto over = server.at("over_cold_limit").get<std::uint64_t>();
      verdict_.over_cold_limit += over;
      if (over > 0) {
        verdict_.findings.push_back(
            absl::StrCat("over cold limit: ", name, " ", over, " times"));
      }
    }
  }

  // A process never shows a lower generation of an object than before.
  auto JudgeStates() -> void {
    std::map<std::string, std::uint64_t> highest;
    for (const LoadResult& result : evidence_.results) {
      std::vector<StateRecord> states = result.states;
      std::ranges::stable_sort(states, {}, &StateRecord::unix_ms);
      for (const StateRecord& record : states) {
        const json& state = record.state;
        const std::string process =
            record.entry + " " +
            state.value(json::json_pointer("/self/incarnation"), json()).dump();
        const json configuration = state.value("configuration", json::object());
        for (const auto& [path, value] : configuration.items()) {
          const auto generation = value.get<std::uint64_t>();
          std::uint64_t& known = highest[absl::StrCat(process, " ", path)];
          if (generation < known) {
            Find(verdict_.config_went_back,
                 absl::StrCat("configuration went back: ", process, " ", path));
          }
          known = std::max(known, generation);
        }
      }
    }
  }

  const Evidence& evidence_;
  std::map<std::string, const CallRecord*> calls_;
  std::map<std::string, Runs> runs_;
  std::set<std::string> run_requests_;
  load::Verdict verdict_;
};

}  // namespace

auto Verdict::Good() const -> bool {
  return answered > 0 && lost + doubled + billed_twice + unbilled +
                                 not_run_but_ran + wrong_account +
                                 withdrawn_used + session_moved +
                                 over_cold_limit + config_went_back ==
                             0;
}

auto Verdict::Line(const std::string& name) const -> std::string {
  return absl::StrCat(
      name, ": requests=", requests, " answered=", answered,
      " refused_not_run=", refused_not_run, " unknown=", unknown,
      " lost=", lost, " doubled=", doubled, " billed=", billed,
      " billed_twice=", billed_twice, " unbilled=", unbilled,
      " not_run_but_ran=", not_run_but_ran, " wrong_account=", wrong_account,
      " withdrawn_used=", withdrawn_used, " session_moved=", session_moved,
      " over_cold_limit=", over_cold_limit,
      " config_went_back=", config_went_back);
}

auto Judge(const Evidence& evidence) -> Verdict {
  return Examiner(evidence).Verdict();
}

}  // namespace zinniastep::load
