#ifndef CAMPHORMUX_ADMISSION_FWD_HPP_
#define CAMPHORMUX_ADMISSION_FWD_HPP_

namespace camphormux::admission {

enum class Priority;
enum class Refusal;
struct Ticket;
struct FairQueue;
struct QueueLimits;
struct ServiceQueue;
struct ServiceRate;
struct RetryBudget;
struct RetryDelay;

}  // namespace camphormux::admission

#endif  // CAMPHORMUX_ADMISSION_FWD_HPP_
