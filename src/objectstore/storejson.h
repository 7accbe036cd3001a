// The object API's answers as JSON: decoding for the client, encoding for
// stand-ins.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_STOREJSON_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_STOREJSON_H

#include "objectstore/store.h"

namespace dragonflystall {

/// One HTTP answer of the platform.
struct HttpAnswer {
  int Status = 0;
  std::string Body = {};
  std::string RetryAfter = {}; ///< The header, in seconds.
};

/// Never throws: what isn't understood is Invalid.
StoreAnswer decodeAnswer(const StoreCall &Call, const HttpAnswer &Http);
HttpAnswer encodeAnswer(const StoreCall &Call, const StoreAnswer &Answer);

} // namespace dragonflystall

#endif
