#ifndef CAMPHORMUX_HTTP_CURL_LOOP_HPP_
#define CAMPHORMUX_HTTP_CURL_LOOP_HPP_

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <curl/curl.h>

namespace camphormux::http {

/// @brief Drives a libcurl multi handle on an Asio event loop. Use it on the
/// loop's thread only.
class CurlLoop {
 public:
  /// @param loop Event loop; outlives this object.
  /// @param on_done Called for each transfer that ended, after its easy handle
  /// was removed from the multi handle.
  /// @param source_ip Address of this host that connections come from; empty:
  /// the system chooses.
  CurlLoop(asio::io_context& loop, std::function<void(CURL*, CURLcode)> on_done,
           std::string source_ip = "");
  /// Closes all connections. Easy handles must have been removed before.
  ~CurlLoop();
  CurlLoop(const CurlLoop&) = delete;
  CurlLoop& operator=(const CurlLoop&) = delete;

  /// @brief Starts a transfer.
  /// @param easy A configured easy handle; this object owns no handle.
  void Add(CURL* easy);

  /// @brief Ends a transfer early and closes its connection. Not allowed
  /// inside a libcurl callback.
  /// @param easy A handle that was added.
  void Remove(CURL* easy);

  /// @return The multi handle, for options.
  [[nodiscard]] CURLM* multi() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::http

#endif  // CAMPHORMUX_HTTP_CURL_LOOP_HPP_
