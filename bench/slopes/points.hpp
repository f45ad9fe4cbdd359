#ifndef BENCH_SLOPES_POINTS_HPP_
#define BENCH_SLOPES_POINTS_HPP_

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <malloc.h>
#include <time.h>

namespace camphormux::bench {

/// @brief A measured series; `tools/slopes` fits a line through its points.
struct Series {
  std::string name;
  std::string unit;       ///< Of the measured value.
  std::string dimension;  ///< What the size counts.
  double target = 0;      ///< Size at which the limit applies.
  double limit = 0;       ///< From docs/design.md, section 1; 0: none.
};

/// @brief Prints one point as tab-separated values.
/// @param series The series.
/// @param size The size.
/// @param value The measured value.
inline void PrintPoint(const Series& series, double size, double value) {
  std::printf("POINT\t%s\t%s\t%s\t%.0f\t%.6g\t%.0f\t%g\n", series.name.c_str(),
              series.unit.c_str(), series.dimension.c_str(), size, value,
              series.target, series.limit);
  std::fflush(stdout);
}

/// @return Processor time of the calling thread, in milliseconds; waits for a
/// processor on a busy machine do not count.
[[nodiscard]] inline double ThreadCpuMillis() {
  constexpr double kMillisPerSecond = 1e3;
  constexpr double kNanosPerMilli = 1e6;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMillisPerSecond +
         static_cast<double>(time.tv_nsec) / kNanosPerMilli;
}

/// @brief Measures the median processor time of an action.
/// @param action The action; runs 15 times.
/// @return Milliseconds.
template <typename Action>
[[nodiscard]] double MedianCpuMillis(const Action& action) {
  constexpr std::size_t kRuns = 15;
  std::vector<double> times;
  for (std::size_t i = 0; i < kRuns; ++i) {
    const double start = ThreadCpuMillis();
    action();
    times.push_back(ThreadCpuMillis() - start);
  }
  std::sort(times.begin(), times.end());
  return times[kRuns / 2];
}

/// @return Bytes that the program has allocated.
[[nodiscard]] inline double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace camphormux::bench

#endif  // BENCH_SLOPES_POINTS_HPP_
