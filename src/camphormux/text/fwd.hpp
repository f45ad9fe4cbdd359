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

}  // namespace camphormux::text

#endif  // CAMPHORMUX_TEXT_FWD_HPP_
