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

/// The platform's store as far as the adapter uses it, written from its
/// protocol: keyed topics, fenced producers, one page of at most 500 keys.
class FakeStore {
 public:
  FakeStore(asio::io_context& loop, std::uint16_t port);

  bool turns_away = false;     ///< Answers 503 and does nothing.
  bool loses_answers = false;  ///< Does everything and answers nothing.
  std::size_t appends = 0;     ///< Appends that were done.
  std::map<std::string, std::map<std::string, std::string>> newest;

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> sequence;
  };

  http::ServerResponse Append(const http::ServerRequest& request);
  http::ServerResponse Newest(const http::ServerRequest& request) const;

  std::map<std::string, Producer> producers_;
  std::vector<http::Respond> unanswered_;
  http::Server server_;
};

}  // namespace camphormux::platform

#endif  // TEST_PLATFORM_FAKE_STORE_HPP_
