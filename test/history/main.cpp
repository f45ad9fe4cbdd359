#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>

#include <gflags/gflags.h>

#include "test/history/check.hpp"

DEFINE_string(callers, "", "caller histories, separated by commas");
DEFINE_string(journals, "", "execution journals, separated by commas");
DEFINE_string(faults, "", "fault list of the run; empty if there is none");
DEFINE_uint64(show, 5,
              "maximum number of violations to print for each promise");

namespace camphormux::history {
namespace {

constexpr int kExitBreach = 1;
constexpr int kExitUsage = 2;

/// Reads each file of a comma-separated list. Returns false if one cannot be
/// opened.
bool ReadFiles(const std::string& list, History& history,
               void (*read)(std::istream&, History&)) {
  std::size_t start = 0;
  while (start < list.size()) {
    const std::size_t end = std::min(list.find(',', start), list.size());
    const std::string path = list.substr(start, end - start);
    std::ifstream file(path);
    if (!file) {
      std::fprintf(stderr, "cannot read '%s'\n", path.c_str());
      return false;
    }
    read(file, history);
    start = end + 1;
  }
  return true;
}

void Print(const char* name, std::uint64_t value) {
  std::printf("%-24s %llu\n", name,
              static_cast<unsigned long long>(value));  // NOLINT
}

void Report(const History& history, const CheckResult& result) {
  Print("requests", result.requests);
  Print("answered", result.answered);
  Print("not-run", result.not_run);
  Print("unknown", result.unknown);
  Print("unknown-but-sent", result.unknown_but_sent);
  Print("excused", result.excused);
  Print("runs", result.runs);
  Print("refusals", result.refusals);
  Print("moves", result.moves);
  Print("unreadable-lines", history.unreadable_lines);
  for (const Promise promise : kPromises) {
    std::uint64_t count = 0;
    for (const Breach& breach : result.breaches) {
      if (breach.promise == promise && ++count <= FLAGS_show) {
        std::fprintf(stderr, "%s: %s\n", Describe(promise).data(),
                     breach.detail.c_str());
      }
    }
    std::printf("promise %-22s %s (%llu)\n", Describe(promise).data(),
                count == 0 ? "held" : "BROKEN",
                static_cast<unsigned long long>(count));  // NOLINT
  }
  Print("breaches", result.breaches.size());
}

int Main() {
  History history;
  if (FLAGS_callers.empty() || FLAGS_journals.empty()) {
    std::fprintf(stderr, "--callers and --journals are mandatory\n");
    return kExitUsage;
  }
  if (!ReadFiles(FLAGS_callers, history, ReadCallerHistory) ||
      !ReadFiles(FLAGS_journals, history, ReadJournal) ||
      !ReadFiles(FLAGS_faults, history, ReadGatewayOutages)) {
    return kExitUsage;
  }
  const CheckResult result = Check(history);
  Report(history, result);
  // Unreadable lines could hide a violation, so they fail the check.
  const bool good = result.breaches.empty() && history.unreadable_lines == 0;
  return good ? 0 : kExitBreach;
}

}  // namespace
}  // namespace camphormux::history

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "checks caller histories against execution journals; exit code 1 if a "
      "promise is broken");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return camphormux::history::Main();
}
