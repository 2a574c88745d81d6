#ifndef LIBZINNIASTEP_TRAFFIC_FORWARDING_HEADERS_H_
#define LIBZINNIASTEP_TRAFFIC_FORWARDING_HEADERS_H_

#include <string>
#include <vector>

namespace zinniastep {

// Names of the HTTP headers that callers and backend servers use.
struct ForwardingHeaders {
  // The caller's name for this try of its request.
  std::string attempt_id;
  // Milliseconds that the caller, or this host, will still wait.
  std::string time_remaining;
  // The backend server that is meant; any other one declines.
  std::string expected_server;
  // The client account, for backend servers.
  std::string account;
  std::string model;
  // "PROMPT,OUTPUT": prompt tokens and the most output tokens.
  std::string token_counts;
  // "ID:TOKENS,...": the prompt's parts in order.
  std::string prompt_parts;
  // How urgent the request is among others at a model engine.
  std::string urgency;
  std::string last_event_id;
  // "RUNNING,WAITING,SLOTS" in a backend server's answers, followed by ",PACE"
  // if the server shares its machine.
  std::string server_load;
  // "1" in a backend server's answer says that the server leaves.
  std::string server_leaving;
  // Its presence says that the backend server did not run the request.
  std::string not_executed;
  // Its presence says that the answer is a backend server's own.
  std::string signature;
  // A model's own opinion of its answer, 0 to 100.
  std::string confidence;
  // What stands before the key in an Authorization header.
  std::string key_scheme;
  // Headers that only the system sets; a caller's are dropped.
  std::vector<std::string> reserved;
};

}  // namespace zinniastep

#endif  // LIBZINNIASTEP_TRAFFIC_FORWARDING_HEADERS_H_
