#ifndef LIBZINNIASTEP_RUNTIME_HTTP_HEADER_H_
#define LIBZINNIASTEP_RUNTIME_HTTP_HEADER_H_

#include <string>

namespace zinniastep {

// One field of an HTTP message's head.
struct HttpHeader {
  std::string name;
  std::string value;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_HTTP_HEADER_H_
