#ifndef CAMPHORMUX_JOBS_FWD_HPP_
#define CAMPHORMUX_JOBS_FWD_HPP_

namespace camphormux::jobs {

enum class EndKind;
struct Submit;
struct Cancel;
struct Holder;
struct ClaimJob;
struct Start;
struct End;
struct JobSnapshot;
struct JobEntry;
struct Fold;
class Reader;

}  // namespace camphormux::jobs

#endif  // CAMPHORMUX_JOBS_FWD_HPP_
