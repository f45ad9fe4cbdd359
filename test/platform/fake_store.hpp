#ifndef TEST_PLATFORM_FAKE_STORE_HPP_
#define TEST_PLATFORM_FAKE_STORE_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "camphormux/http/server.hpp"

namespace camphormux::platform {

/// Fake of the platform's store, limited to what the adapter uses of its
/// protocol: keyed topics, fenced producers, pages of at most 500 keys, and
/// groups whose members share the partitions of each topic that they name.
class FakeStore {
 public:
  FakeStore(asio::io_context& loop, std::uint16_t port);

  /// Ends all memberships, as if their times to live were over.
  void EndMemberships();

  bool rejects_requests = false;     ///< Answers 503 and stores nothing.
  int append_status = 0;             ///< Answer to appends instead of 200.
  std::size_t partitions = 24;       ///< Of each topic.
  bool drops_answers = false;        ///< Handles requests but sends no answers.
  std::size_t executed_appends = 0;  ///< Repeats do not count.
  /// Newest value by topic and key.
  std::map<std::string, std::map<std::string, std::string>> newest_values;

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> sequence;
  };

  /// Members of a group in the order in which they joined, with their topics.
  using Group = std::vector<std::pair<std::string, std::string>>;

  http::ServerResponse Append(const http::ServerRequest& request);
  http::ServerResponse Join(const http::ServerRequest& request);
  http::ServerResponse Leave(const http::ServerRequest& request);
  http::ServerResponse Owners(const http::ServerRequest& request);
  [[nodiscard]] std::vector<std::string> Deal(const Group& group,
                                              const std::string& topic) const;
  http::ServerResponse Newest(const http::ServerRequest& request) const;

  std::map<std::string, Producer> producers_;
  std::map<std::string, Group> groups_;
  std::uint64_t generation_ = 0;
  std::vector<http::Respond> unanswered_;
  http::Server server_;
};

}  // namespace camphormux::platform

#endif  // TEST_PLATFORM_FAKE_STORE_HPP_
