#ifndef ZINNIASTEP_LOAD_ANSWER_READER_H_
#define ZINNIASTEP_LOAD_ANSWER_READER_H_

#include <string>
#include <string_view>

#include "libzinniastep/runtime/http_loop.h"
#include "zinniastep-load/load_result.h"
#include "zinniastep-load/workload.h"

namespace zinniastep::load {

// Counts the tokens in a piece of a streamed answer.
auto CountTokens(std::string_view data) -> std::uint32_t;

// Judges one try from what came back: whether it was refused, and whether the
// answer is the whole one to the call's own prompt.
auto JudgeTry(const PlannedCall& call,
              const HttpResult& result,
              const std::string& body) -> TryRecord;

}  // namespace zinniastep::load

#endif  // ZINNIASTEP_LOAD_ANSWER_READER_H_
