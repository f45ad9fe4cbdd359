#include "camphormux/settings/ini.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>

#include <ini.h>

namespace camphormux::settings {
namespace internal {

/// State shared by the reader and the handler that inih calls. inih does not
/// pass line numbers to the handler, so the reader counts the lines it returns.
struct ParseState {
  std::string_view rest;
  int line = 0;
  bool indented = false;  ///< Whether the current line starts with a space.
  IniFile file;
  Problems problems;
  std::set<std::pair<std::string, std::string>> seen;
};

char* ReadLine(char* buffer, int size, void* stream) {
  auto& state = *static_cast<ParseState*>(stream);
  if (state.rest.empty()) {
    return nullptr;
  }
  const std::size_t end = state.rest.find('\n');
  const std::size_t length =
      end == std::string_view::npos ? state.rest.size() : end + 1;
  ++state.line;
  state.indented = state.rest.front() == ' ' || state.rest.front() == '\t';
  if (length >= static_cast<std::size_t>(size)) {
    state.problems.push_back({state.file.name, state.line, "",
                              std::to_string(length) + " bytes in one line",
                              "fewer than " + std::to_string(size)});
  }
  const std::size_t copied =
      std::min(length, static_cast<std::size_t>(size) - 1);
  std::copy_n(state.rest.begin(), copied, buffer);
  buffer[copied] = '\0';
  state.rest.remove_prefix(length);
  return buffer;
}

int HandleEntry(void* user, const char* section, const char* key,
                const char* value) {
  auto& state = *static_cast<ParseState*>(user);
  auto& entries = state.file.entries;
  const bool continues = state.indented && !entries.empty() &&
                         entries.back().section == section &&
                         entries.back().key == key;
  if (continues) {
    entries.back().value.append(" ").append(value);
    return 1;
  }
  if (!state.seen.emplace(section, key).second) {
    state.problems.push_back({state.file.name, state.line,
                              std::string(section) + "." + key,
                              "a duplicate key", "each key once per section"});
    return 1;
  }
  entries.push_back({section, key, value, state.line});
  return 1;
}

}  // namespace internal

core::Result<IniFile, Problems> ParseIni(std::string name,
                                         std::string_view text) {
  internal::ParseState state;
  state.rest = text;
  state.file.name = std::move(name);
  const int bad_line = ini_parse_stream(internal::ReadLine, &state,
                                        internal::HandleEntry, &state);
  if (bad_line != 0) {
    state.problems.push_back({state.file.name, bad_line, "", "neither",
                              "[section], key = value or ; comment"});
  }
  if (!state.problems.empty()) {
    return std::move(state.problems);
  }
  return std::move(state.file);
}

core::Result<IniFile, Problems> ReadIniFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return Problems{{path, 0, "", "no readable file", "an INI file"}};
  }
  const std::string text{std::istreambuf_iterator<char>(stream), {}};
  return ParseIni(path, text);
}

std::string Describe(const Problem& problem) {
  std::string text = problem.file;
  if (problem.line > 0) {
    text += ":" + std::to_string(problem.line);
  }
  text += ": ";
  if (!problem.key.empty()) {
    text += problem.key + ": ";
  }
  return text + "found " + problem.found + ", expected " + problem.expected;
}

}  // namespace camphormux::settings
