#ifndef CAMPHORMUX_COORDINATOR_JOB_FRONTEND_HPP_
#define CAMPHORMUX_COORDINATOR_JOB_FRONTEND_HPP_

#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>

#include "camphormux/coordinator/holder.hpp"
#include "camphormux/coordinator/holder_client.hpp"
#include "camphormux/coordinator/node_metrics.hpp"

namespace camphormux::coordinator {

/// @brief Serves callers' job requests on every node: decides locally if this
/// node is the holder and asks the holder otherwise. Retries while there is no
/// holder; retrying is safe because a job's id identifies it uniquely.
class JobFrontend : public std::enable_shared_from_this<JobFrontend> {
 public:
  /// @param loop Event loop; outlives the frontend.
  /// @param holder_client Client of the holder on another node; outlives the
  /// frontend.
  /// @param node_metrics Metrics; outlive the frontend.
  /// @param on_no_answer Called when the holder does not answer.
  JobFrontend(asio::io_context& loop, HolderClient& holder_client,
              NodeMetrics& node_metrics, std::function<void()> on_no_answer);

  void SetHolder(std::shared_ptr<Holder> holder) {
    holder_ = std::move(holder);
  }

  /// @brief Bounds the deadlines of all requests, open and new ones, because
  /// the process ends then.
  void SetLastAnswerTime(core::MonotonicTime time) { last_answer_time_ = time; }

  /// @param spec A valid job of a known queue.
  /// @param deadline Deadline of the caller.
  /// @param done Called once.
  void Submit(workload::JobSpec spec, core::MonotonicTime deadline,
              std::function<void(SubmitAnswer)> done);
  /// @param id The job.
  /// @param caller On whose behalf; a job that it may not access is not known.
  /// @param deadline Deadline of the caller.
  /// @param done Called once.
  void State(const core::JobId& id, const workload::Caller& caller,
             core::MonotonicTime deadline,
             std::function<void(StateAnswer)> done);
  void Cancel(const core::JobId& id, const workload::Caller& caller,
              core::MonotonicTime deadline,
              std::function<void(QueryOutcome)> done);
  void Pending(const workload::QueueName& queue, core::MonotonicTime deadline,
               std::function<void(CountAnswer)> done);

 private:
  struct Submission {
    workload::JobSpec spec;
    core::MonotonicTime arrived;
    core::MonotonicTime deadline;
    bool may_be_stored = false;
    std::uint32_t attempt_count = 0;
    std::function<void(SubmitAnswer)> done;
  };

  void SendAttempt(const std::shared_ptr<Submission>& submission);
  void OnAnswer(const std::shared_ptr<Submission>& submission,
                SubmitAnswer answer);
  void Finish(const Submission& submission, SubmitAnswer answer);
  [[nodiscard]] bool is_holder() const {
    return holder_ && holder_->is_ready();
  }
  /// Cancels a job at the holder on this node, which answers only once the
  /// store does.
  void CancelAtHolder(const core::JobId& id, const workload::Caller& caller,
                      core::Millis timeout,
                      std::function<void(QueryOutcome)> done);
  void RunAfter(core::Millis delay, std::function<void()> action);
  /// @return The deadline, or the time of the last answer if it is earlier.
  [[nodiscard]] core::MonotonicTime Bounded(core::MonotonicTime deadline) const;

  /// Sends a query repeatedly until there is a final answer or the deadline is
  /// near.
  template <typename Answer>
  void QueryWithRetry(
      std::function<void(std::function<void(Answer)>)> send_request,
      std::function<bool(const Answer&)> is_final, core::MonotonicTime deadline,
      std::function<void(Answer)> done);

  asio::io_context& loop_;
  HolderClient& holder_client_;
  NodeMetrics& node_metrics_;
  std::function<void()> on_no_answer_;
  std::shared_ptr<Holder> holder_;
  std::optional<core::MonotonicTime> last_answer_time_;
};

}  // namespace camphormux::coordinator

#endif  // CAMPHORMUX_COORDINATOR_JOB_FRONTEND_HPP_
