#ifndef LIBZINNIASTEP_RUNTIME_LOG_WRITER_H_
#define LIBZINNIASTEP_RUNTIME_LOG_WRITER_H_

#include <memory>
#include <string>

#include "libzinniastep/core/action.h"
#include "libzinniastep/runtime/log_buffer.h"

namespace zinniastep {

// Prepares Boost.Log to write each record as one line on standard error, or
// into a file when a path is given. Called once, before other threads start.
auto StartLog(const std::string& path) -> void;

// Prepares Boost.Log to add each record as one line to a buffer that somebody
// else flushes. Called once, before other threads start.
auto StartLog(std::shared_ptr<LogBuffer> buffer) -> void;

// Returns an event as one line of key=value pairs. Values with spaces, quotes
// or control characters are quoted, and long ones are cut.
[[nodiscard]] auto FormatLogLine(const LogEvent& event) -> std::string;

// Writes an event as one line.
auto WriteLog(const LogEvent& event) -> void;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_LOG_WRITER_H_
