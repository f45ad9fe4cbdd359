#ifndef CAMPHORMUX_JOBS_READER_HPP_
#define CAMPHORMUX_JOBS_READER_HPP_

#include <memory>
#include <set>

#include <asio/io_context.hpp>

#include "camphormux/core/time.hpp"
#include "camphormux/jobs/fold.hpp"
#include "camphormux/log/log_port.hpp"

namespace camphormux::jobs {

/// @brief Tails the jobs stream and keeps the state of all jobs up to date. Not
/// thread-safe; use it on the loop's thread only.
class Reader {
 public:
  /// @param loop Event loop; outlives the reader.
  /// @param port Access to the log.
  Reader(asio::io_context& loop, log::LogPort port);
  ~Reader();
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  /// @brief Starts reading, which continues until the reader is destroyed.
  void Start();

  [[nodiscard]] const Fold& fold() const;

  /// @return Jobs that changed since the previous call.
  [[nodiscard]] std::set<core::JobId> TakeChanged();

  /// @return Send time of the latest read whose answer reached the stream's
  /// end. All records that were on the log at that time have been applied.
  [[nodiscard]] core::MonotonicTime last_confirmed_sent() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace camphormux::jobs

#endif  // CAMPHORMUX_JOBS_READER_HPP_
