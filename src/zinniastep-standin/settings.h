#ifndef ZINNIASTEP_STANDIN_SETTINGS_H_
#define ZINNIASTEP_STANDIN_SETTINGS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace zinniastep::standin {

// How a model's version answers, as "model@version".
struct VersionSettings {
  std::string id;
  // Share of prompts that it answers well.
  double quality = 0.8;
  std::uint32_t first_token_us = 10'000;
  std::uint32_t token_us = 2'000;
  std::uint32_t prompt_token_us = 20;
  // Tokens of an answer when the request does not say.
  std::uint32_t answer_tokens = 16;
};

// One backend server: a model engine, or a plain service when `service` is
// set.
struct ServerSettings {
  std::string name;
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::string service;
  std::vector<std::string> versions;
  std::uint32_t batch = 8;
  std::uint32_t queue = 64;
  std::uint32_t cold_limit = 2;
  // Answers after which a cold server is warm.
  std::uint32_t warm_after = 4;
  // How much slower a cold server is.
  double cold_factor = 2.0;
  std::uint32_t restart_ms = 300;
  // Time that entry hosts have to react to a report of a sudden cold start.
  std::uint32_t cold_notice_ms = 500;
  std::uint32_t load_lag_ms = 100;
  std::uint32_t order_ms = 50;
  // Time of one call to a plain service.
  std::uint32_t work_us = 5'000;
  bool checks_fencing = false;
};

// An object to begin with. In its value a string "@NAME" stands for the
// address of the backend server of that name.
struct ObjectSettings {
  std::string path;
  nlohmann::json value;
};

// What the stand-in is started with.
struct Settings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::uint32_t threads = 2;
  std::uint64_t seed = 1;
  std::uint32_t host_list_lag_ms = 500;
  // Share of answers that the rating service rates.
  double rating_share = 1.0;
  std::vector<VersionSettings> versions;
  std::vector<ServerSettings> servers;
  std::vector<ObjectSettings> objects;
};

// Reads settings from a JSON file; the error names the member at fault.
auto ReadSettings(const std::string& path) -> absl::StatusOr<Settings>;

}  // namespace zinniastep::standin

#endif  // ZINNIASTEP_STANDIN_SETTINGS_H_
