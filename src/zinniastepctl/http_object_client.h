#ifndef ZINNIASTEPCTL_HTTP_OBJECT_CLIENT_H_
#define ZINNIASTEPCTL_HTTP_OBJECT_CLIENT_H_

#include <string>
#include <vector>

#include "libzinniastep/operations/object_client.h"
#include "libzinniastep/runtime/http_client.h"

namespace zinniastep::ctl {

// The object API over HTTP.
class HttpObjectClient : public ObjectClient {
 public:
  // `address` is the object API's numeric "address:port".
  HttpObjectClient(const HttpClient& http, std::string address);

  [[nodiscard]] auto Read(const ObjectPath& path)
      -> absl::StatusOr<std::optional<StoredObject>> override;
  [[nodiscard]] auto List(const std::string& prefix)
      -> absl::StatusOr<std::vector<StoredObject>> override;
  [[nodiscard]] auto Write(const ObjectPath& path,
                           ObjectVersion expected,
                           const std::string& value) -> WriteResult override;

 private:
  const HttpClient& http_;
  std::string address_;
};

}  // namespace zinniastep::ctl

#endif  // ZINNIASTEPCTL_HTTP_OBJECT_CLIENT_H_
