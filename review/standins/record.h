// The record of a case: what was sent, answered and run.
#ifndef REVIEW_STANDINS_RECORD_H_
#define REVIEW_STANDINS_RECORD_H_

#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  // Writes one line with the time in milliseconds since the start.
  auto Note(const std::string& text) -> void {
    const std::lock_guard lock(mutex_);
    file_ << NowMs() << " ms " << text << std::endl;
  }
  // Writes a line of the result, also to standard output.
  auto Result(const std::string& text) -> void {
    Note(text);
    std::cout << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_RECORD_H_
