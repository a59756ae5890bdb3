#ifndef SESAMEPADDLE_TESTS_INGRESS_VM_PROCESS_H
#define SESAMEPADDLE_TESTS_INGRESS_VM_PROCESS_H

#include "ingress/scripted_endpoint.h"
#include "sesamepaddle/net/asio.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace sesamepaddle {

/** One VM in a process of its own, with little memory and few descriptors. Its
    endpoint is in the test program. */
class vm_process {
public:
  explicit vm_process(scripted_endpoint::script Script);
  ~vm_process();
  vm_process(const vm_process &) = delete;
  vm_process &operator=(const vm_process &) = delete;

  tcp::endpoint callers() const { return Callers; }
  tcp::endpoint readiness() const { return Readiness; }

  /** @returns true while the process has not ended. */
  bool isAlive();
  /** @returns the most memory that it has had resident, in bytes. */
  std::size_t peakBytes() const;
  /** @returns the number of its open descriptors. */
  std::size_t descriptors() const;

  /** Settings of the VM, and limits of its process. */
  static constexpr std::size_t MemoryBytes = 48U * 1024 * 1024;
  static constexpr std::size_t Descriptors = 256;

private:
  asio::io_context Context{1};
  scripted_endpoint Endpoint;
  std::thread Thread;
  tcp::socket CallerPort;
  tcp::socket ReadinessPort;
  tcp::endpoint Callers;
  tcp::endpoint Readiness;
  pid_t Process = -1;
};

/** Connections of clients that send and do not read. */
class client_crowd {
public:
  client_crowd(const tcp::endpoint &Server, std::size_t Count);

  /** Sends @p Bytes over each connection, in turns of @p PieceBytes, until all
      are sent or the VM takes no more. */
  void send(const std::string &Bytes, std::size_t PieceBytes);

private:
  asio::io_context Context{1};
  std::vector<std::unique_ptr<tcp::socket>> Sockets;
};

} // namespace sesamepaddle

#endif
