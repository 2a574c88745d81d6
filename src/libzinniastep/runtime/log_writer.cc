#include "libzinniastep/runtime/log_writer.h"

#include <algorithm>
#include <iostream>
#include <string_view>
#include <utility>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <boost/smart_ptr/make_shared.hpp>

namespace zinniastep {

namespace {

namespace logging = boost::log;

// Longest value that a log line carries, in bytes.
constexpr std::size_t kLongestValue = 512;

auto NeedsQuotes(std::string_view value) -> bool {
  return value.empty() || std::ranges::any_of(value, [](unsigned char letter) {
           return letter <= ' ' || letter == '"' || letter == '=' ||
                  letter == 0x7f;
         });
}

auto AppendValue(std::string& line, std::string_view value) -> void {
  value = value.substr(0, kLongestValue);
  if (!NeedsQuotes(value)) {
    line.append(value);
    return;
  }
  line.push_back('"');
  for (const char letter : value) {
    if (letter == '"' || letter == '\\') {
      line.push_back('\\');
    }
    const bool is_control = static_cast<unsigned char>(letter) < ' ';
    line.push_back(is_control ? ' ' : letter);
  }
  line.push_back('"');
}

// Hands formatted lines to a buffer.
class BufferBackend : public logging::sinks::basic_formatted_sink_backend<
                          char,
                          logging::sinks::synchronized_feeding> {
 public:
  explicit BufferBackend(std::shared_ptr<LogBuffer> buffer)
      : buffer_(std::move(buffer)) {}

  auto consume(const logging::record_view& /*record*/,  // NOLINT
               const std::string& line) -> void {
    buffer_->Add(line);
  }

 private:
  std::shared_ptr<LogBuffer> buffer_;
};

auto LineFormat() {
  namespace expr = logging::expressions;
  return expr::stream << "time="
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                      << " " << expr::smessage;
}

}  // namespace

auto StartLog(std::shared_ptr<LogBuffer> buffer) -> void {
  using Sink = logging::sinks::synchronous_sink<BufferBackend>;
  logging::add_common_attributes();
  auto sink = boost::make_shared<Sink>(
      boost::make_shared<BufferBackend>(std::move(buffer)));
  sink->set_formatter(LineFormat());
  logging::core::get()->add_sink(sink);
}

auto StartLog(const std::string& path) -> void {
  const auto format = LineFormat();
  logging::add_common_attributes();
  if (path.empty()) {
    logging::add_console_log(std::clog, logging::keywords::format = format,
                             logging::keywords::auto_flush = true);
    return;
  }
  logging::add_file_log(logging::keywords::file_name = path,
                        logging::keywords::open_mode = std::ios_base::app,
                        logging::keywords::format = format,
                        logging::keywords::auto_flush = true);
}

auto FormatLogLine(const LogEvent& event) -> std::string {
  std::string line = "event=";
  AppendValue(line, event.event);
  for (const LogField& field : event.fields) {
    line.push_back(' ');
    line.append(field.key);
    line.push_back('=');
    AppendValue(line, field.value);
  }
  return line;
}

auto WriteLog(const LogEvent& event) -> void {
  static logging::sources::logger_mt logger;
  BOOST_LOG(logger) << FormatLogLine(event);
}

}  // namespace zinniastep
