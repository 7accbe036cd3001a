// JSON form of the object API's answers: decoded by the client, encoded by the
// stand-in platform.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_STOREJSON_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_STOREJSON_H

#include "objectstore/store.h"

namespace dragonflystall {

/// An HTTP response of the platform.
struct HttpAnswer {
  int Status = 0;
  std::string Body = {};
  std::string RetryAfter = {}; ///< The Retry-After header, in seconds.
};

/// Never throws. A body of a 200 answer that cannot be decoded gives Invalid,
/// or Lost if the call is a write, since the write may have taken effect.
StoreAnswer decodeAnswer(const StoreCall &Call, const HttpAnswer &Http);
HttpAnswer encodeAnswer(const StoreCall &Call, const StoreAnswer &Answer);

} // namespace dragonflystall

#endif
