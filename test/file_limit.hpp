#ifndef TEST_FILE_LIMIT_HPP_
#define TEST_FILE_LIMIT_HPP_

#include <sys/resource.h>

namespace camphormux::standin {

/// @brief Raises the limit of open files as far as the system allows: a
/// stand-in serves the connections of a whole fleet.
inline void RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

}  // namespace camphormux::standin

#endif  // TEST_FILE_LIMIT_HPP_
