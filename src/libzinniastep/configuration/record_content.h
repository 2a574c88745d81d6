#ifndef LIBZINNIASTEP_CONFIGURATION_RECORD_CONTENT_H_
#define LIBZINNIASTEP_CONFIGURATION_RECORD_CONTENT_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "libzinniastep/base/ids.h"
#include "libzinniastep/configuration/document.h"
#include "libzinniastep/configuration/parsed.h"

namespace zinniastep {

// Paths of configuration objects in the object API.
inline constexpr std::string_view kDocumentPrefix = "config/";
inline constexpr std::string_view kTopologyPrefix = "topology/";
inline constexpr std::string_view kDomainsPath = "topology/domains";
inline constexpr std::string_view kRosterPrefix = "topology/servers/";

// What a configuration object holds.
using RecordValue = std::variant<Document, FailureDomainMap, ServerRoster>;

// Returns the path of a team's document, or of a domain's roster.
[[nodiscard]] auto DocumentPath(const TeamId& team) -> ObjectPath;
[[nodiscard]] auto RosterPath(const FailureDomainId& domain) -> ObjectPath;

// Returns the failure domain whose roster lies at the path; empty for others.
[[nodiscard]] auto RosterDomain(const ObjectPath& path) -> FailureDomainId;

// Reads an object's content by the kind that its path names. The team or
// domain inside must be the one of the path.
[[nodiscard]] auto ReadRecord(const ObjectPath& path, std::string_view text)
    -> Parsed<RecordValue>;

// Returns the value as JSON that ReadRecord reads back.
[[nodiscard]] auto WriteRecord(const RecordValue& value) -> std::string;

// Returns the generation inside a value.
[[nodiscard]] auto GenerationOf(const RecordValue& value) -> std::uint64_t;

// Returns whether the newer state takes something away from callers that the
// older one gave: a version, a failure domain, a server, a roll-out's traffic.
// Such changes travel ahead of others.
[[nodiscard]] auto IsUrgent(const Document& older, const Document& newer)
    -> bool;
[[nodiscard]] auto IsUrgent(const FailureDomainMap& older,
                            const FailureDomainMap& newer) -> bool;
[[nodiscard]] auto IsUrgent(const ServerRoster& older,
                            const ServerRoster& newer) -> bool;

// Returns the JSON text in the one form that all hosts hold and compare; the
// text must be JSON.
[[nodiscard]] auto CanonicalJson(std::string_view text) -> std::string;

// Returns a JSON patch that turns the older canonical text into the newer.
[[nodiscard]] auto DiffJson(std::string_view older, std::string_view newer)
    -> std::string;

// Returns one JSON patch that does what the two do after each other.
[[nodiscard]] auto JoinPatches(std::string_view first, std::string_view second)
    -> std::string;

// Returns the patched canonical text, or nothing when the patch does not fit.
[[nodiscard]] auto PatchJson(std::string_view text, std::string_view patch)
    -> std::optional<std::string>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_CONFIGURATION_RECORD_CONTENT_H_
