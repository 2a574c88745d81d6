#ifndef ZINNIASTEPCTL_EXIT_CODE_H_
#define ZINNIASTEPCTL_EXIT_CODE_H_

namespace zinniastep::ctl {

// How the program ends, as scripts see it.
enum class ExitCode : int {
  kOk = 0,
  // A file has findings, or what was named does not exist.
  kFindings = 1,
  kUsage = 2,
  // Somebody else changed the object; nothing was overwritten.
  kConflict = 3,
  // Something could not be reached, or the outcome is unknown.
  kUnreachable = 4,
};

}  // namespace zinniastep::ctl

#endif  // ZINNIASTEPCTL_EXIT_CODE_H_
