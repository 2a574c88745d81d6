#include "libzinniastep/configuration/json_object_reader.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "libzinniastep/base/bounded_json.h"

namespace zinniastep {

namespace {

using nlohmann::json;

auto IsLetterOrDigit(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

auto Escaped(std::string_view key) -> std::string {
  std::string text;
  for (const char c : key) {
    if (c == '~') {
      text += "~0";
    } else if (c == '/') {
      text += "~1";
    } else {
      text += c;
    }
  }
  return text;
}

// Notes objects that hold the same member twice, which the parser would let
// pass silently.
class RepeatedMemberFinder {
 public:
  explicit RepeatedMemberFinder(Findings& findings) : findings_(findings) {}

  auto operator()(json::parse_event_t event, const json& parsed) -> void {
    if (event == json::parse_event_t::object_start) {
      open_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      open_.pop_back();
    } else if (event == json::parse_event_t::key) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!open_.back().insert(key).second) {
        findings_.push_back({"", "member \"" + key + "\" stands twice"});
      }
    }
  }

 private:
  Findings& findings_;
  std::vector<std::set<std::string>> open_;
};

}  // namespace

auto MemberPlace(std::string_view parent, std::string_view key) -> std::string {
  return std::string(parent) + "/" + Escaped(key);
}

auto ItemPlace(std::string_view parent, std::size_t index) -> std::string {
  return std::string(parent) + "/" + std::to_string(index);
}

auto IsName(std::string_view text) -> bool {
  if (text.empty() || text.size() > kLongestName || !IsLetterOrDigit(text[0])) {
    return false;
  }
  return std::ranges::all_of(text, [](char c) {
    return IsLetterOrDigit(c) || c == '.' || c == '-' || c == '_';
  });
}

auto IsSha256Digest(std::string_view text) -> bool {
  constexpr std::size_t kDigits = 64;
  return text.size() == kDigits && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

auto ParseJson(std::string_view text, Findings& findings)
    -> std::optional<json> {
  if (text.size() > kLargestText) {
    findings.push_back(
        {"", "longer than " + std::to_string(kLargestText) + " bytes"});
    return std::nullopt;
  }
  if (IsNestedTooDeeply(text)) {
    findings.push_back({"", "nested more than " +
                                std::to_string(kMostJsonDepth) +
                                " levels deep"});
    return std::nullopt;
  }
  const std::size_t findings_before = findings.size();
  RepeatedMemberFinder finder(findings);
  try {
    json value = json::parse(
        text, [&finder](int, json::parse_event_t event, const json& parsed) {
          finder(event, parsed);
          return true;
        });
    if (findings.size() > findings_before) {
      return std::nullopt;
    }
    return value;
  } catch (const json::exception& error) {
    findings.push_back({"", std::string("not JSON: ") + error.what()});
    return std::nullopt;
  }
}

JsonObjectReader::JsonObjectReader(const json& value,
                                   std::string place,
                                   Findings& findings)
    : value_(value), place_(std::move(place)), findings_(findings) {
  if (!value_.is_object()) {
    findings_.push_back({place_, "must be an object"});
  }
}

auto JsonObjectReader::Member(std::string_view key, Presence presence)
    -> const json* {
  read_.emplace(key);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto found = value_.find(std::string(key));
  if (found == value_.end()) {
    if (presence == Presence::kRequired) {
      Refuse(key, "is missing");
    }
    return nullptr;
  }
  return &*found;
}

auto JsonObjectReader::Name(std::string_view key, Presence presence)
    -> std::string {
  const json* member = Member(key, presence);
  if (member == nullptr) {
    return {};
  }
  if (!member->is_string() || !IsName(member->get_ref<const std::string&>())) {
    Refuse(key, "must be a name: 1 to " + std::to_string(kLongestName) +
                    " letters, digits, '.', '-' or '_'");
    return {};
  }
  return member->get<std::string>();
}

auto JsonObjectReader::Text(std::string_view key,
                            std::size_t longest,
                            Presence presence) -> std::string {
  const json* member = Member(key, presence);
  if (member == nullptr) {
    return {};
  }
  if (!member->is_string() ||
      member->get_ref<const std::string&>().size() > longest) {
    Refuse(key,
           "must be a text of at most " + std::to_string(longest) + " bytes");
    return {};
  }
  return member->get<std::string>();
}

auto JsonObjectReader::Whole(std::string_view key,
                             WholeRange range,
                             Presence presence,
                             std::uint64_t fallback) -> std::uint64_t {
  const json* member = Member(key, presence);
  if (member == nullptr) {
    return fallback;
  }
  if (member->is_number_unsigned()) {
    const auto number = member->get<std::uint64_t>();
    if (number >= range.least && number <= range.most) {
      return number;
    }
  }
  Refuse(key, "must be a whole number from " + std::to_string(range.least) +
                  " to " + std::to_string(range.most));
  return fallback;
}

auto JsonObjectReader::Real(std::string_view key,
                            RealRange range,
                            Presence presence,
                            double fallback) -> double {
  const json* member = Member(key, presence);
  if (member == nullptr) {
    return fallback;
  }
  if (member->is_number()) {
    const auto number = member->get<double>();
    if (number >= range.least && number <= range.most) {
      return number;
    }
  }
  Refuse(key, "must be a number from " + json(range.least).dump() + " to " +
                  json(range.most).dump());
  return fallback;
}

auto JsonObjectReader::Flag(std::string_view key, bool fallback) -> bool {
  const json* member = Member(key, Presence::kOptional);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->is_boolean()) {
    Refuse(key, "must be true or false");
    return fallback;
  }
  return member->get<bool>();
}

auto JsonObjectReader::Word(std::string_view key,
                            std::initializer_list<std::string_view> words,
                            std::size_t fallback) -> std::size_t {
  const json* member = Member(key, Presence::kOptional);
  if (member == nullptr) {
    return fallback;
  }
  std::string choices;
  std::size_t position = 0;
  for (const std::string_view word : words) {
    if (member->is_string() && member->get_ref<const std::string&>() == word) {
      return position;
    }
    choices += (position == 0 ? "" : ", ") + std::string(word);
    ++position;
  }
  Refuse(key, "must be one of: " + choices);
  return fallback;
}

auto JsonObjectReader::Items(std::string_view key,
                             WholeRange count,
                             Presence presence,
                             const ItemReader& reader) -> void {
  const json* member = Member(key, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_array() || member->size() < count.least ||
      member->size() > count.most) {
    Refuse(key, "must be an array of " + std::to_string(count.least) + " to " +
                    std::to_string(count.most) + " items");
    return;
  }
  const std::string place = MemberPlace(place_, key);
  for (std::size_t i = 0; i < member->size(); ++i) {
    reader((*member)[i], ItemPlace(place, i));
  }
}

auto JsonObjectReader::Refuse(std::string_view key, std::string message)
    -> void {
  findings_.push_back({MemberPlace(place_, key), std::move(message)});
}

auto JsonObjectReader::Finish() -> void {
  if (!value_.is_object()) {
    return;
  }
  for (const auto& [key, member] : value_.items()) {
    if (!read_.contains(key)) {
      Refuse(key, "is not a known member");
    }
  }
}

}  // namespace zinniastep
