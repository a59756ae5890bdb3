#include "sesamepaddle/net/send_queue.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace sesamepaddle {

std::size_t sendQueueBytes(tcp::socket &Socket) {
  int Bytes = 0;
  if (!Socket.is_open() ||
      ::ioctl(Socket.native_handle(), SIOCOUTQ, &Bytes) != 0 || Bytes < 0)
    return 0;
  return static_cast<std::size_t>(Bytes);
}

} // namespace sesamepaddle
