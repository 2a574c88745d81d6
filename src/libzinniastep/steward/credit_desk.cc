#include "libzinniastep/steward/credit_desk.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"
#include "libzinniastep/core/action.h"

namespace zinniastep {

namespace {

// Cells that one ask is taken to before it is refused.
constexpr std::size_t kMostCells = 4;
// When a refused caller may try again.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

auto CauseName(RefusalCause cause) -> std::string {
  switch (cause) {
    case RefusalCause::kNotSteward:
      return "no_steward";
    case RefusalCause::kNotServed:
      return "not_served";
    case RefusalCause::kQueueFull:
      return "queue_full";
    case RefusalCause::kTooLate:
      return "no_capacity_in_time";
  }
  return "unknown";
}

}  // namespace

CreditDesk::CreditDesk(HostIdentity self,
                       const Assignment& assignment,
                       Steward& local_steward,
                       StewardSettings settings)
    : self_(std::move(self)),
      assignment_(assignment),
      local_steward_(local_steward),
      settings_(settings) {}

auto CreditDesk::OnTime(Instant now, Effects& effects) -> void {
  SendCancels(now, effects);
  std::vector<std::uint64_t> due;
  for (const auto& [number, ask] : asks_) {
    if (now >= ask.next_try || now >= ask.give_up) {
      due.push_back(number);
    }
  }
  for (const std::uint64_t number : due) {
    OpenAsk& ask = asks_.at(number);
    if (now >= ask.give_up) {
      Withdraw(now, number, ask, effects);
      Refuse(number, RefusalCause::kTooLate, effects);
    } else {
      Send(now, number, ask, effects);
    }
  }
  for (auto it = returns_.begin(); it != returns_.end();) {
    OpenReturn& one = it->second;
    if (now >= one.next_try) {
      one.next_try = now + settings_.return_again;
      --one.tries_left;
      effects.Do(SendToPeer{one.steward, "",
                            PeerMessage(StewardMessage(one.message))});
    }
    it = one.tries_left == 0 ? returns_.erase(it) : std::next(it);
  }
}

auto CreditDesk::Ask(Instant now, const CreditAsk& ask, Effects& effects)
    -> void {
  if (ask_of_request_.contains(ask.request)) {
    return;
  }
  const std::uint64_t number = ++last_number_;
  OpenAsk open;
  open.ask = ask;
  open.cells = CellOrder(ask);
  open.give_up = now + ask.deadline;
  const bool hopeless =
      open.cells.empty() || asks_.size() >= settings_.desk_bound;
  ask_of_request_[ask.request] = number;
  OpenAsk& kept = asks_[number] = std::move(open);
  if (hopeless) {
    Refuse(number, RefusalCause::kNotSteward, effects);
    return;
  }
  Send(now, number, kept, effects);
}

// Requests with the same prefix go to the same cell first.
auto CreditDesk::CellOrder(const CreditAsk& ask) const
    -> std::vector<std::uint32_t> {
  const std::uint64_t key = ask.prefix_hash != 0
                                ? ask.prefix_hash
                                : StableHash(ToString(ask.request));
  std::vector<std::pair<std::uint64_t, std::uint32_t>> scored;
  for (std::uint32_t i = 0; i < assignment_.CellsOf(ask.domain); ++i) {
    scored.emplace_back(StableHash(std::to_string(i), key), i);
  }
  std::sort(scored.rbegin(), scored.rend());
  std::vector<std::uint32_t> cells;
  for (const auto& [score, cell] : scored) {
    if (cells.size() < kMostCells) {
      cells.push_back(cell);
    }
  }
  return cells;
}

auto CreditDesk::Send(Instant now,
                      std::uint64_t number,
                      OpenAsk& open,
                      Effects& effects) -> void {
  open.next_try = now + settings_.ask_again;
  const std::uint32_t cell = open.cells[open.next_cell];
  const std::optional<HostId> steward =
      assignment_.StewardOf(open.ask.domain, cell);
  if (!steward) {
    return;
  }
  open.sent.push_back(now);
  open.steward = *steward;
  CreditRequest request;
  request.ask = AskId{self_.incarnation, number};
  request.asker = self_.host;
  request.attempt = static_cast<std::uint32_t>(open.sent.size() - 1);
  request.domain = open.ask.domain;
  request.cell = cell;
  request.acceptable = open.ask.acceptable;
  request.prefix_hash = open.ask.prefix_hash;
  request.priority = open.ask.priority;
  request.account = open.ask.account;
  request.share = open.ask.share;
  request.wait_microseconds = (open.give_up - now).count();
  request.attempt_microseconds = open.ask.attempt_timeout.count();
  if (*steward == self_.host) {
    local_steward_.OnRequest(now, request, effects);
  } else {
    effects.Do(SendToPeer{*steward, "", PeerMessage(StewardMessage(request))});
  }
}

auto CreditDesk::OnReply(Instant now,
                         const HostId& steward,
                         const CreditReply& reply,
                         Effects& effects) -> void {
  if (reply.ask.incarnation != self_.incarnation) {
    return;
  }
  const auto it = asks_.find(reply.ask.number);
  std::visit(Overloaded{[&](const GrantedCredit& granted) {
                          if (it == asks_.end()) {
                            ReturnUnused(now, steward, granted.id,
                                         reply.ask.number, effects);
                          } else {
                            OnGranted(now, steward, reply, granted, effects);
                          }
                        },
                        [&](const RefusedCredit& refused) {
                          if (it != asks_.end()) {
                            OnRefused(now, reply, refused, effects);
                          }
                        }},
             reply.verdict);
}

auto CreditDesk::OnGranted(Instant now,
                           const HostId& steward,
                           const CreditReply& reply,
                           const GrantedCredit& granted,
                           Effects& effects) -> void {
  const std::uint64_t number = reply.ask.number;
  OpenAsk& open = asks_.at(number);
  if (reply.attempt >= open.sent.size()) {
    return;
  }
  Credit credit;
  credit.id = granted.id;
  credit.steward = steward;
  credit.server = granted.server;
  credit.address = granted.address;
  credit.server_incarnation = granted.server_incarnation;
  credit.version = granted.version;
  credit.domain = granted.domain;
  credit.use_before = open.sent[reply.attempt] + settings_.credit_lifetime;
  if (now >= credit.use_before) {
    // It came too late; the steward will not grant the same ask twice.
    ReturnUnused(now, steward, granted.id, number, effects);
    RenumberAsk(now, number, effects);
    return;
  }
  NoteGranted(steward, granted.id, number);
  Decide(number, CreditGranted{std::move(credit)}, effects);
}

// Replies to attempts at an earlier cell come too late to matter.
auto CreditDesk::OnRefused(Instant now,
                           const CreditReply& reply,
                           const RefusedCredit& refused,
                           Effects& effects) -> void {
  const std::uint64_t number = reply.ask.number;
  OpenAsk& open = asks_.at(number);
  if (reply.attempt < open.first_attempt) {
    return;
  }
  const bool final = refused.cause == RefusalCause::kQueueFull ||
                     refused.cause == RefusalCause::kTooLate;
  if (final) {
    Refuse(number, refused.cause, effects);
    return;
  }
  if (refused.cause == RefusalCause::kNotSteward) {
    // The table may be changing: the next try finds who holds the cell now.
    return;
  }
  ++open.next_cell;
  open.first_attempt = static_cast<std::uint32_t>(open.sent.size());
  if (open.next_cell >= open.cells.size()) {
    Refuse(number, refused.cause, effects);
    return;
  }
  Send(now, number, open, effects);
}

auto CreditDesk::RenumberAsk(Instant now,
                             std::uint64_t number,
                             Effects& effects) -> void {
  OpenAsk open = std::move(asks_.at(number));
  asks_.erase(number);
  open.sent.clear();
  open.first_attempt = 0;
  const std::uint64_t next = ++last_number_;
  ask_of_request_[open.ask.request] = next;
  OpenAsk& kept = asks_[next] = std::move(open);
  Send(now, next, kept, effects);
}

auto CreditDesk::Return(Instant now,
                        const Credit& credit,
                        const CreditOutcome& outcome,
                        Effects& effects) -> void {
  CreditReturn message;
  message.credit = credit.id;
  message.result = outcome.result;
  message.first_token_microseconds = outcome.first_token.count();
  message.server_incarnation = outcome.server_incarnation;
  used_.erase({credit.steward, credit.id});
  GiveBack(now, credit.steward, message, effects);
}

// A doubled reply must not give a credit back that is in use.
auto CreditDesk::ReturnUnused(Instant now,
                              const HostId& steward,
                              std::uint64_t credit,
                              std::uint64_t number,
                              Effects& effects) -> void {
  const auto used = used_.find({steward, credit});
  if (used != used_.end() && used->second == number) {
    return;
  }
  CreditReturn message;
  message.credit = credit;
  GiveBack(now, steward, message, effects);
}

auto CreditDesk::NoteGranted(const HostId& steward,
                             std::uint64_t credit,
                             std::uint64_t number) -> void {
  used_[{steward, credit}] = number;
}

auto CreditDesk::GiveBack(Instant now,
                          const HostId& steward,
                          const CreditReturn& message,
                          Effects& effects) -> void {
  if (steward == self_.host) {
    local_steward_.OnReturn(now, message, effects);
    return;
  }
  if (returns_.size() >= settings_.desk_bound) {
    returns_.erase(returns_.begin());
  }
  returns_.try_emplace({steward, message.credit},
                       OpenReturn{steward, message, settings_.return_tries,
                                  now + settings_.return_again});
  effects.Do(SendToPeer{steward, "", PeerMessage(StewardMessage(message))});
}

auto CreditDesk::OnReturned(const HostId& steward,
                            const CreditReturned& returned) -> void {
  returns_.erase({steward, returned.credit});
}

auto CreditDesk::OnHostLost(const HostId& host) -> void {
  std::erase_if(returns_,
                [&](const auto& entry) { return entry.first.first == host; });
}

auto CreditDesk::Cancel(Instant now, const RequestId& request, Effects& effects)
    -> void {
  const auto it = ask_of_request_.find(request);
  if (it == ask_of_request_.end()) {
    return;
  }
  const std::uint64_t number = it->second;
  Withdraw(now, number, asks_.at(number), effects);
  asks_.erase(number);
  ask_of_request_.erase(it);
}

auto CreditDesk::Withdraw(Instant now,
                          std::uint64_t number,
                          const OpenAsk& open,
                          Effects& effects) -> void {
  const CreditCancel cancel{AskId{self_.incarnation, number}};
  if (open.steward == self_.host) {
    local_steward_.OnCancel(now, cancel.ask, effects);
    return;
  }
  if (!open.steward.empty()) {
    cancels_.push_back(
        OpenCancel{open.steward, cancel, settings_.cancel_tries, now});
    SendCancels(now, effects);
  }
}

auto CreditDesk::SendCancels(Instant now, Effects& effects) -> void {
  for (OpenCancel& one : cancels_) {
    if (now >= one.next_try) {
      one.next_try = now + settings_.ask_again;
      --one.tries_left;
      effects.Do(SendToPeer{one.steward, "",
                            PeerMessage(StewardMessage(one.message))});
    }
  }
  std::erase_if(cancels_,
                [](const OpenCancel& one) { return one.tries_left == 0; });
}

auto CreditDesk::Refuse(std::uint64_t number,
                        RefusalCause cause,
                        Effects& effects) -> void {
  Decide(number, CreditRefused{CauseName(cause), kRetryAfter}, effects);
}

auto CreditDesk::Decide(std::uint64_t number,
                        std::variant<CreditGranted, CreditRefused> verdict,
                        Effects& effects) -> void {
  const RequestId request = asks_.at(number).ask.request;
  asks_.erase(number);
  ask_of_request_.erase(request);
  effects.Tell(CreditDecided{request, std::move(verdict)});
}

}  // namespace zinniastep
