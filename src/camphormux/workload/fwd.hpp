#ifndef CAMPHORMUX_WORKLOAD_FWD_HPP_
#define CAMPHORMUX_WORKLOAD_FWD_HPP_

namespace camphormux::workload {

enum class JobState;
struct Account;
struct Caller;
struct KeyDigest;
struct Step;
struct JobSpec;
struct JobPolicy;
struct StoredJob;
struct Advice;
struct Queue;
struct PoolPolicy;
struct Catalog;
struct TaskProgress;
struct Progress;
struct FieldProblem;

}  // namespace camphormux::workload

#endif  // CAMPHORMUX_WORKLOAD_FWD_HPP_
