#ifndef CAMPHORMUX_DISPATCH_FWD_HPP_
#define CAMPHORMUX_DISPATCH_FWD_HPP_

namespace camphormux::dispatch {

enum class TaskCallKind;
enum class RunState;
enum class TaskCallOutcome;
struct TaskCall;
struct TaskAnswer;
struct ListedTask;
struct HostTasks;
struct Driver;
struct DriverInput;
struct DriverOutput;
struct TaskPort;
class Runner;

}  // namespace camphormux::dispatch

#endif  // CAMPHORMUX_DISPATCH_FWD_HPP_
