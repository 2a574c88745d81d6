#include "libzinniastep/configuration/status_writer.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/hash.h"
#include "libzinniastep/base/overloaded.h"

namespace zinniastep {

namespace {

auto StatusPath(const RegionId& region) -> ObjectPath {
  return ObjectPath("status/" + region.text());
}

}  // namespace

StatusWriter::StatusWriter(const ConfigurationSettings& settings,
                           const RecordTable& table,
                           StoreTokens& tokens)
    : settings_(settings), table_(table), tokens_(tokens) {}

auto StatusWriter::Confirm(const SubtreeCount& count) -> void {
  std::erase_if(confirmed_, [this](const auto& entry) {
    return table_.Find(entry.first) == nullptr;
  });
  for (const auto& [path, record] : table_.records()) {
    Confirmed& confirmed = confirmed_[path];
    if (confirmed.id != record.id) {
      confirmed = {record.id, 1};
    }
    const auto recent =
        count.recent.find({StableHash(path.text()), record.id.generation});
    const std::uint32_t lately =
        recent == count.recent.end() ? 0 : recent->second;
    confirmed.hosts = std::max({confirmed.hosts, count.same, lately});
    confirmed.hosts = std::min(confirmed.hosts, count.hosts);
  }
}

auto StatusWriter::Text(const HostIdentity& self,
                        const SubtreeCount& count) const -> std::string {
  using Json = nlohmann::ordered_json;
  Json objects = Json::array();
  for (const auto& [path, confirmed] : confirmed_) {
    objects.push_back({{"path", path.text()},
                       {"generation", confirmed.id.generation},
                       {"version", confirmed.id.version},
                       {"in_force", confirmed.hosts}});
  }
  return Json({{"region", self.region.text()},
               {"writer", self.host.text()},
               {"hosts", count.hosts},
               {"objects", objects}})
      .dump();
}

auto StatusWriter::OnTime(Instant now,
                          const HostIdentity& self,
                          const SubtreeCount& count,
                          Effects& effects) -> void {
  Confirm(count);
  if (now - asked_at_ < settings_.status_period) {
    return;
  }
  if (!version_) {
    token_ = tokens_.Next();
    asked_at_ = now;
    effects.Do(ReadObject{token_, StatusPath(self.region)});
    return;
  }
  std::string text = Text(self, count);
  if (text == written_) {
    return;
  }
  writing_ = std::move(text);
  token_ = tokens_.Next();
  asked_at_ = now;
  effects.Do(WriteObject{token_, StatusPath(self.region), *version_, writing_});
}

auto StatusWriter::OnStore(const StoreAnswered& answered) -> bool {
  if (token_ == 0 || answered.token != token_) {
    return false;
  }
  token_ = 0;
  std::visit(Overloaded{[this](const StoreFound& found) {
                          version_ = found.objects.empty()
                                         ? 0
                                         : found.objects.front().version;
                          written_.clear();
                        },
                        [this](const StoreWritten& written) {
                          version_ = written.version;
                          written_ = writing_;
                        },
                        [this](const auto&) { version_.reset(); }},
             answered.result);
  return true;
}

}  // namespace zinniastep
