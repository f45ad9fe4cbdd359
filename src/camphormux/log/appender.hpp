#ifndef CAMPHORMUX_LOG_APPENDER_HPP_
#define CAMPHORMUX_LOG_APPENDER_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "camphormux/log/batcher.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::log {

/// @brief Appends entries to one stream with group commit: an entry is sent at
/// once if no batch is in flight, otherwise with the next batch. Use it only on
/// the thread of the event loop.
class Appender {
 public:
  /// @param loop Event loop; outlives the appender.
  /// @param port Port of the log service.
  /// @param stream Name of the stream.
  /// @param options Limits and retry settings.
  Appender(asio::io_context& loop, LogPort port, std::string stream,
           AppenderOptions options = {});
  /// Drops queued entries without calling their callbacks.
  ~Appender();
  Appender(const Appender&) = delete;
  Appender& operator=(const Appender&) = delete;

  /// @brief Appends an entry; entries keep their order.
  /// @param entry The bytes; readers get them through DecodeBatch.
  /// @param done Called once from the event loop with the offset of the log
  /// record that holds the entry. `kThrottled` and `kUnavailable` mean that the
  /// entry is not on the log and will not be; `kNoAnswer` means that it may be.
  void Append(std::string entry, std::function<void(AppendResult)> done);

  /// @return Number of entries that are waiting or in flight.
  [[nodiscard]] std::size_t queued() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::log

#endif  // CAMPHORMUX_LOG_APPENDER_HPP_
