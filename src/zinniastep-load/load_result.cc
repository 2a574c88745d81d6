#include "zinniastep-load/load_result.h"

#include <fstream>

#include "absl/strings/str_cat.h"

namespace zinniastep::load {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TryRecord,
                                                entry,
                                                started_unix_ms,
                                                outcome,
                                                status,
                                                code,
                                                request_id,
                                                version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallRecord,
                                                number,
                                                kind,
                                                service,
                                                account,
                                                session,
                                                key,
                                                idempotent,
                                                digest,
                                                at_ms,
                                                outcome,
                                                version,
                                                first_token_ms,
                                                total_ms,
                                                token_ms,
                                                tokens,
                                                tries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FaultRecord,
                                                at_ms,
                                                unix_ms,
                                                method,
                                                url,
                                                status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StateRecord,
                                                entry,
                                                unix_ms,
                                                state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadResult,
                                                profile,
                                                seed,
                                                calls_per_second,
                                                seconds,
                                                started_unix_ms,
                                                calls,
                                                faults,
                                                states)

auto WriteResult(const LoadResult& result, const std::string& path)
    -> absl::Status {
  std::ofstream file(path);
  file << nlohmann::json(result).dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace)
       << "\n";
  return file.good()
             ? absl::OkStatus()
             : absl::UnavailableError(absl::StrCat("can't write ", path));
}

auto ReadResult(const std::string& path) -> absl::StatusOr<LoadResult> {
  const auto value = ReadJsonFile(path);
  if (!value.ok()) {
    return value.status();
  }
  try {
    return value->get<LoadResult>();
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat(path, ": ", error.what()));
  }
}

auto ReadJsonFile(const std::string& path) -> absl::StatusOr<nlohmann::json> {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(absl::StrCat("can't read ", path));
  }
  auto value = nlohmann::json::parse(file, nullptr, false);
  if (value.is_discarded()) {
    return absl::InvalidArgumentError(absl::StrCat(path, " is not JSON"));
  }
  return value;
}

}  // namespace zinniastep::load
