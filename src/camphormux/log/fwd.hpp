#ifndef CAMPHORMUX_LOG_FWD_HPP_
#define CAMPHORMUX_LOG_FWD_HPP_

namespace camphormux::log {

enum class AppendError;
enum class ReadError;
struct StoredRecord;
struct ReadResult;
struct LogPort;
struct Batch;
struct AppenderOptions;
struct Batcher;
struct BatcherEffects;
class Appender;

}  // namespace camphormux::log

#endif  // CAMPHORMUX_LOG_FWD_HPP_
