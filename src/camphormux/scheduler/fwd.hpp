#ifndef CAMPHORMUX_SCHEDULER_FWD_HPP_
#define CAMPHORMUX_SCHEDULER_FWD_HPP_

namespace camphormux::scheduler {

enum class RunPhase;
enum class EndKind;
enum class StartOutcome;
enum class Admission;
struct Settings;
struct Run;
struct Task;
struct Job;
struct ClosedJob;
struct Host;
struct Machine;
struct Wave;
struct State;
struct HostListing;
struct MachineListing;
struct HostReport;
struct StartRun;
struct StopRun;
struct PaceRun;
struct MoveMachine;
struct UpkeepMachine;
struct SaveWave;

}  // namespace camphormux::scheduler

#endif  // CAMPHORMUX_SCHEDULER_FWD_HPP_
