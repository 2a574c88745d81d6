#ifndef LIBZINNIASTEP_RUNTIME_HEAD_READER_H_
#define LIBZINNIASTEP_RUNTIME_HEAD_READER_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace zinniastep {

// Error of an exchange whose answer has no whole head.
inline constexpr const char* kBrokenHead =
    "the head of the answer broke off or contradicts itself";

// Longest head that is taken, in bytes, with interim answers and trailers.
inline constexpr std::size_t kLongestHead = std::size_t{64} << 10U;

// Reads the head of an HTTP/1.1 answer line by line, as libcurl's header
// callback delivers it, and tells whether it is whole. libcurl 7.88.1 reports
// success when the connection ends within a head.
class HeadReader {
 public:
  // Takes one line with its line break. Interim answers (1xx) before the final
  // head are dropped, and so are lines after it, which are trailers. Returns
  // false when all lines together are longer than kLongestHead; the exchange
  // must end then.
  [[nodiscard]] auto TakeLine(std::string_view line) -> bool;

  // Whether the status of the last head is one of 100 to 599.
  [[nodiscard]] auto has_http_status() const -> bool {
    return has_http_status_;
  }

  // Whether the final head ended with an empty line, and states a status of
  // HTTP and no more than one length.
  [[nodiscard]] auto is_whole() const -> bool {
    return is_whole_ && has_http_status_ && !has_two_lengths_;
  }

  // Header names in lower case, and values without surrounding spaces. Of a
  // repeated header the last value counts.
  [[nodiscard]] auto headers() const
      -> const std::map<std::string, std::string>& {
    return headers_;
  }

 private:
  auto Parse(std::string_view line) -> void;

  std::map<std::string, std::string> headers_;
  std::size_t length_ = 0;
  bool is_interim_ = false;
  bool has_http_status_ = false;
  bool is_whole_ = false;
  bool has_two_lengths_ = false;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_RUNTIME_HEAD_READER_H_
