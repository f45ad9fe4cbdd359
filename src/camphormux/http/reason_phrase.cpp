#include "camphormux/http/reason_phrase.hpp"

#include <algorithm>
#include <array>

namespace camphormux::http {
namespace internal {

struct Phrase {
  int status;
  const char* text;
};

constexpr std::array kPhrases = {
    Phrase{200, "OK"},
    Phrase{201, "Created"},
    Phrase{202, "Accepted"},
    Phrase{204, "No Content"},
    Phrase{304, "Not Modified"},
    Phrase{400, "Bad Request"},
    Phrase{404, "Not Found"},
    Phrase{409, "Conflict"},
    Phrase{410, "Gone"},
    Phrase{413, "Payload Too Large"},
    Phrase{429, "Too Many Requests"},
    Phrase{431, "Request Header Fields Too Large"},
    Phrase{500, "Internal Server Error"},
    Phrase{502, "Bad Gateway"},
    Phrase{503, "Service Unavailable"},
    Phrase{504, "Gateway Timeout"},
};

}  // namespace internal

std::string ReasonPhrase(int status) {
  const auto found = std::find_if(
      internal::kPhrases.begin(), internal::kPhrases.end(),
      [status](const internal::Phrase& one) { return one.status == status; });
  return found == internal::kPhrases.end() ? "Status" : found->text;
}

}  // namespace camphormux::http
