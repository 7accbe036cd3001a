// Conversions between endpoints and the sockaddr_in of socket calls.
#ifndef DRAGONFLYSTALL_SRC_SHELL_SOCKETADDRESS_H
#define DRAGONFLYSTALL_SRC_SHELL_SOCKETADDRESS_H

#include "dragonflystall/types.h"

#include <netinet/in.h>

namespace dragonflystall {

inline sockaddr_in toSockaddr(Endpoint Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(Address.Ip);
  Result.sin_port = htons(Address.Port);
  return Result;
}

inline Endpoint toEndpoint(const sockaddr_in &Address) {
  return {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

} // namespace dragonflystall

#endif
