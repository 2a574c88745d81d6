#ifndef LIBZINNIASTEP_REQUEST_PROGRESS_H_
#define LIBZINNIASTEP_REQUEST_PROGRESS_H_

#include <variant>

#include "libzinniastep/core/call.h"

namespace zinniastep {

// The request goes on by itself; nothing is to be done now.
struct GoesOn {};
// The request needs a (further) attempt.
struct NeedsAttempt {};
// The request is over without an answer.
struct Fails {
  Refusal refusal;
};
// The request is answered; its bill has to be made safe.
struct Answered {};
// The request is over and has nobody to tell.
struct Abandoned {};

// What a step of a request's way leads to.
using Progress = std::variant<GoesOn, NeedsAttempt, Fails, Answered, Abandoned>;

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_REQUEST_PROGRESS_H_
