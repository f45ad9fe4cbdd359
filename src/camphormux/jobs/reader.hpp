#ifndef CAMPHORMUX_JOBS_READER_HPP_
#define CAMPHORMUX_JOBS_READER_HPP_

#include <memory>
#include <set>

#include <asio/io_context.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/jobs/fold.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::jobs {

/// @brief Follows the jobs stream and keeps the fold of its records. Use it on
/// the loop's thread only.
class Reader {
 public:
  /// @param loop Event loop; outlives the reader.
  /// @param port The log.
  Reader(asio::io_context& loop, log::LogPort port);
  ~Reader();
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  /// @brief Starts to read; goes on until the reader is destroyed.
  void Start();

  [[nodiscard]] const Fold& fold() const;

  /// @return Jobs that changed since the last call.
  [[nodiscard]] std::set<core::JobId> TakeChanged();

  /// @return When the read was sent whose answer last showed the stream's end.
  /// All records that were on the log then are in the fold.
  [[nodiscard]] core::MonotonicTime last_confirmed_sent() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::jobs

#endif  // CAMPHORMUX_JOBS_READER_HPP_
