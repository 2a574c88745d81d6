#include "zinniastep-standin/settings.h"

#include <fstream>

#include "absl/strings/str_cat.h"

namespace zinniastep::standin {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VersionSettings,
                                                id,
                                                quality,
                                                first_token_us,
                                                token_us,
                                                prompt_token_us,
                                                answer_tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServerSettings,
                                                name,
                                                address,
                                                port,
                                                service,
                                                versions,
                                                batch,
                                                queue,
                                                cold_limit,
                                                warm_after,
                                                cold_factor,
                                                restart_ms,
                                                cold_notice_ms,
                                                load_lag_ms,
                                                order_ms,
                                                work_us,
                                                checks_fencing)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ObjectSettings, path, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Settings,
                                                address,
                                                port,
                                                threads,
                                                seed,
                                                host_list_lag_ms,
                                                rating_share,
                                                versions,
                                                servers,
                                                objects)

auto ReadSettings(const std::string& path) -> absl::StatusOr<Settings> {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(absl::StrCat("can't read ", path));
  }
  try {
    return nlohmann::json::parse(file).get<Settings>();
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat(path, ": ", error.what()));
  }
}

}  // namespace zinniastep::standin
