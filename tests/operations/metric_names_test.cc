#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace zinniastep {
namespace {

const std::filesystem::path kRoot = ZINNIASTEP_SOURCE_DIR;

auto Contents(const std::filesystem::path& path) -> std::string {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

// Names in Count("...") and Observe("...") of the sources. A name that the code
// completes ends in an underscore.
auto NamesInSources() -> std::set<std::string> {
  static const std::regex call(
      R"re(\b(?:Count|Observe)\(\s*(?:std::string\(\s*)?"([^"]*)")re");
  std::set<std::string> names;
  for (const char* folder : {"src", "platform"}) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(kRoot / folder)) {
      if (entry.path().extension() != ".cc") {
        continue;
      }
      const std::string text = Contents(entry.path());
      for (std::sregex_iterator match(text.begin(), text.end(), call), end;
           match != end; ++match) {
        names.insert((*match)[1]);
      }
    }
  }
  return names;
}

TEST(MetricNamesTest, EachNameIsInTheOperatorsTable) {
  const std::string page = Contents(kRoot / "docs/OPERATIONS.md");
  const auto begin = page.find("\n## Metrics\n");
  ASSERT_NE(begin, std::string::npos);
  const std::string section =
      page.substr(begin, page.find("\n## ", begin + 1) - begin);
  const std::set<std::string> names = NamesInSources();
  EXPECT_GE(names.size(), 20U);
  for (const std::string& name : names) {
    // A completed name is on the page as "requests_OUTCOME".
    const std::regex listed("`" + name +
                            (name.ends_with("_") ? "[A-Z]+`" : "`"));
    EXPECT_TRUE(std::regex_search(section, listed))
        << name << " is not in the section Metrics of docs/OPERATIONS.md";
  }
}

}  // namespace
}  // namespace zinniastep
