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

/// @brief Appends entries to one stream with group commit: an entry goes at
/// once when nothing is in flight, otherwise with the next batch. Use it on the
/// loop's thread only.
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

  /// @return Entries that wait or are in flight.
  [[nodiscard]] std::size_t queued() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::log

#endif  // CAMPHORMUX_LOG_APPENDER_HPP_
