#ifndef CAMPHORMUX_LOG_APPENDER_HPP_
#define CAMPHORMUX_LOG_APPENDER_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::log {

/// @brief Limits of an appender.
struct AppenderOptions {
  std::size_t max_batch_bytes = std::size_t{256} << 10;
  /// Entries waiting or in flight beyond this are refused at once.
  std::size_t max_queued_entries = 4096;
  std::size_t max_queued_bytes = std::size_t{8} << 20;
  core::Millis first_backoff{20};
  core::Millis max_backoff{2000};
  /// An entry that is older than this and certainly not on the log fails.
  core::Millis give_up_after = std::chrono::seconds(10);
  /// Distinguishes this appender's batches from those of all others; drawn at
  /// random if empty.
  std::string writer;
  std::uint64_t seed = 0;  ///< Of the jitter; drawn at random if 0.
};

/// @brief Appends entries to one stream. Use it on the loop's thread only.
class Appender {
 public:
  /// @param loop Event loop; outlives the appender.
  /// @param port The log.
  /// @param stream Name of the stream.
  /// @param options Limits.
  Appender(asio::io_context& loop, LogPort port, std::string stream,
           AppenderOptions options = {});
  /// Drops what is queued without calling back.
  ~Appender();
  Appender(const Appender&) = delete;
  Appender& operator=(const Appender&) = delete;

  /// @brief Appends an entry; entries keep their order.
  /// @param entry The bytes; readers get them through DecodeBatch.
  /// @param done Called once, later, with the offset of the log record that
  /// holds the entry. `kThrottled` and `kUnavailable` mean that the entry is
  /// not on the log and will not be; `kNoAnswer` that it may be.
  void Append(std::string entry, std::function<void(AppendResult)> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::log

#endif  // CAMPHORMUX_LOG_APPENDER_HPP_
