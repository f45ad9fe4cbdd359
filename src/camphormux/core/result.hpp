#ifndef CAMPHORMUX_CORE_RESULT_HPP_
#define CAMPHORMUX_CORE_RESULT_HPP_

#include <boost/outcome.hpp>

namespace camphormux::core {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// @brief Either a value or an error.
/// @tparam T Type of the value.
/// @tparam E Error type of the layer that returns the result.
template <typename T, typename E>
using Result = outcome::basic_result<T, E, outcome::policy::terminate>;

}  // namespace camphormux::core

#endif  // CAMPHORMUX_CORE_RESULT_HPP_
