#ifndef CAMPHORMUX_TEXT_FWD_HPP_
#define CAMPHORMUX_TEXT_FWD_HPP_

namespace camphormux::text {

struct Policy;
struct Zone;
struct Dependency;
struct RequestPattern;
struct Service;
struct Team;
struct MaintenancePlan;
struct OperatorText;
struct FleetHost;
struct LineChange;

enum class FindingKind;
struct Finding;
struct CheckOptions;

struct KeyChange;
struct PoolChange;
struct UnderBudget;
struct TextDiff;

}  // namespace camphormux::text

#endif  // CAMPHORMUX_TEXT_FWD_HPP_
