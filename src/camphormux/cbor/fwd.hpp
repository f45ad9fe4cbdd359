#ifndef CAMPHORMUX_CBOR_FWD_HPP_
#define CAMPHORMUX_CBOR_FWD_HPP_

namespace camphormux::cbor {

class ArrayReader;

}  // namespace camphormux::cbor

#endif  // CAMPHORMUX_CBOR_FWD_HPP_
