#include "libzinniastep/configuration/document_checks.h"

#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "libzinniastep/configuration/json_object_reader.h"

namespace zinniastep {

namespace {

// The names that a document defines, for references to be looked up in.
struct DefinedNames {
  std::set<std::string> models;
  std::set<std::string> versions;
  std::set<std::string> cascades;
  std::set<std::string> services;
};

// Collects a document's names and refuses those that stand twice.
class DocumentCheck {
 public:
  DocumentCheck(const Document& document, Findings& findings)
      : document_(document), findings_(findings) {}

  auto Run() -> void {
    DefineVersions();
    DefineCascades();
    DefineServices();
    CheckCascades();
    CheckRollouts();
    CheckAccounts();
  }

 private:
  auto Refuse(std::string place, std::string message) -> void {
    findings_.push_back({std::move(place), std::move(message)});
  }

  // Adds a name to a set, unless it is empty because it was refused before.
  auto Define(std::set<std::string>& names,
              const std::string& name,
              const std::string& place) -> void {
    if (name.empty()) {
      return;
    }
    if (name == kAutoModel) {
      Refuse(place, "\"auto\" is reserved");
    }
    if (!names.insert(name).second) {
      Refuse(place, "\"" + name + "\" is defined twice");
    }
  }

  auto DefineVersions() -> void {
    for (std::size_t i = 0; i < document_.versions.size(); ++i) {
      const ModelVersion& id = document_.versions[i].id;
      const std::string place = ItemPlace("/versions", i);
      if (id.model.empty() || id.version.empty()) {
        continue;
      }
      if (id.model == kAutoModel) {
        Refuse(place + "/model", "\"auto\" is reserved");
      }
      names_.models.insert(id.model);
      if (!names_.versions.insert(ToString(id)).second) {
        Refuse(place, "\"" + ToString(id) + "\" is defined twice");
      }
    }
  }

  auto DefineCascades() -> void {
    for (std::size_t i = 0; i < document_.cascades.size(); ++i) {
      const std::string& name = document_.cascades[i].id.text();
      const std::string place = ItemPlace("/cascades", i) + "/id";
      Define(names_.cascades, name, place);
      if (names_.models.contains(name)) {
        Refuse(place, "\"" + name + "\" is also a model");
      }
    }
  }

  auto DefineServices() -> void {
    for (std::size_t i = 0; i < document_.services.size(); ++i) {
      const std::string& name = document_.services[i].id.text();
      const std::string place = ItemPlace("/services", i) + "/id";
      Define(names_.services, name, place);
      if (names_.models.contains(name) || names_.cascades.contains(name)) {
        Refuse(place, "\"" + name + "\" is also a model or cascade");
      }
    }
  }

  [[nodiscard]] auto IsModelOrVersion(const std::string& name) const -> bool {
    return names_.models.contains(name) || names_.versions.contains(name);
  }

  auto CheckCascades() -> void {
    for (std::size_t i = 0; i < document_.cascades.size(); ++i) {
      const auto& models = document_.cascades[i].models;
      std::set<std::string> seen;
      for (std::size_t j = 0; j < models.size(); ++j) {
        const std::string place =
            ItemPlace(ItemPlace("/cascades", i) + "/models", j);
        if (!IsModelOrVersion(models[j])) {
          Refuse(place, "no model or version \"" + models[j] + "\"");
        }
        if (!seen.insert(models[j]).second) {
          Refuse(place, "\"" + models[j] + "\" stands twice");
        }
      }
    }
  }

  auto CheckRollouts() -> void {
    std::set<std::string> ids;
    std::set<std::string> open_targets;
    for (std::size_t i = 0; i < document_.rollouts.size(); ++i) {
      const RolloutRule& rule = document_.rollouts[i];
      const std::string place = ItemPlace("/rollouts", i);
      Define(ids, rule.id.text(), place + "/id");
      CheckRolloutVersion(rule.model, rule.from_version,
                          place + "/from_version");
      CheckRolloutVersion(rule.model, rule.to_version, place + "/to_version");
      if (!rule.to_version.empty() && rule.from_version == rule.to_version) {
        Refuse(place + "/to_version", "is the version to replace");
      }
      CheckSteps(rule, place);
      if (rule.state != RolloutRule::State::kFinished &&
          !open_targets.insert(rule.model + "@" + rule.to_version).second) {
        Refuse(place + "/to_version", "another roll-out brings it in already");
      }
    }
  }

  auto CheckRolloutVersion(const std::string& model,
                           const std::string& version,
                           const std::string& place) -> void {
    const std::string name = model + "@" + version;
    if (!model.empty() && !version.empty() && !names_.versions.contains(name)) {
      Refuse(place, "no version \"" + name + "\"");
    }
  }

  auto CheckSteps(const RolloutRule& rule, const std::string& place) -> void {
    for (std::size_t j = 1; j < rule.steps.size(); ++j) {
      if (rule.steps[j] <= rule.steps[j - 1]) {
        Refuse(ItemPlace(place + "/steps", j),
               "must be above the step before it");
      }
    }
    if (!rule.steps.empty() && rule.step >= rule.steps.size()) {
      Refuse(place + "/step",
             "there are only " + std::to_string(rule.steps.size()) + " steps");
    }
  }

  auto CheckAccounts() -> void {
    std::set<std::string> ids;
    std::set<std::string> digests;
    for (std::size_t i = 0; i < document_.accounts.size(); ++i) {
      const AccountRule& rule = document_.accounts[i];
      const std::string place = ItemPlace("/accounts", i);
      Define(ids, rule.id.text(), place + "/id");
      for (std::size_t j = 0; j < rule.key_digests.size(); ++j) {
        if (!digests.insert(rule.key_digests[j]).second) {
          Refuse(ItemPlace(place + "/key_digests", j),
                 "the same key stands twice");
        }
      }
      CheckAllowed(rule, place);
    }
  }

  auto CheckAllowed(const AccountRule& rule, const std::string& place) -> void {
    for (std::size_t j = 0; j < rule.allowed.size(); ++j) {
      const std::string& name = rule.allowed[j];
      if (!IsModelOrVersion(name) && !names_.cascades.contains(name) &&
          !names_.services.contains(name)) {
        Refuse(ItemPlace(place + "/allowed", j),
               "no model, version, cascade or service \"" + name + "\"");
      }
    }
  }

  const Document& document_;
  Findings& findings_;
  DefinedNames names_;
};

}  // namespace

auto CheckDocument(const Document& document, Findings& findings) -> void {
  DocumentCheck(document, findings).Run();
}

}  // namespace zinniastep
