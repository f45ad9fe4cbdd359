#ifndef CAMPHORMUX_LOAD_FWD_HPP_
#define CAMPHORMUX_LOAD_FWD_HPP_

namespace camphormux::load {

struct Demand;
struct ArrivalStream;
struct PlanOptions;
struct Plan;
struct Sample;
struct ClassSummary;
struct ServiceSummary;
struct Summary;
class Recorder;
struct RunnerOptions;
class Runner;

}  // namespace camphormux::load

#endif  // CAMPHORMUX_LOAD_FWD_HPP_
