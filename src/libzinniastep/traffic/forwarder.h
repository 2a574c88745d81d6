#ifndef LIBZINNIASTEP_TRAFFIC_FORWARDER_H_
#define LIBZINNIASTEP_TRAFFIC_FORWARDER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "libzinniastep/base/time.h"
#include "libzinniastep/gateway/forward_decision.h"
#include "libzinniastep/gateway/model_ladder.h"
#include "libzinniastep/gateway/part_quarantine.h"
#include "libzinniastep/gateway/prompt_shape.h"
#include "libzinniastep/gateway/send_clocks.h"
#include "libzinniastep/gateway/server_chooser.h"
#include "libzinniastep/gateway/service_admission.h"
#include "libzinniastep/gateway/traffic_policy.h"
#include "libzinniastep/traffic/caller_connection.h"
#include "libzinniastep/traffic/event_splitter.h"
#include "libzinniastep/traffic/server_connection.h"

namespace zinniastep {

class TrafficEngine;

// When a refused caller may return: after `least` and a random part of
// `spread`, so that refused callers do not return together.
struct ReturnTime {
  Duration least = std::chrono::milliseconds(200);
  Duration spread = std::chrono::milliseconds(600);
};

// Carries one caller's request: finds its route and account, sends it to
// backend servers as the decisions say, and hands the answer on. Used on the
// traffic thread only.
class Forwarder : public ServerExchange,
                  public std::enable_shared_from_this<Forwarder> {
 public:
  Forwarder(TrafficEngine& engine,
            std::shared_ptr<CallerConnection> caller,
            CallerRequest request);

  // Begins; the forwarder keeps itself until the request is over.
  auto Begin() -> void;

  // Takes note that the servers which may be used have changed.
  auto OnServersChanged() -> void;

  // Takes note that other prompt parts are held.
  auto OnHeldPartsChanged() -> void;

  // Ends without a word to anybody, when the process ends.
  auto Abandon() -> void;

  // Ends the request with what is known of it: not run, unknown, or an answer
  // that breaks off.
  auto EndForShutdown() -> void;

  // The same, since the host holds too many bytes.
  auto EndForExcess() -> void;

  // Takes the verdict of admission control on this request, which waited.
  auto OnVerdict(const AdmissionVerdict& verdict) -> void;

  auto OnHead(const AnswerHead& head) -> void override;
  auto OnBody(std::string_view bytes) -> void override;
  auto OnEnd(ExchangeEnd end) -> void override;

 private:
  // Whether admission control lets the request be sent.
  enum class Admittance : std::uint8_t { kNotAsked, kWaiting, kGranted };

  // What is wrong with the request itself, or zero.
  auto FindPlace() -> unsigned;
  // The key that the caller sent, or nullopt.
  [[nodiscard]] auto Key() const -> std::optional<std::string_view>;
  auto SetDeadline() -> void;
  // Chooses the service and the first model. Returns false if the route has no
  // service.
  auto ChooseService() -> bool;
  // What the choice of a model depends on, with that many sends left.
  [[nodiscard]] auto LadderInputs(Instant now, std::uint32_t sends_left) const
      -> ModelLadderInputs;
  auto ChooseFirstModel() -> void;
  [[nodiscard]] auto Signature() const -> PromptPartId;
  [[nodiscard]] auto Need() const -> ServerNeed;
  // Returns a server that was not tried or, failing that, one that was left
  // before it had answered; null without one.
  auto ChooseServer(Instant now) -> const UsableBackend*;
  auto Dispatch() -> void;
  // Returns whether the request may be sent. Asks admission control before the
  // first send; a refused request is then over.
  auto MaySend() -> bool;
  [[nodiscard]] auto Candidate() const -> AdmissionCandidate;
  auto OnAdmissionWaits(const AdmissionWaits& waits) -> void;
  auto OnAdmissionRefused(const AdmissionRefused& refused) -> void;
  // Notes that a server declined the send under way.
  auto OnSendDeclined(Instant now) -> void;
  // Leaves admission control, when the request is over.
  auto EndAdmission(bool was_answered) -> void;
  // Ends the request if its prompt parts are held. Returns whether they are.
  auto EndIfHeld() -> bool;
  auto EndHeld(const PartsHeld& held) -> void;
  auto WaitForServer() -> void;
  auto Send(const UsableBackend& backend) -> void;
  [[nodiscard]] auto RequestText(const UsableBackend& backend) const
      -> std::string;
  auto OnAttemptOver(SendOutcome outcome) -> void;
  auto FinishAttempt(SendOutcome outcome) -> void;
  // Ends the send under way, of which the server is not to blame.
  auto DropAttempt(bool was_given_up) -> void;
  // Ends the request as not run, with the reason `refusal`, or with what is
  // known of it, with the reason `cut`.
  auto EndUnanswered(bool is_sent,
                     std::string_view refusal,
                     ReturnTime time,
                     std::string_view cut) -> void;
  // Counts the bytes that the request holds.
  auto UpdateHeld() -> void;
  // Bytes of a plain answer that are kept before it is passed on.
  [[nodiscard]] auto MostKept() const -> std::size_t;
  // The send under way if no part of its answer has come.
  [[nodiscard]] auto Unanswered(Instant now) const
      -> std::optional<UnansweredSend>;
  // Takes note that this host ends the send under way.
  auto OnSendLeft(Instant now) -> void;
  auto TakeStep(const NextStep& step) -> void;
  // Waits before the request is sent again, and sends it again.
  auto PauseSending() -> void;
  auto ResumeSending() -> void;
  // Sends the request to a larger model if the model's confidence in the answer
  // that begins is too low. Returns whether it did.
  auto Escalate(std::optional<std::uint32_t> confidence) -> bool;
  // Records when the answer begins, and the model's confidence in it.
  auto RecordConfidence(Instant now, std::optional<std::uint32_t> confidence)
      -> void;
  // Logs why the answer of the model is kept although its confidence is low.
  auto LogAnswerKept(const ModelLadderInputs& state,
                     const ModelChoice& choice,
                     std::uint32_t confidence) -> void;
  auto TakeBody(std::string_view bytes) -> void;
  auto TakeEvents(std::string_view bytes) -> void;
  // Ends the send whose server goes on for longer than any answer may be.
  auto EndOverlongAnswer() -> void;
  // Ends the send whose events cannot be told from those passed on before.
  auto EndUnnumberedStream() -> void;
  auto OnStreamEnd() -> void;
  auto AnswerWhole() -> void;
  // Refuses the request as not run. Callers wait for a part of the time that
  // they have left at most.
  auto Refuse(std::string_view reason, ReturnTime time = {}) -> void;
  // Refuses the request as not run, and asks the caller to wait that long.
  auto RefuseFor(std::string_view reason, Duration wait) -> void;
  auto Fail(unsigned status, std::string_view reason) -> void;
  // The server's head as the caller gets it.
  [[nodiscard]] auto CallerHead() const -> AnswerHead;
  // Adds the request's id to an answer if its caller sent none.
  auto Identify(AnswerHead& head) const -> void;
  auto OnCallerGone() -> void;
  auto OnCallerDrained() -> void;
  auto OnTimer() -> void;
  // What the attempt under way is overdue for at `now`, if anything.
  [[nodiscard]] auto OverdueFor(Instant now) const -> std::optional<Overdue>;
  // Moves an overdue attempt to another server. Returns false and keeps the
  // attempt if no other server can take the request now.
  auto LeaveServer(Instant now, Overdue overdue) -> bool;
  auto ArmTimer() -> void;
  auto Over(std::string_view outcome, unsigned status) -> void;
  auto CountEvidence(bool failed) -> void;
  // Time until the answer of an unloaded server begins.
  [[nodiscard]] auto ExpectedDelay() const -> Duration;
  // Prompt and output tokens that the request holds on its server.
  [[nodiscard]] auto Tokens() const -> double;
  // Tells how fast the first events of the send came, once they are known.
  auto TakeEventTimes(bool is_over) -> void;
  // Ends the measurements of the send under way that still wait.
  auto EndClocks(Instant now, bool was_given_up) -> void;
  [[nodiscard]] auto Header(std::string_view name) const -> std::string_view;
  [[nodiscard]] auto TimeLeft() const -> Duration;

  TrafficEngine& engine_;
  std::shared_ptr<CallerConnection> caller_;
  CallerRequest request_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<const TrafficPolicy> policy_;
  const ForwardingRoute* route_ = nullptr;
  const ForwardingAccount* account_ = nullptr;
  ServiceId service_;
  // As the caller sent it; may be empty.
  std::string attempt_id_;
  // Names the request in the log.
  std::string request_id_;
  PromptShape prompt_;
  // The same in all repeats of the request that its caller sends.
  PromptPartId signature_ = 0;
  // What may make the request crash servers: its signature and the shared parts
  // of its prompt.
  std::vector<PromptPartId> crash_parts_;
  // Its requests stay on one version and one service of a split route.
  std::uint64_t session_ = 0;
  // Whether this host names the model, and which of the route's.
  bool names_model_ = false;
  std::size_t model_ = 0;
  // The model that was asked first.
  std::size_t first_model_ = 0;
  ForwardProgress progress_;
  Instant began_;
  Instant no_server_since_;
  bool waiting_for_server_ = false;
  Admittance admittance_ = Admittance::kNotAsked;
  RequestId admission_id_;
  Instant admission_until_;
  std::vector<BackendServerId> tried_;
  // Those of the servers tried that the request did not reach.
  std::vector<BackendServerId> unreached_;
  // When the request is sent again after a pause, and the pauses so far.
  std::optional<Instant> retry_at_;
  std::uint32_t pauses_ = 0;
  SendOutcome last_outcome_ = SendOutcome::kNotSent;
  // All servers that were sent the request, in order.
  std::vector<BackendServerId> asked_;
  // Servers that were left before they had answered, and may be sound.
  std::vector<BackendServerId> left_;
  // A server has seen the request, whatever it did with it.
  bool arrived_ = false;
  // A server failed the request, maybe for its version.
  bool server_failed_before_ = false;

  // The send under way.
  std::optional<BackendEntry> server_;
  std::shared_ptr<ServerConnection> connection_;
  Instant sent_at_;
  std::optional<Instant> head_at_;
  SendClocks clocks_;
  Instant last_bytes_;
  // When a whole event came last, or the request was sent.
  Instant last_event_at_;
  std::size_t answer_bytes_ = 0;
  AnswerHead head_;
  bool not_run_ = false;
  bool misdirected_ = false;
  bool server_failed_ = false;
  bool is_stream_ = false;
  // It is logged that the attempt is overdue and goes on.
  bool kept_overdue_ = false;
  std::string body_;

  // The answer as the caller sees it.
  bool answer_begun_ = false;
  EventSplitter events_;
  std::optional<std::uint64_t> last_event_;
  std::uint64_t events_passed_ = 0;
  bool over_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_FORWARDER_H_
