#include "zinniastep-load/profile.h"

#include "absl/strings/str_cat.h"

namespace zinniastep::load {
namespace {

auto Question(const std::string& model) -> CallKind {
  CallKind kind;
  kind.name = "question";
  kind.weight = 40;
  kind.model = model;
  kind.streamed_share = 0.7;
  kind.session_share = 0.4;
  kind.priority = "high";
  kind.task_class = "question";
  return kind;
}

auto Conversation(const std::string& model) -> CallKind {
  CallKind kind = Question(model);
  kind.name = "conversation";
  kind.weight = 15;
  kind.session_share = 0.9;
  kind.priority = "normal";
  return kind;
}

auto Report(const std::string& model) -> CallKind {
  CallKind kind;
  kind.name = "report";
  kind.weight = 8;
  kind.model = model;
  kind.least_prompt_bytes = 4'000;
  kind.most_prompt_bytes = 20'000;
  kind.answer_tokens = 96;
  kind.streamed_share = 0.2;
  kind.priority = "low";
  kind.deadline_ms = 30'000;
  kind.task_class = "report";
  return kind;
}

auto Service(const std::string& service, double weight, bool idempotent)
    -> CallKind {
  CallKind kind;
  kind.name = service;
  kind.weight = weight;
  kind.service = service;
  kind.idempotent = idempotent;
  kind.least_prompt_bytes = 80;
  kind.most_prompt_bytes = 300;
  kind.priority = "high";
  return kind;
}

auto Coopline() -> Profile {
  return {"coopline",
          {Question("hen-care"), Conversation("hen-medium"), Report("hen-care"),
           Service("bookings", 15, false), Service("catalogue", 10, true)},
          {{"perth-farms", 5},
           {"bunbury-coops", 3},
           {"swan-valley-hens", 1},
           {"fremantle-keepers", 1},
           {"hills-school-group", 1},
           {"mandurah-coops", 1},
           {"busselton-growers", 1},
           {"margaret-river-hens", 0.5},
           {"albany-keepers", 0.5},
           {"geraldton-school", 0.5}}};
}

auto Panhandle() -> Profile {
  return {"panhandle",
          {Question("route-plans"), Conversation("route-small"),
           Report("route-plans"), Service("stake-orders", 20, false),
           Service("rentals", 10, false)},
          {{"amarillo-crews", 5},
           {"dalhart-crews", 2},
           {"lubbock-crews", 2},
           {"dumas-crews", 1},
           {"pampa-crews", 1},
           {"borger-crews", 1},
           {"canyon-crews", 1},
           {"hereford-crews", 1},
           {"plainview-crews", 1},
           {"board", 0.5}}};
}

auto Stream(const std::string& model, const std::string& account) -> Profile {
  CallKind kind = Question(model);
  kind.name = "stream";
  kind.streamed_share = 1.0;
  kind.session_share = 0.0;
  return {"stream", {kind}, {{account, 1.0}}};
}

}  // namespace

auto FindProfile(std::string_view name,
                 const std::string& model,
                 const std::string& account) -> absl::StatusOr<Profile> {
  if (name == "coopline") {
    return Coopline();
  }
  if (name == "panhandle") {
    return Panhandle();
  }
  if (name == "stream") {
    return Stream(model, account);
  }
  return absl::InvalidArgumentError(
      absl::StrCat("unknown profile: ", std::string(name),
                   "; there are coopline, panhandle and stream"));
}

}  // namespace zinniastep::load
